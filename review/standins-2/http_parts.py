"""HTTP/1.1 messages of the stand-ins: reading, writing and a plain client."""

import asyncio
import time
from typing import NamedTuple

_MAX_HEAD_BYTES = 256 * 1024
_DEFAULT_TIMEOUT_S = 10.0


class Request(NamedTuple):
    """One request; ``headers`` has lower-case names."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


class Answer(NamedTuple):
    """One answer as a client got it.

    :param status: 0 if the connection ended before a whole answer.
    :param problem: why there is no whole answer, empty if there is one.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float
    problem: str = ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and the headers behind it.

    :raises EOFError: if the connection ends before.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read the next request of a connection, None at its end."""
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        return Request(method, target, headers, await read_body(reader, headers))
    except (EOFError, OSError, ValueError, asyncio.LimitOverrunError):
        return None


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request; a body gets its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def exchange(
    address: tuple[str, int],
    data: bytes,
    *,
    head_only: bool = False,
    timeout_s: float = _DEFAULT_TIMEOUT_S,
) -> Answer:
    """Send the bytes of one request on a new connection and read its answer."""
    started_s = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=_MAX_HEAD_BYTES
            )
            writer.write(data)
            first, headers = await read_head(reader)
            while first.split()[1].startswith("1"):
                first, headers = await read_head(reader)
            body = b"" if head_only else await read_body(reader, headers)
        took_s = time.monotonic() - started_s
        return Answer(int(first.split()[1]), headers, body, took_s)
    except (EOFError, OSError, ValueError, TimeoutError) as error:
        took_s = time.monotonic() - started_s
        return Answer(0, {}, b"", took_s, f"{type(error).__name__}: {error}")
    finally:
        if writer is not None:
            writer.close()
