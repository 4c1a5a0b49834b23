"""Stand-in for an application instance: serves requests and announces itself."""

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from http_parts import (
    Request,
    encode_answer,
    encode_request,
    exchange,
    read_body,
    read_head,
)

# Writes the answer to a request, and returns whether the connection stays open.
Behaviour = Callable[["Instance", Request, asyncio.StreamWriter], Awaitable[bool]]

_BEAT_TIMEOUT_S = 1.0


class Instance:
    """One instance beside a node.

    :param note: called with what happens, as fields of one line of the record.
    :param behave: how it answers a request that it runs.
    :ivar runs: the requests that it began to work on.
    :ivar early_bytes: answer requests with a body of this length or more before reading
        the body, and read on later; 0 to read each body first.
    :ivar late_bodies: what it read as the bodies of these requests, by their ids.
    """

    def __init__(
        self,
        name: str,
        *,
        service: str,
        version: str = "v1",
        slots: int = 9,
        zone: str = "zone-a",
        beat_s: float = 1.5,
        note: Callable[..., None],
        behave: Behaviour | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.host = "127.0.0.1"
        self.port = 0
        self.runs: list[Request] = []
        self.early_bytes = 0
        self.late_bodies: dict[str, bytes] = {}
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self._beat_s = beat_s
        self._note = note
        self._behave = behave or answer_at_once
        self._control: tuple[str, int] = ("", 0)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        """Listen for requests."""
        self.port = port
        self._server = await asyncio.start_server(
            self._serve, self.host, port, limit=1 << 20
        )

    def announce_to(self, control: tuple[str, int]) -> None:
        """Send heartbeats to a node's control address from now on."""
        self._control = control
        self._beats = asyncio.create_task(self._send_beats())

    def crash(self) -> None:
        """End without a word: no heartbeats, no listener, no connections."""
        self.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and sending heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    def beat_fields(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-remaining": "0ms",
            "seq": next(self.sequence),
            "born": self.born,
        }

    async def beat(self, fields: dict[str, Any] | None = None) -> int:
        """Send one heartbeat; return the status of its answer, 0 without one."""
        body = json.dumps(fields or self.beat_fields()).encode()
        target = f"/api/rpc?call=instances.heartbeat&of={self.name}"
        headers = {"Host": "control", "Content-Type": "application/json"}
        data = encode_request("POST", target, headers, body)
        answer = await exchange(self._control, data, timeout_s=_BEAT_TIMEOUT_S)
        return answer.status

    async def _send_beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(self._beat_s)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while await self._serve_next(reader, writer):
                await writer.drain()
        except (EOFError, OSError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve the next request; return whether the connection stays open."""
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        request = Request(method, target, headers)
        body_bytes = int(headers.get("content-length", "0"))
        if not self.early_bytes or body_bytes < self.early_bytes:
            request = request._replace(body=await read_body(reader, headers))
            return await self._answer(request, writer)
        stays_open = await self._answer(request, writer)
        await writer.drain()
        await self._read_late(request, reader, body_bytes)
        return stays_open

    async def _read_late(
        self, request: Request, reader: asyncio.StreamReader, size_bytes: int
    ) -> None:
        """Read the body of a request that was answered, and note what arrives."""
        received = b""
        while len(received) < size_bytes:
            data = await reader.read(size_bytes - len(received))
            if not data:
                break
            received += data
            self.late_bodies[request.headers.get("request-id", "")] = received
            self._note(
                "late_body",
                instance=self.name,
                id=request.headers.get("request-id", ""),
                got_bytes=len(received),
                due_bytes=size_bytes,
                data=data[:300].decode("latin-1"),
            )

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        expected = request.headers.get("expected-instance", self.name)
        if expected != self.name:
            writer.write(encode_answer(421, headers={"Instance-Id": self.name}))
            return True
        if request.target == "/health":
            writer.write(encode_answer(200, headers={"Instance-Id": self.name}))
            return True
        self.runs.append(request)
        self._note(
            "ran",
            instance=self.name,
            id=request.headers.get("request-id", ""),
            method=request.method,
            target=request.target,
            body_bytes=len(request.body),
        )
        return await self._behave(self, request, writer)


def signed(request: Request) -> dict[str, str]:
    """Return the headers that an instance puts on each of its answers."""
    request_id = request.headers.get("request-id", "")
    return {"Request-Id": request_id, "Response-Signature": f"signed-{request_id}"}


async def answer_at_once(
    instance: Instance, request: Request, writer: asyncio.StreamWriter
) -> bool:
    """Answer with the length of the request's body; to HEAD with no body."""
    body = f"{instance.name} {request.method} {len(request.body)}".encode()
    answer = encode_answer(200, body, signed(request))
    if request.method == "HEAD":
        answer = answer.removesuffix(body)
    writer.write(answer)
    return True
