"""Reads and writes configurations as INI text, and computes their digests."""

import configparser
import hashlib

from burdockdock.configuration.model import Problem, Sections


def read_sections(text: str) -> Sections | list[Problem]:
    """Parse INI text into sections.

    :returns: the sections, or the problems found in the text.
    """
    parser = configparser.ConfigParser(
        strict=True, interpolation=None, default_section="\0none"
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return [Problem("", "", " ".join(str(error).split()))]
    return {name: dict(parser.items(name)) for name in parser.sections()}


def write_sections(sections: Sections) -> str:
    """Render sections as INI text."""
    blocks = []
    for name, pairs in sections.items():
        lines = [f"[{name}]"]
        lines += [
            f"{key} = {_indent_continuation_lines(value)}"
            for key, value in pairs.items()
        ]
        blocks.append("\n".join(lines) + "\n")
    return "\n".join(blocks)


def section_digest(name: str, pairs: dict[str, str]) -> int:
    """Return a digest of one section that does not depend on the order of its pairs."""
    text = "\0".join([name, *(f"{k}={pairs[k]}" for k in sorted(pairs))])
    digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return int.from_bytes(digest)


def configuration_digest(sections: Sections) -> int:
    """Return the digest of a configuration: the XOR of its sections' digests.

    When a section changes, the digest is updated with that section's old and new
    digests alone.
    """
    combined = 0
    for name, pairs in sections.items():
        combined ^= section_digest(name, pairs)
    return combined


def _indent_continuation_lines(value: str) -> str:
    return value.replace("\n", "\n    ")
