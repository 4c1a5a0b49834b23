"""Values as the platform writes them: times with units, versions, tables."""

from typing import Any


def milliseconds(text: Any) -> int:
    """Read a time such as ``1500ms`` or ``2.5s``.

    :raises ValueError: if it is none.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is no time")
    if text.endswith("ms"):
        return int(float(text[:-2]))
    if text.endswith("s"):
        return int(float(text[:-1]) * 1000)
    raise ValueError(f"{text!r} is no time")


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
