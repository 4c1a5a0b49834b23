"""The HTTP server that callers use."""

import asyncio
import json

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Call
from burdockdock.proxy.call_factory import DEFAULT_TENANT, hop_names, make_call
from burdockdock.proxy.context import CallContext

VERDICT_HEADER = "X-Burdockdock-Verdict"
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 1 << 40
_BUFFER_BYTES = 256 * 1024
_STATUS_OF_VERDICT = {
    Verdict.NOT_RUN: 503,
    Verdict.MAY_HAVE_RUN: 502,
    Verdict.RAN: 502,
}
_STATUS_OF_REASON = {
    "deadline_passed": 504,
    "backend_timeout": 504,
    "no_route": 404,
    "already_ran": 409,
}
_REASON_PHRASES = {
    404: "Not Found",
    409: "Conflict",
    502: "Bad Gateway",
    503: "Service Unavailable",
}
# Callers come back spread over this span.
_RETRY_AFTER_MIN_S = 0.05
_RETRY_AFTER_MAX_S = 0.4


class Listener(HTTPServerConnectionDelegate):
    """Starts a call for each request."""

    def __init__(self, context: CallContext) -> None:
        self._context = context

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request's parts."""
        return _CallerSide(self._context, request_conn)


def serve_callers(context: CallContext, *, host: str, port: int) -> HTTPServer:
    """Listen for callers."""
    server = HTTPServer(
        Listener(context),
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=300,
    )
    server.listen(port, address=host, backlog=1024)
    return server


