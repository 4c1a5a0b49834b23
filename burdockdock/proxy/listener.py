"""The HTTP server that callers use."""

import asyncio

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
from burdockdock.proxy.answers import answer_body_bytes, answer_headers, build_refusal
from burdockdock.proxy.call import Call
from burdockdock.proxy.call_end import (
    internal_failure,
    log_call_end,
    record_call_latency,
)
from burdockdock.proxy.call_factory import make_call
from burdockdock.proxy.caller_stream import CallerStream, waits_to_send
from burdockdock.proxy.context import CallContext

MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 1 << 40
_BUFFER_BYTES = 256 * 1024
# How long the rest of a body is read after its answer: a close before that resets the
# connection, and with it an answer on its way.
_READ_ON_S = 1.0
_BAD_REQUEST = 400
_MALFORMED = "malformed_body"
_NO_CALL = Failure(Verdict.NOT_RUN, "no_call")


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
        self._stream = CallerStream(connection.stream, self._on_stray_line)
        connection.stream = self._stream
        self._pieces: list[bytes] = []
        self._buffered_bytes = 0
        self._body_ended = False
        self._closed = False
        self._arrived = asyncio.Event()
        self._has_room: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        # Whether the forwarder got a part of the body, so that the request may run.
        self._body_used = False
        self._answer_started = False
        self._answer_ended = False
        self._whole = False
        self._whole_at_s: float | None = None
        self._malformed = False
        # Bytes of the answer's body still to be sent, where its head tells them.
        self._left_bytes = -1
        # Without a length, older callers know an answer's end by the connection's.
        self._ends_with_close = False
        self._method = ""
        self._version = ""
        self._request_headers = HTTPHeaders()
        self._status = 0

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Start the call."""
        self._method, _, self._version = start_line
        self._request_headers = headers
        self._context.open_calls += 1
        # Without this, tornado tells of a closed connection only while it reads.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run(start_line, headers))
        # A task that is cancelled before its first step runs none of its own lines.
        self._task.add_done_callback(self._on_end)
        if waits_to_send(start_line, headers):
            self._stream.ask_for_body()

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Keep a piece of the body; make the caller wait while many are kept."""
        if self._answer_ended:
            return None
        self._pieces.append(chunk)
        self._buffered_bytes += len(chunk)
        self._arrived.set()
        if self._buffered_bytes < _BUFFER_BYTES:
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
        self._end_reading()

    def _on_stray_line(self, line: bytes) -> "asyncio.Future[None]":
        """Decide on the line by which tornado refuses a malformed message.

        Tornado closes the connection once what this returns is done. A call reads the
        first part of a chunked body before anything else; the framing of other bodies
        stands in the head, and is found malformed before the call's first step.
        """
        if self._whole or not self._left_bytes:
            return asyncio.ensure_future(self._end_after_answer())
        if self._task is not None:
            self._malformed = True
            self._task.cancel()
        if self._answer_started or self._body_used:
            self.break_off()
            return asyncio.ensure_future(asyncio.sleep(0))
        self._status = _BAD_REQUEST
        return asyncio.ensure_future(self._stream.refuse(line, read_on_s=_READ_ON_S))

    async def _end_after_answer(self) -> None:
        """Let a caller have its answer, and nothing after it."""
        await self._stream.read_out(_READ_ON_S)
        self._end_reading()
        if self._task is not None:
            await asyncio.wait({self._task})

    def _end_reading(self) -> None:
        self._closed = True
        self._arrived.set()
        self._make_room()

    async def read_body(self) -> tuple[bytes, bool]:
        """Return what has arrived of the body and whether that is its end."""
        while not self._pieces and not self._body_ended:
            self._arrived.clear()
            await self._arrived.wait()
        data = b"".join(self._pieces)
        self._pieces.clear()
        self._buffered_bytes = 0
        self._body_used = True
        self._make_room()
        return data, self._body_ended

    async def send_head(self, head: AnswerHead) -> None:
        """Begin the answer, with all of its body if that is there already."""
        headers = answer_headers(head, self._method)
        self._left_bytes = answer_body_bytes(headers, self._method, head.status)
        if self._left_bytes < 0 and self._version != "HTTP/1.1":
            self._ends_with_close = True
            # Tornado would tell the caller that the connection stays open.
            self._request_headers.pop("Connection", None)
            self._stream.reset_on_close(True)
        if self._context.draining:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        with self._stream.owned():
            written = self._connection.write_headers(start_line, headers)
        self._answer_started = True
        self._status = head.status
        await self._write(written)

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the answer once the connection took it."""
        if self._method != "HEAD":
            with self._stream.owned():
                written = self._connection.write(data)
            await self._write(written)
            self._left_bytes -= len(data)

    def finish_answer(self) -> None:
        """Note that the answer is whole."""
        self._answer_ended = True
        self._whole = True
        self._whole_at_s = self._context.clock.monotonic()
        self._make_room()

    def break_off(self) -> None:
        """Close the caller's connection in the middle of an answer."""
        self._answer_ended = True
        self._connection.detach()
        self._stream.close()
        self._make_room()

    async def _end_request(self) -> None:
        """Leave the connection to the next request once this one has all ended."""
        if not self._whole:
            return
        if self._left_bytes == 0:
            await self._read_on()
        if not self._ends_with_close:
            with self._stream.owned():
                self._connection.finish()
        try:
            # A chunked answer's end may still wait for the caller to take it.
            if self._stream.writing():
                await self._stream.flushed()
        except StreamClosedError:
            log_event("call.end_unread", status=self._status)
        if self._ends_with_close:
            self._stream.reset_on_close(False)
            self._stream.end_writing()
            await self._read_on()
            self._connection.close()

    async def _read_on(self) -> None:
        """Take in the rest of the request's body, for a while."""
        try:
            async with asyncio.timeout(_READ_ON_S):
                while not self._body_ended and not self._closed:
                    self._arrived.clear()
                    await self._arrived.wait()
        except TimeoutError:
            log_event("call.body_unread", read_on_s=_READ_ON_S)

    async def _write(self, future: "asyncio.Future[None]") -> None:
        try:
            await future
        except StreamClosedError:
            raise asyncio.CancelledError from None

    async def _run(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        context = self._context
        started_s = context.clock.monotonic()
        call: Call | Failure = _NO_CALL
        failure: Failure | None = None
        try:
            call = make_call(context, start_line, headers)
            failure = call if isinstance(call, Failure) else await self._forward(call)
            if failure is not None:
                await self._refuse(failure)
            await self._end_request()
        except asyncio.CancelledError:
            failure = self._abandoned() or failure
        except Exception as error:
            failure = internal_failure(error)
            await self._end_faulted(failure)
        finally:
            whole_at_s = self._whole_at_s
            ended_s = context.clock.monotonic() if whole_at_s is None else whole_at_s
            took_s = ended_s - started_s
            log_call_end(
                context, call, headers, failure, status=self._status, took_s=took_s
            )
            record_call_latency(context, call, started_s)

    async def _forward(self, call: Call) -> Failure | None:
        return await self._context.forwarder.forward(call, _CallerAdapter(self))

    def _on_end(self, _task: asyncio.Task[None]) -> None:
        # Nobody reads the rest of the body: a connection that waited for room would
        # never end.
        self._answer_ended = True
        self._make_room()
        self._context.open_calls -= 1

    async def _end_faulted(self, failure: Failure) -> None:
        """Tell the caller of a fault of this node, as far as that can be told still."""
        self._context.metrics.count("calls_faulted")
        if self._answer_started:
            self.break_off()
            return
        await self._refuse(failure)
        await self._end_request()
        # What state the fault left the connection in is not known.
        self._stream.close()

    def _abandoned(self) -> Failure | None:
        """Return what a closed connection means: no failure after a whole answer."""
        if self._whole or not self._left_bytes:
            return None
        if self._malformed:
            self._context.metrics.count("call_failures", label=_MALFORMED)
            refused = not self._answer_started and not self._body_used
            verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
            return Failure(verdict, _MALFORMED)
        self._context.metrics.count("calls_abandoned")
        return Failure(Verdict.MAY_HAVE_RUN, "caller_left")

    async def _refuse(self, failure: Failure) -> None:
        """Tell the caller the verdict and the reason."""
        self._context.metrics.count("call_failures", label=failure.reason)
        refusal = build_refusal(failure, self._context.rng)
        await self.send_head(refusal.head)
        await self.send_body(refusal.body)
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
