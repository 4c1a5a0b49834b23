"""Pipelined requests for tests, and a forwarder that answers them on demand."""

import asyncio
from types import SimpleNamespace

from tornado.httputil import RequestStartLine

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from tests.proxy.caller_server import REQUEST


def request(target: str, method: str = "GET", headers: str = "") -> bytes:
    """Return the bytes of a request without a body."""
    return f"{method} /{target} HTTP/1.1\r\nHost: a\r\n{headers}\r\n".encode()


def build_call(
    _context: object, start_line: RequestStartLine, *_: object, **__: object
) -> SimpleNamespace:
    """Build a call that only POST makes non-idempotent."""
    return SimpleNamespace(
        request=REQUEST._replace(
            target=start_line.path,
            method=start_line.method,
            idempotent=start_line.method != "POST",
        )
    )


class ManualForwarder:
    """Answers each call with its target when a test says so."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self._may_answer: dict[str, asyncio.Event] = {}

    def event(self, target: str) -> asyncio.Event:
        """Return the event that lets a call be answered."""
        return self._may_answer.setdefault(target, asyncio.Event())

    def answer(self, *targets: str) -> None:
        """Let calls be answered."""
        for target in targets:
            self.event(target).set()

    async def forward(self, call: SimpleNamespace, caller: Caller) -> Failure | None:
        """Wait for the test, then answer."""
        target = call.request.target.removeprefix("/")
        self.started.append(target)
        try:
            await self.event(target).wait()
            if target.startswith("refused"):
                return Failure(Verdict.NOT_RUN, "queue_full")
            body = target.encode()
            length = (("Content-Length", str(len(body))),)
            await caller.send_head(AnswerHead(200, "OK", length))
            await caller.send_body(body)
            if target.startswith("aborted"):
                caller.abort()
            else:
                caller.finish()
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        return None


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, str, bytes]:
    """Return the status, the Connection header and the body of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1]), headers.get("connection", ""), body
