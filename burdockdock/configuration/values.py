"""Parsers of single values of sections. Each returns a value and the problems found."""

from datetime import datetime
from typing import NamedTuple

from burdockdock.configuration.model import SplitPart

_FLAGS = {"true": True, "false": False}


class KeyProblem(NamedTuple):
    """A problem with one key of a section.

    :param key: the section's key, empty for a problem of the whole section.
    """

    key: str
    message: str


def parse_list(text: str) -> tuple[str, ...]:
    """Return the different items of a comma-separated list, in their order."""
    items = (item.strip() for item in text.split(","))
    return tuple(dict.fromkeys(item for item in items if item))


def parse_number(
    key: str, text: str, minimum: float, maximum: float
) -> tuple[float, list[KeyProblem]]:
    """Parse a number, which may have a fraction."""
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if minimum <= value <= maximum:
        return value, []
    message = f"give a number from {minimum:g} to {maximum:g}, not {text!r}"
    return minimum, [KeyProblem(key, message)]


def parse_flag(key: str, text: str) -> tuple[bool, list[KeyProblem]]:
    """Parse ``true`` or ``false``."""
    flag = _FLAGS.get(text.strip().lower())
    if flag is None:
        return False, [KeyProblem(key, f"give true or false, not {text!r}")]
    return flag, []


def parse_split(text: str) -> tuple[tuple[SplitPart, ...], list[KeyProblem]]:
    """Parse services with weights, such as ``work:90, work-next:10``."""
    parts = []
    for item in text.split(",") if text else ():
        service, _, weight = item.strip().rpartition(":")
        try:
            part = SplitPart(service, float(weight))
        except ValueError:
            part = SplitPart("", 0.0)
        if not part.service or not 0 <= part.weight < float("inf"):
            return (), [KeyProblem("split", "give SERVICE:WEIGHT, SERVICE:WEIGHT")]
        parts.append(part)
    if parts and not any(part.weight for part in parts):
        return tuple(parts), [KeyProblem("split", "give at least one weight above 0")]
    return tuple(parts), []


def parse_time(key: str, text: str | None) -> tuple[datetime | None, list[KeyProblem]]:
    """Parse a time with a UTC offset, None if there is none."""
    if text is None:
        return None, []
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.tzinfo is None:
        example = "2026-12-31T18:00:00Z"
        message = f"give a time with a UTC offset, such as {example}"
        return None, [KeyProblem(key, message)]
    return parsed, []
