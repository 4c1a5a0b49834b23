"""Callers that keep their connections, and what they see."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from tests.soak.backend_program import HOST, ID_HEADER, answer_to

_PATIENCE_S = 40.0
_CONNECT_AGAIN_S = 0.05
_SLOW_READ_BYTES = 128 * 1024
_NO_ANSWER = 0


class Sent(NamedTuple):
    """A request.

    :param route: the number of its route, 0 for the one that always stands.
    :param slow_s: seconds that reading the answer takes at least.
    :param acknowledged: the newest version in force everywhere when it was sent.
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
    """What became of a request.

    :param status: 0 without the head of an answer.
    :param whole: whether the answer was complete by its own account.
    :param right: whether it is this request's own.
    :param accepted: the newest version that may be in force when it ended.
    """

    sent: Sent
    status: int
    whole: bool
    right: bool
    ended_s: float
    accepted: int
    closes: bool


class Versions:
    """Which configurations stand: accepted, and acknowledged everywhere."""

    def __init__(self) -> None:
        self.accepted = 0
        self.acknowledged = 0


def route_path(number: int) -> str:
    """Return the path of a numbered route."""
    return f"/v{number:04}/"


class CallersRunner:
    """Runs callers until stopped; ``seen`` holds what they saw, in order."""

    def __init__(self, versions: Versions) -> None:
        self.seen: list[Seen] = []
        self._versions = versions
        self._stopped = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, node: str, port: int, rng: random.Random) -> None:
        """Start one caller of a node."""
        task = asyncio.create_task(self._run(node, port, rng))
        self._tasks.append(task)

    async def stop(self) -> None:
        """Wait for the last answers."""
        self._stopped.set()
        await asyncio.gather(*self._tasks)

    async def _run(self, node: str, port: int, rng: random.Random) -> None:
        while not self._stopped.is_set():
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
            except OSError:
                await asyncio.sleep(_CONNECT_AGAIN_S)
                continue
            await self._use(reader, writer, lambda: self._draw(node, rng))
            writer.transport.abort()

    async def _use(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        draw: Callable[[], Sent],
    ) -> None:
        """Send one request after the other while the connection lasts."""
        while not self._stopped.is_set():
            sent = draw()
            status, whole, answer, closes = await _exchange(reader, writer, sent)
            right = answer == answer_to(sent.request_id, sent.size_bytes)
            accepted = self._versions.accepted
            ended_s = time.time()
            self.seen.append(
                Seen(sent, status, whole, right, ended_s, accepted, closes)
            )
            if closes or not whole:
                return

    def _draw(self, node: str, rng: random.Random) -> Sent:
        """Draw a request: mostly small, some large and read slowly, some uploads."""
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


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sent: Sent
) -> tuple[int, bool, bytes, bool]:
    """Send a request; return status, whether whole, the body, and if it closes."""
    status, body, closes, pieces = _NO_ANSWER, b"", False, []
    try:
        async with asyncio.timeout(_PATIENCE_S):
            writer.write(_render(sent))
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            status = int(head.split()[1])
            closes = "connection: close" in head
            length = int(head.partition("content-length: ")[2].split()[0])
            pause_s = sent.slow_s * _SLOW_READ_BYTES / max(sent.size_bytes, 1)
            await _read_slowly(reader, length, pause_s, pieces)
            body = b"".join(pieces)
            return status, len(body) == length, body, closes
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return status, False, b"".join(pieces), True


async def _read_slowly(
    reader: asyncio.StreamReader, length: int, pause_s: float, pieces: list[bytes]
) -> None:
    left = length
    while left:
        pieces.append(await reader.readexactly(min(left, _SLOW_READ_BYTES)))
        left -= len(pieces[-1])
        await asyncio.sleep(pause_s)


def _render(sent: Sent) -> bytes:
    path = route_path(sent.route) if sent.route else "/always/"
    body = sent.body if sent.method == "POST" else b""
    head = (
        f"{sent.method} {path}?ms={sent.latency_ms}&size={sent.size_bytes} HTTP/1.1\r\n"
        f"Host: soak\r\n{ID_HEADER}: {sent.request_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
