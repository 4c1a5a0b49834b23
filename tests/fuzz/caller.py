"""A caller that makes one call on a connection of its own and tells all that came."""

import asyncio
from typing import NamedTuple

from burdockdock.coordination.verdict import Failure, Verdict
from tests import streams
from tests.fuzz.outcomes import ATTEMPT_HEADER, Outcome
from tests.fuzz.sequences import Call

HOST_NAME = "h.example"
_HOST = "127.0.0.1"
_VERDICT_HEADER = "X-Burdockdock-Verdict"
_CLOSED = Failure(Verdict.MAY_HAVE_RUN, "closed")
_BROKEN_OFF = Failure(Verdict.RAN, "broken_off")


class _Head(NamedTuple):
    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str:
        found = (v for n, v in self.headers if n.lower() == name.lower())
        return next(found, "")


async def make_call(port: int, call: Call, request_id: str, attempt: str) -> Outcome:
    """Make a call through the node at a port."""
    reader, writer = await streams.open_connection(_HOST, port)
    writer.write(_request(call, request_id, attempt))
    try:
        head = await _read_head(reader)
        if head is None:
            return Outcome(call, request_id, attempt, 0, (), b"", _CLOSED)
        body, is_whole = await _read_body(reader, head, call.method)
    finally:
        writer.transport.abort()
    verdict = head.header(_VERDICT_HEADER)
    if verdict:
        failure = Failure(Verdict[verdict.upper()], f"node {head.status}")
        return Outcome(call, request_id, attempt, 0, (), b"", failure)
    failure = None if is_whole else _BROKEN_OFF
    return Outcome(call, request_id, attempt, *head, body, failure)


def _request(call: Call, request_id: str, attempt: str) -> bytes:
    prefix = "/once/" if not call.idempotent else "/often/"
    lines = [
        f"{call.method} {prefix} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {call.time_left_ms}",
        f"{ATTEMPT_HEADER}: {attempt}",
    ]
    if call.body_bytes or call.method in ("POST", "PUT"):
        lines.append(f"Content-Length: {call.body_bytes}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + b"r" * call.body_bytes


async def _read_head(reader: asyncio.StreamReader) -> _Head | None:
    """Return the head of an answer, None if the connection ends before it does."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.partition(": ") for line in lines]
    return _Head(
        int(first.split()[1]), tuple((name, value) for name, _, value in pairs)
    )


async def _read_body(
    reader: asyncio.StreamReader, head: _Head, method: str
) -> tuple[bytes, bool]:
    """Return the body and whether it is whole."""
    if method == "HEAD" or head.status in (204, 304):
        return b"", True
    if head.header("Transfer-Encoding"):
        return await _read_chunks(reader)
    try:
        return await reader.readexactly(int(head.header("Content-Length"))), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except OSError:
        return b"", False


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while size_bytes := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size_bytes + 2))[:-2]
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return body, False
    return body, True
