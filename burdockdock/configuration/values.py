"""Parsers of configuration values that are neither whole numbers nor texts."""

from datetime import datetime


def parse_time(text: str) -> datetime | None:
    """Return a time with a UTC offset, None if the text is none."""
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        return None
    return None if parsed.tzinfo is None else parsed


def parse_number(text: str, minimum: float, maximum: float) -> float | None:
    """Return a number, None if the text is none or is out of bounds."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if minimum <= value <= maximum else None


def parse_names(text: str) -> tuple[str, ...]:
    """Return the names of a comma-separated list."""
    names = (part.strip() for part in text.split(","))
    return tuple(dict.fromkeys(name for name in names if name))