class _CallerSide(HTTPMessageDelegate):
    """One request of a caller; its parts arrive here while its call runs."""

    def __init__(self, context: CallContext, connection: HTTPConnection) -> None:
        self._context = context
        self._connection = connection
        self._pieces: list[bytes] = []
        self._buffered_bytes = 0
        self._body_ended = False
        self._arrived = asyncio.Event()
        self._has_room: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._answer_started = False
        self._answer_ended = False
        self._method = ""
        self._status = 0

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Start the call."""
        self._method = start_line.method
        self._context.open_calls += 1
        # Without this, tornado tells of a closed connection only while it reads.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run(start_line, headers))

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Keep a piece of the body; make the caller wait while many are kept."""
        self._pieces.append(chunk)
        self._buffered_bytes += len(chunk)
        self._arrived.set()
        if self._buffered_bytes < _BUFFER_BYTES or self._answer_ended:
            return None
        self._has_room = asyncio.get_running_loop().create_future()
        return self._has_room

    def finish(self) -> None:
        """Note the end of the body."""
        self._body_ended = True
        self._arrived.set()

    def on_connection_close(self) -> None:
        """Cancel the call, since nobody waits for its answer."""
        if self._task is not None and not self._answer_ended:
            self._task.cancel()
        self._make_room()

    async def read_body(self) -> tuple[bytes, bool]:
        """Return what has arrived of the body and whether that is its end."""
        while not self._pieces and not self._body_ended:
            self._arrived.clear()
            await self._arrived.wait()
        data = b"".join(self._pieces)
        self._pieces.clear()
        self._buffered_bytes = 0
        self._make_room()
        return data, self._body_ended

    async def send_head(self, head: AnswerHead) -> None:
        """Begin the answer, with all of its body if that is there already."""
        self._answer_started = True
        self._status = head.status
        headers = _answer_headers(head, self._method)
        if self._context.draining:
            headers["Connection"] = "close"
        await self._write(
            self._connection.write_headers(
                ResponseStartLine("HTTP/1.1", head.status, head.reason), headers
            )
        )

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the answer once the connection took it."""
        if self._method != "HEAD":
            await self._write(self._connection.write(data))

    def finish_answer(self) -> None:
        """End a whole answer."""
        self._answer_ended = True
        self._connection.finish()
        self._make_room()

    def break_off(self) -> None:
        """Close the caller's connection in the middle of an answer."""
        self._answer_ended = True
        stream = self._connection.detach()
        stream.close()
        self._make_room()

    async def _write(self, future: "asyncio.Future[None]") -> None:
        try:
            await future
        except StreamClosedError:
            raise asyncio.CancelledError from None

    async def _run(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        context = self._context
        started_s = context.clock.monotonic()
        call = make_call(context, start_line, headers)
        try:
            if isinstance(call, Failure):
                failure: Failure | None = call
            else:
                failure = await context.forwarder.forward(call, _CallerAdapter(self))
            if failure is not None:
                await self._refuse(failure)
            self._log_end(call, headers, failure, started_s)
        except asyncio.CancelledError:
            context.metrics.count("calls_abandoned")
            abandoned = Failure(Verdict.MAY_HAVE_RUN, "caller_left")
            self._log_end(call, headers, abandoned, started_s)
        finally:
            # Nobody reads the rest of the body: a connection that waited for room
            # would never end.
            self._answer_ended = True
            self._make_room()
            context.open_calls -= 1
            _record_latency(context, call, started_s)

    def _log_end(
        self,
        call: Call | Failure,
        headers: HTTPHeaders,
        failure: Failure | None,
        started_s: float,
    ) -> None:
        """Write down how a call ended and what decided it."""
        context = self._context
        request = None if isinstance(call, Failure) else call.request
        request_id = headers.get(context.headers.request_id, "")
        log_event(
            "call.ended",
            request=request.request_id if request else request_id,
            route=request.route if request else "",
            service=request.service if request else "",
            config_version=context.snapshot().version,
            status=self._status,
            verdict="" if failure is None else failure.verdict.name.lower(),
            reason="" if failure is None else failure.reason,
            detail="" if failure is None else failure.detail,
            allowed_ms=request.time_left_ms if request else 0,
            seconds_s=context.clock.monotonic() - started_s,
        )

    async def _refuse(self, failure: Failure) -> None:
        """Tell the caller the verdict and the reason."""
        self._context.metrics.count("call_failures", label=failure.reason)
        status = _status_of(failure)
        verdict = failure.verdict.name.lower()
        body = json.dumps(
            {"verdict": verdict, "reason": failure.reason, "detail": failure.detail}
        ).encode()
        headers: list[tuple[str, str]] = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            (VERDICT_HEADER, verdict),
        ]
        if failure.verdict is Verdict.NOT_RUN:
            after_s = self._context.rng.uniform(_RETRY_AFTER_MIN_S, _RETRY_AFTER_MAX_S)
            headers.append(("Retry-After", f"{after_s:.3f}"))
        phrase = _REASON_PHRASES.get(status, "Gateway Timeout")
        await self.send_head(AnswerHead(status, phrase, tuple(headers)))
        await self.send_body(body)
        self.finish_answer()

    def _make_room(self) -> None:
        if self._has_room is not None and not self._has_room.done():
            self._has_room.set_result(None)


class _CallerAdapter:
    """The caller as the forwarder sees it."""

    def __init__(self, side: _CallerSide) -> None:
        self.read_body = side.read_body
        self.send_head = side.send_head
        self.send_body = side.send_body
        self.finish = side.finish_answer
        self.break_off = side.break_off


def _status_of(failure: Failure) -> int:
    """Return the status that promises no more than the verdict does."""
    if failure.verdict is Verdict.NOT_RUN and failure.reason != "no_route":
        return 503
    return _STATUS_OF_REASON.get(failure.reason, _STATUS_OF_VERDICT[failure.verdict])


def _record_latency(
    context: CallContext, call: Call | Failure, started_s: float
) -> None:
    request = None if isinstance(call, Failure) else call.request
    context.metrics.record_latency(
        "call",
        context.clock.monotonic() - started_s,
        tenant=request.tenant if request else DEFAULT_TENANT,
        traffic_class=request.traffic_class if request else "none",
    )


def _answer_headers(head: AnswerHead, method: str) -> HTTPHeaders:
    named = next((v for n, v in head.headers if n.lower() == "connection"), "")
    dropped = hop_names(named)
    kept = HTTPHeaders()
    for name, value in head.headers:
        if name.lower() not in dropped:
            kept.add(name, value)
    if method == "HEAD" and "Content-Length" not in kept:
        # Tornado would end the answer with an empty chunk.
        kept["Transfer-Encoding"] = "chunked"
    return kept
