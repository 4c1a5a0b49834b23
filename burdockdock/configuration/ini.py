"""Reading and writing configurations as INI text."""

import configparser
import hashlib

from burdockdock.configuration.model import Problem, Sections


def read_sections(text: str) -> Sections | list[Problem]:
    """Read INI text into sections.

    :returns: the sections, or what is wrong with the text.
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
        lines += [f"{key} = {_fold(value)}" for key, value in pairs.items()]
        blocks.append("\n".join(lines) + "\n")
    return "\n".join(blocks)


def section_digest(name: str, pairs: dict[str, str]) -> int:
    """Return a digest of one section, the same for any order of its pairs."""
    text = "\0".join([name, *(f"{k}={pairs[k]}" for k in sorted(pairs))])
    digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return int.from_bytes(digest)


def digest_of(sections: Sections) -> int:
    """Return the exclusive or of the sections' digests.

    A change of one section changes it by that section's digests alone.
    """
    total = 0
    for name, pairs in sections.items():
        total ^= section_digest(name, pairs)
    return total


def _fold(value: str) -> str:
    return value.replace("\n", "\n    ")
