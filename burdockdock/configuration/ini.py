"""Reading and writing configurations as INI text."""

import configparser
import hashlib
import json

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


def digest_of(sections: Sections) -> str:
    """Return a digest that is equal for equal sections in any order."""
    canonical = json.dumps(sections, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()[:32]


def _fold(value: str) -> str:
    return value.replace("\n", "\n    ")
