"""Parses the head of a backend server's answer, whose lines were found valid."""

from typing import NamedTuple

from burdockdock.coordination.whole_numbers import parse_whole_number

_CONTENT_LENGTH = "content-length"
_TRANSFER_ENCODING = "transfer-encoding"
# Around a value, and at the end of a line.
_WHITESPACE = " \t\r\n"


class BackendHead(NamedTuple):
    """Status line and headers of a backend server's answer."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]


def parse_head(lines: list[bytes]) -> BackendHead:
    """Parse a status line and header lines, all of which must be valid."""
    _, status, *reason = lines[0].decode("latin-1").split(None, 2)
    reason_text = reason[0].strip() if reason else ""
    return BackendHead(int(status), reason_text, _parse_headers(lines[1:]))


def body_length(head: BackendHead) -> int:
    """Return the length of the body in bytes, -1 if the head does not state it."""
    length = next((v for n, v in head.headers if n.lower() == _CONTENT_LENGTH), "")
    return parse_whole_number(length, -1)


def _parse_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    """Return the headers, with ``Content-Length`` at most once."""
    headers: list[tuple[str, str]] = []
    names: set[str] = set()
    for line in lines:
        name, _, value = line.decode("latin-1").partition(":")
        is_content_length = name.lower() == _CONTENT_LENGTH
        if is_content_length and _CONTENT_LENGTH in names:
            continue
        names.add(name.lower())
        headers.append((name, value.strip(_WHITESPACE)))
    if _TRANSFER_ENCODING in names:
        # Libcurl decodes the body, so the stated length does not apply to it.
        headers = [header for header in headers if header[0].lower() != _CONTENT_LENGTH]
    return tuple(headers)
