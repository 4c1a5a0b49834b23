"""Parsers of the platform's values: durations with units, versions and tables."""

import re
from typing import Any

# The number of digits is limited: a longer number could become infinite, which int()
# rejects with an OverflowError, not with a ValueError.
_DURATION_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)")
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

    :returns: the duration in milliseconds, rounded down.
    :raises ValueError: if the value is not a duration.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not a duration such as 1500ms or 2.5s")
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration such as 1500ms or 2.5s")
    return int(float(match[1]) * _MS_PER_UNIT[match[2]])


def parse_version(text: Any) -> int:
    """Parse a version such as ``r12``.

    :returns: the version's number, by which versions are ordered.
    :raises ValueError: if the value is not a version.
    """
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"{text!r} is not a version such as r12")
    return int(text[1:])


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
