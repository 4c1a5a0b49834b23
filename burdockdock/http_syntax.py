"""Which lines and statuses the head of an HTTP/1.1 answer may have.

Two readers of a malformed line may take it for different things: one drops a line by
which the other finds the end of the body.
"""

import re

# A token of RFC 9110, section 5.6.2.
_FIELD_NAME = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# Values of fields and reason phrases: bytes, and of the control characters only tabs;
# see RFC 9110, section 5.5, and RFC 9112, section 4.
_TEXT = r"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rf"HTTP/1\.[01] \d{{3}}(?: {_TEXT})?\r?\n".encode())
_FIELD_LINE = re.compile(rf"{_FIELD_NAME}:{_TEXT}\r?\n".encode())
_FIELD_NAME_PATTERN = re.compile(_FIELD_NAME)
_TEXT_PATTERN = re.compile(_TEXT)
_CONTENT_LENGTH = re.compile(
    rb"content-length:[ \t]*(.*?)[ \t]*\r?\n", re.IGNORECASE | re.DOTALL
)
# Lines that end a head or the trailers.
HEAD_ENDS = (b"\r\n", b"\n")


def is_final_status(status: int) -> bool:
    """Return whether an HTTP status is that of a final answer.

    Any other one is no answer, and tells nothing of whether the request ran.
    """
    return 200 <= status <= 599


def is_status_line(line: bytes) -> bool:
    """Return whether the first line of a head is valid, whatever its status.

    :param line: with its line end.
    """
    return _STATUS_LINE.fullmatch(line) is not None


def is_field_line(line: bytes) -> bool:
    """Return whether a line of a head or a trailer is a valid field.

    :param line: with its line end.
    """
    return _FIELD_LINE.fullmatch(line) is not None


def is_field(name: str, value: str) -> bool:
    """Return whether a field, of which bytes are latin-1 characters, is valid."""
    return _FIELD_NAME_PATTERN.fullmatch(name) is not None and is_text(value)


def is_text(text: str) -> bool:
    """Return whether a text may be a field's value or a reason phrase."""
    return _TEXT_PATTERN.fullmatch(text) is not None


class StatedLength:
    """The length of the body that a head states.

    If it states two that differ, readers find different bodies behind it; see RFC 9112,
    section 6.3.
    """

    def __init__(self) -> None:
        self._value: bytes | None = None

    def contradicts(self, line: bytes) -> bool:
        """Take a line; return whether it states another length than one before."""
        match = _CONTENT_LENGTH.fullmatch(line)
        if match is None:
            return False
        if self._value is None:
            self._value = match[1]
        return match[1] != self._value
