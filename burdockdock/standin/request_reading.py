"""Reads the requests of a connection as they are on the wire."""

import asyncio
from typing import NamedTuple

_MAX_CHUNK_SIZE_DIGITS = 8


class RequestHead(NamedTuple):
    """The head of a request."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str:
        """Return the value of a header, empty without it."""
        found = (v for n, v in self.headers if n.lower() == name.lower())
        return next(found, "")


async def read_head(reader: asyncio.StreamReader) -> RequestHead | None:
    """Return the next request's head, None if the connection ends or it can't be read.

    Errors of the connection count as its end.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    parts = first.split(" ")
    if len(parts) != 3:
        return None
    headers = [line.partition(":") for line in lines]
    pairs = tuple((name.strip(), value.strip()) for name, _, value in headers)
    return RequestHead(parts[0], parts[1], pairs)


async def read_body(reader: asyncio.StreamReader, head: RequestHead) -> bytes | None:
    """Return a request's body, None if the connection ends before it does."""
    try:
        if head.header("Transfer-Encoding").lower() == "chunked":
            return await _read_chunks(reader)
        return await reader.readexactly(int(head.header("Content-Length") or 0))
    except (asyncio.IncompleteReadError, ValueError, OSError):
        return None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size_bytes := _chunk_size_bytes(await reader.readline()):
        body += (await reader.readexactly(size_bytes + 2))[:-2]
    await reader.readline()
    return body


def _chunk_size_bytes(line: bytes) -> int:
    digits = line.strip().partition(b";")[0]
    if not 0 < len(digits) <= _MAX_CHUNK_SIZE_DIGITS:
        raise ValueError("no size of a chunk")
    return int(digits, 16)
