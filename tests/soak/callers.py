"""Callers with persistent connections, and the records of their requests."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.standin.local_fleet import NodeHandle
from tests.soak.backend_program import HOST, ID_HEADER, expected_answer

_RESPONSE_TIMEOUT_S = 40.0
_RECONNECT_DELAY_S = 0.05
_MAX_PIPELINED_REQUESTS = 5

_CallFunction = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, str, random.Random], Awaitable[bool]
]


class Sent(NamedTuple):
    """A request as a caller sent it.

    :param route: number of the route, 0 for the route that every version has.
    :param size_bytes: size of the body that the backend server is asked to return.
    :param latency_ms: delay before the backend server answers.
    :param slow_s: seconds for which the caller stops reading, halfway through the body.
    :param acknowledged: newest version that every node applied when it was sent.
    :param node: name of the node that it was sent to.
    :param at_s: Unix time at which it was sent.
    """

    request_id: str
    method: str
    route: int
    size_bytes: int
    latency_ms: int
    body: bytes
    slow_s: float
    acknowledged: int
    node: str
    at_s: float


class Seen(NamedTuple):
    """The outcome of a request as its caller saw it.

    :param status: HTTP status, 0 if no response head arrived.
    :param whole: whether the body was as long as its Content-Length.
    :param right: whether the body is the expected answer to this request.
    :param ended_s: Unix time at which the call ended.
    :param accepted: newest version that a node may have applied when the call ended.
    """

    sent: Sent
    status: int
    whole: bool
    right: bool
    ended_s: float
    accepted: int


class ConfigVersions:
    """The newest configuration versions accepted, and applied by every node."""

    accepted = 0
    acknowledged = 0


def route_path(number: int) -> str:
    """Return the path of a numbered route."""
    return f"/v{number:04}/"


class CallerPool:
    """Runs callers until stopped.

    ``seen`` holds the outcomes of their requests in the order in which they ended.
    """

    def __init__(self, versions: ConfigVersions) -> None:
        self.seen: list[Seen] = []
        self._versions = versions
        self._stopped = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self, node: NodeHandle, rng: random.Random, *, pipelined: bool = False
    ) -> None:
        """Start a caller that sends its requests to one node.

        :param pipelined: whether it sends a few requests before it reads the answers.
        """
        call = self._call_pipelined if pipelined else self._call_once
        self._tasks.append(asyncio.create_task(self._run(node, rng, call)))

    async def stop(self) -> None:
        """Stop the callers after their current requests."""
        self._stopped.set()
        await asyncio.gather(*self._tasks)

    async def _run(
        self, node: NodeHandle, rng: random.Random, call: _CallFunction
    ) -> None:
        while not self._stopped.is_set():
            try:
                reader, writer = await asyncio.open_connection(HOST, node.callers_port)
            except OSError:
                await asyncio.sleep(_RECONNECT_DELAY_S)
                continue
            must_close = False
            while not (must_close or self._stopped.is_set()):
                must_close = await call(reader, writer, node.place.name, rng)
            writer.transport.abort()

    async def _call_once(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        node: str,
        rng: random.Random,
    ) -> bool:
        """Send one request and record its outcome.

        :returns: whether the connection can't be used again.
        """
        return await self._call(reader, writer, [self._draw_request(node, rng)])

    async def _call_pipelined(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        node: str,
        rng: random.Random,
    ) -> bool:
        """Send a few GET requests at once, and record their outcomes.

        :returns: whether the connection can't be used again.
        """
        batch = [
            self._draw_request(node, rng)._replace(method="GET")
            for _ in range(rng.randint(2, _MAX_PIPELINED_REQUESTS))
        ]
        return await self._call(reader, writer, batch)

    async def _call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        batch: list[Sent],
    ) -> bool:
        """Send requests, then read their answers; the last may end the connection.

        Requests behind an answer that ends it have no answer.
        """
        must_close = not await _send(writer, batch)
        for sent in batch:
            result = 0, False, b"", True
            if not must_close:
                result = await _receive(reader, sent)
            status, whole, answer, must_close = result
            right = answer == expected_answer(sent.request_id, sent.size_bytes)
            accepted = self._versions.accepted
            self.seen.append(Seen(sent, status, whole, right, time.time(), accepted))
        return must_close

    def _draw_request(self, node: str, rng: random.Random) -> Sent:
        """Draw a random request: most small, some large and read slowly or uploads."""
        acknowledged = self._versions.acknowledged
        route = rng.choice((0, 0, acknowledged, acknowledged, max(0, acknowledged - 2)))
        large = rng.random() < 0.15
        return Sent(
            request_id=f"{rng.getrandbits(64):016x}",
            method=rng.choice(("GET", "POST")),
            route=route,
            size_bytes=rng.randrange(500_000, 6_000_000)
            if large
            else rng.randrange(99),
            latency_ms=rng.choice((0, 20, 50, 300)),
            body=b"b" * (rng.randrange(400_000) if rng.random() < 0.1 else 10),
            slow_s=rng.uniform(0.0, 2.0) if large else 0.0,
            acknowledged=acknowledged,
            node=node,
            at_s=time.time(),
        )


async def _send(writer: asyncio.StreamWriter, batch: list[Sent]) -> bool:
    """Send requests; return whether the connection took them."""
    try:
        async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
            writer.write(b"".join(map(_encode_request, batch)))
            await writer.drain()
            return True
    except (OSError, TimeoutError):
        return False


async def _receive(
    reader: asyncio.StreamReader, sent: Sent
) -> tuple[int, bool, bytes, bool]:
    """Read the response to a request.

    :returns: the status, whether the body is complete, the body, and whether the
        connection closes.
    """
    status = 0
    try:
        async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            status = int(head.split()[1])
            must_close = "connection: close" in head
            length = int(head.partition("content-length: ")[2].split()[0])
            body = await reader.readexactly(length // 2)
            await asyncio.sleep(sent.slow_s)
            body += await reader.readexactly(length - len(body))
            return status, True, body, must_close
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return status, False, b"", True


def _encode_request(sent: Sent) -> bytes:
    path = route_path(sent.route) if sent.route else "/always/"
    body = sent.body if sent.method == "POST" else b""
    head = (
        f"{sent.method} {path}?ms={sent.latency_ms}&size={sent.size_bytes} HTTP/1.1\r\n"
        f"Host: soak\r\n{ID_HEADER}: {sent.request_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
