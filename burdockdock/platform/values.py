"""Values as the platform writes them: times with units, versions, tables."""

import re
from typing import Any

# Bounded, so that a time always fits into a number.
_TIME = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)")
_UNIT_MS = {"ms": 1, "s": 1000}


def milliseconds(text: Any) -> int:
    """Read a time such as ``1500ms`` or ``2.5s``.

    :raises ValueError: if it is none.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is no time")
    match = _TIME.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is no time")
    return int(float(match[1]) * _UNIT_MS[match[2]])


def version_number(text: Any) -> int:
    """Read a version such as ``r12``; versions compare as their numbers do.

    :raises ValueError: if it is none.
    """
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"{text!r} is no version")
    return int(text[1:])


def rows_of(table: Any) -> list[dict[str, Any]]:
    """Read a table of columns and rows; a null in a row means that it is absent.

    :raises ValueError: if a row has another length than the columns.
    """
    columns = table["columns"]
    return [
        {k: v for k, v in zip(columns, row, strict=True) if v is not None}
        for row in table["rows"]
    ]
