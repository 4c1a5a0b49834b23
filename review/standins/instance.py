"""Stand-in for an application instance: serves requests and sends heartbeats."""

import asyncio
import json
import time
import uuid
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from standins.http1 import Message, read_message, render

HEARTBEAT_INTERVAL_S = 1.5
_ACK_TIMEOUT_S = 1.0
_MAX_IDLE_S = 10.0


class Run(NamedTuple):
    """One request that an instance ran.

    :param ended_at_s: None while it runs.
    """

    request_id: str
    instance_id: str
    started_at_s: float
    ended_at_s: float | None = None
    outcome: str = ""


class Instance:
    """Serves one request at a time on a connection, in a number of slots.

    The parameter ``work_ms`` in a request's query gives the duration of its work.

    :param now_s: returns the seconds since the start of the test.
    :param control: address for heartbeats.
    """

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        address: tuple[str, int],
        control: tuple[str, int],
        now_s: Callable[[], float],
        log: Callable[..., None],
        slots: int = 6,
        version: str = "v1",
    ) -> None:
        self.instance_id = f"i-{uuid.uuid4().hex[:8]}"
        self.service = service
        self.version = version
        self.state = "ready"
        self.runs: dict[str, list[Run]] = {}
        self.on_answer: Callable[[Message, bytes], bytes | None] | None = None
        self._zone = zone
        self._address = address
        self._control = control
        self._now_s = now_s
        self._log = log
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for requests and start to send heartbeats."""
        host, port = self._address
        self._server = await asyncio.start_server(self._serve, host, port)
        self.resume_heartbeats()

    def resume_heartbeats(self) -> None:
        """Send heartbeats until they are stopped."""
        self._beats = asyncio.create_task(self._send_heartbeats())

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    async def close(self) -> None:
        """Stop serving."""
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()

    def make_heartbeat(self) -> bytes:
        """Return the bytes of the next heartbeat."""
        self._sequence += 1
        host, port = self._address
        fields = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self._zone,
            "version": self.version,
            "slots": self._slot_count,
            "state": self.state,
            "cold-remaining": "0ms",
            "seq": self._sequence,
            "born": self._born_ms,
        }
        return self._render("instances.heartbeat", fields)

    async def deregister(self) -> int:
        """Say that the instance is gone; return the status of the answer."""
        self.stop_heartbeats()
        data = self._render("instances.deregister", {"born": self._born_ms})
        return await self.send_to_control(data)

    async def send_to_control(self, data: bytes) -> int:
        """Send a call to the node; return the status, 0 without an answer in time."""
        try:
            async with asyncio.timeout(_ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._control)
                try:
                    writer.write(data)
                    answer = await read_message(reader, is_response=True)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0
        return 0 if answer is None else answer.status

    def _render(self, call: str, fields: dict[str, object]) -> bytes:
        path = f"/api/rpc?call={call}&of={self.instance_id}"
        headers = {"Host": "control", "Content-Type": "application/json"}
        return render(
            f"POST {path} HTTP/1.1", headers, json.dumps(fields).encode("ascii")
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_to_control(self.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            while True:
                async with asyncio.timeout(_MAX_IDLE_S):
                    request = await read_message(reader)
                if request is None or not request.complete:
                    return
                if not await self._answer(request, reader, writer):
                    return
        except (TimeoutError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._connections.discard(task)
            writer.close()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request unless it is for another instance; False ends the connection.

        A request whose connection closes is dropped.
        """
        request_id = request.headers.get("request-id", "")
        expected = request.headers.get("expected-instance", self.instance_id)
        if expected != self.instance_id:
            writer.write(
                render(
                    "HTTP/1.1 421 Misdirected Request",
                    {"Instance-Id": self.instance_id, "Request-Id": request_id},
                )
            )
            return True
        query = parse_qs(urlsplit(request.start[1]).query)
        work_s = float(query.get("work_ms", ["20"])[0]) / 1000
        left_s = float(request.headers.get("deadline-ms", "60000")) / 1000
        async with self._slots:
            self._note_run(Run(request_id, self.instance_id, self._now_s()), request)
            gone = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait({gone}, timeout=min(work_s, left_s))
            if done:
                self._note_end(request_id, "dropped")
                return False
            gone.cancel()
            await asyncio.wait({gone})
        is_late = work_s > left_s
        status = "504 Gateway Timeout" if is_late else "200 OK"
        self._note_end(request_id, status)
        headers = {
            "Request-Id": request_id,
            "Response-Signature": f"{self.instance_id}.{request_id}",
        }
        data = render(
            f"HTTP/1.1 {status}", headers, f"{request_id} {request.start[1]}".encode()
        )
        if self.on_answer is not None:
            data = self.on_answer(request, data)
        if data is None:
            writer.transport.abort()
            return False
        writer.write(data)
        await writer.drain()
        return True

    def _note_run(self, run: Run, request: Message) -> None:
        self.runs.setdefault(run.request_id, []).append(run)
        self._log(
            "instance runs",
            request=run.request_id,
            instance=self.instance_id,
            deadline_ms=request.headers.get("deadline-ms", ""),
        )

    def _note_end(self, request_id: str, outcome: str) -> None:
        runs = self.runs[request_id]
        runs[-1] = runs[-1]._replace(ended_at_s=self._now_s(), outcome=outcome)
        self._log("instance ends", request=request_id, outcome=outcome)
