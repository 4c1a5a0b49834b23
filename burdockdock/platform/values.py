"""Parsers of the platform's values: durations with units, versions and tables."""

import re
from typing import Any

_DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)", re.ASCII)
# Longer durations are far above any use, and could become infinite.
_MAX_DURATION_MS = 1 << 40
# Versions are 64-bit numbers in messages between nodes.
_VERSION_PATTERN = re.compile(r"r(\d{1,18})", re.ASCII)
_MS_PER_UNIT = {"ms": 1, "s": 1000}
# Raised when a message of another writer doesn't have the expected form.
MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def parse_duration_ms(text: Any) -> int:
    """Parse a duration such as ``1500ms`` or ``2.5s``.

    :returns: the duration in milliseconds, rounded down, at most 35 years.
    :raises ValueError: if the value is not a duration.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not a duration such as 1500ms or 2.5s")
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration such as 1500ms or 2.5s")
    return int(min(_MAX_DURATION_MS, float(match[1]) * _MS_PER_UNIT[match[2]]))


def parse_version(text: Any) -> int:
    """Parse a version such as ``r12``.

    :returns: the version's number, by which versions are ordered.
    :raises ValueError: if the value is not a version.
    """
    match = _VERSION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not a version such as r12")
    return int(match[1])


def clamp_number(value: Any, low: float, high: float) -> float:
    """Return a number, or the bound that it lies beyond.

    No error says the value, which may be a misplaced key.

    :raises ValueError: if the value is not a number.
    """
    try:
        number = float(value) if isinstance(value, str) else value
        clamped = max(low, min(high, number))
        # Only NaN differs from itself. An integer may be too long for math.isnan.
        is_number = number == number
    except (TypeError, ValueError):
        is_number = False
    if not is_number:
        raise ValueError("a value of a row is not a number")
    return clamped


def parse_table(table: Any) -> list[dict[str, Any]]:
    """Parse a table of columns and rows.

    :returns: one dictionary per row, without the columns that are null in it.
    :raises ValueError: if a row does not have one value for each column.
    """
    columns = table["columns"]
    return [
        {
            column: value
            for column, value in zip(columns, row, strict=True)
            if value is not None
        }
        for row in table["rows"]
    ]
