"""Parser of JSON texts in which single values may be beyond what can be decoded.

A list of the platform holds what others wrote. One value that is nested too deeply, or
a number that is too long, must not make the rest of the list unreadable.
"""

import json
import re
from collections.abc import Callable
from typing import Any

_MAX_DEPTH = 64
_MAX_NUMBER_DIGITS = 20
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING = (b"[", b"{")
_CLOSING = (b"]", b"}")


def parse_json(
    text: bytes, *, on_replaced: Callable[[str], None] = lambda _: None
) -> Any:
    """Parse a JSON text; values beyond the limits become null.

    The limits apply only to texts that can't be decoded as they are.

    :param on_replaced: called with the reason if values were replaced.
    :raises ValueError: if the text is not valid JSON.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        value = json.loads(_without_deep_values(text), parse_int=_parse_integer)
        on_replaced(str(error))
        return value


def _parse_integer(digits: str) -> int | None:
    return int(digits) if len(digits) <= _MAX_NUMBER_DIGITS else None


def _without_deep_values(text: bytes) -> bytes:
    """Replace each array and object below the maximum depth by null."""
    kept = []
    kept_from = 0
    depth = 0
    for token in _TOKEN.finditer(text):
        if token[0] in _OPENING:
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept.append(text[kept_from : token.start()])
        elif token[0] in _CLOSING:
            if depth == _MAX_DEPTH + 1:
                kept.append(b"null")
                kept_from = token.end()
            depth -= 1
    kept.append(text[kept_from:] if depth <= _MAX_DEPTH else b"")
    return b"".join(kept)
