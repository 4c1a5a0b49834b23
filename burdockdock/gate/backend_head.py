"""The head of a backend server's answer, and what of it can be passed on."""

import re
from typing import NamedTuple

_LENGTH = "content-length"
_CODING = "transfer-encoding"
# What a header's name is made of, and what no value may hold.
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FORBIDDEN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class BackendHead(NamedTuple):
    """Status line and headers of a backend server's answer."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]


def parse_head(lines: list[bytes]) -> BackendHead | None:
    """Return the head that its lines make, None where they make none."""
    if not lines:
        return None
    words = lines[0].decode("latin-1").split(None, 2)
    if len(words) < 2 or not words[1].isdecimal():
        return None
    reason = words[2].strip() if len(words) > 2 else ""
    return BackendHead(int(words[1]), reason, _parse_headers(lines[1:]))


def body_length(head: BackendHead) -> int:
    """Return the length of an answer's body, -1 where its head does not tell it."""
    length = next((v for n, v in head.headers if n.lower() == _LENGTH), "")
    return int(length) if length.isascii() and length.isdecimal() else -1


def _parse_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    """Return the headers that can be passed on, with a body's length once at most."""
    headers: list[tuple[str, str]] = []
    names: set[str] = set()
    for line in lines:
        name, _, value = (
            part.strip() for part in line.decode("latin-1").partition(":")
        )
        is_length = name.lower() == _LENGTH
        if not _NAME.fullmatch(name) or _FORBIDDEN.search(value):
            continue
        if is_length and _LENGTH in names:
            continue
        names.add(name.lower())
        headers.append((name, value))
    if _CODING in names:
        # The body that libcurl hands out has a length of its own then.
        headers = [header for header in headers if header[0].lower() != _LENGTH]
    return tuple(headers)
