"""Minimal HTTP/1.1 reading and writing for the stand-ins."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response.

    :param start: the words of the start line.
    :param headers: names in lower case.
    :param complete: whether the whole body arrived.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Read one message; return None if the connection ended before its head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    words = (lines[0].split(" ", 2) + ["", ""])[:3]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    start = (words[0], words[1], words[2])
    try:
        body = await _read_body(reader, headers, is_response=is_response)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Message(start, headers, b"", complete=False)
    return Message(start, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, is_response: bool
) -> bytes:
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return await _read_chunks(reader)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read(-1) if is_response else b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def render(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
