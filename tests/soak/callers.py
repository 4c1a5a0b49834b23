"""Callers that keep their connections, and what they see."""

import asyncio
import random
import time
from typing import NamedTuple

from burdockdock.standin.local_fleet import NodeHandle
from tests.soak.backend_program import HOST, ID_HEADER, answer_to

_PATIENCE_S = 40.0
_CONNECT_AGAIN_S = 0.05


class Sent(NamedTuple):
    """A request.

    :param route: the number of its route, 0 for the one that always stands.
    :param slow_s: seconds for which the caller reads no more in the middle.
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


class Versions:
    """Which configurations stand: accepted, and acknowledged everywhere."""

    accepted = 0
    acknowledged = 0


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

    def start(self, node: NodeHandle, rng: random.Random) -> None:
        """Start one caller of a node."""
        self._tasks.append(asyncio.create_task(self._run(node, rng)))

    async def stop(self) -> None:
        """Wait for the last answers."""
        self._stopped.set()
        await asyncio.gather(*self._tasks)

    async def _run(self, node: NodeHandle, rng: random.Random) -> None:
        while not self._stopped.is_set():
            try:
                reader, writer = await asyncio.open_connection(HOST, node.callers_port)
            except OSError:
                await asyncio.sleep(_CONNECT_AGAIN_S)
                continue
            closes = False
            while not (closes or self._stopped.is_set()):
                closes = await self._call(
                    reader, writer, self._draw(node.place.name, rng)
                )
            writer.transport.abort()

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sent: Sent
    ) -> bool:
        """Send one request; return whether the connection ends with it."""
        status, whole, answer, closes = await _exchange(reader, writer, sent)
        right = answer == answer_to(sent.request_id, sent.size_bytes)
        accepted = self._versions.accepted
        self.seen.append(Seen(sent, status, whole, right, time.time(), accepted))
        return closes

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
    status = 0
    try:
        async with asyncio.timeout(_PATIENCE_S):
            writer.write(_render(sent))
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            status = int(head.split()[1])
            closes = "connection: close" in head
            length = int(head.partition("content-length: ")[2].split()[0])
            body = await reader.readexactly(length // 2)
            await asyncio.sleep(sent.slow_s)
            body += await reader.readexactly(length - len(body))
            return status, True, body, closes
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return status, False, b"", True


def _render(sent: Sent) -> bytes:
    path = route_path(sent.route) if sent.route else "/always/"
    body = sent.body if sent.method == "POST" else b""
    head = (
        f"{sent.method} {path}?ms={sent.latency_ms}&size={sent.size_bytes} HTTP/1.1\r\n"
        f"Host: soak\r\n{ID_HEADER}: {sent.request_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
