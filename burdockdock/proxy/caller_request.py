"""One request of a caller: passes it to the forwarder and sends its answer."""

import asyncio
from typing import Protocol

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
)

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event
from burdockdock.proxy.answers import build_refusal
from burdockdock.proxy.call import Call
from burdockdock.proxy.call_end import (
    internal_failure,
    log_call_end,
    record_call_latency,
)
from burdockdock.proxy.call_factory import make_call
from burdockdock.proxy.caller_answer import REQUEST_DRAIN_TIMEOUT_S, CallerAnswer
from burdockdock.proxy.caller_stream import (
    CallerStream,
    discard_input,
    pop_expect_continue,
)
from burdockdock.proxy.context import CallContext
from burdockdock.proxy.quota_use import QuotaUse
from burdockdock.proxy.request_body import MAX_BUFFERED_BODY_BYTES, RequestBody
from burdockdock.proxy.request_guard import RequestGuard

_BAD_REQUEST_STATUS = 400
_MALFORMED_BODY = "malformed_body"
# For the quota, if forwarding ended by an exception before anything was sent.
_NOT_SENT = Failure(Verdict.NOT_RUN, "not_sent")
_CALL_NOT_BUILT = Failure(Verdict.NOT_RUN, "no_call")


class Pipeline(Protocol):
    """The requests of one connection."""

    @property
    def reading_stopped(self) -> bool:
        """Whether no further request may start."""
        ...

    def note_change(self) -> None:
        """Check again whether the next request may be read."""
        ...

    def stop_reading(self, request: "CallerRequest") -> bool:
        """Start no further request; return whether this one is the last."""
        ...


class CallerRequest(HTTPMessageDelegate):
    """One request of a caller.

    Tornado delivers the request's parts here while the call is already running.

    ``started`` tells whether the request's head has arrived, and ``received`` whether
    all of it has. ``allows_next`` tells whether the request behind it may be read.
    """

    def __init__(
        self,
        context: CallContext,
        connection: HTTPConnection,
        stream: CallerStream,
        *,
        pipeline: Pipeline,
    ) -> None:
        self.stream = stream
        self.started = False
        self.allows_next = False
        self._context = context
        self._connection = connection
        self._pipeline = pipeline
        stream.on_foreign_write = self._on_tornado_error_line
        self._guard = RequestGuard(context, stream)
        self._body = RequestBody(self._guard.update)
        self._answer = CallerAnswer(
            context,
            connection,
            stream,
            self._body,
            stop_reading=lambda: pipeline.stop_reading(self),
            on_change=self._guard.update,
        )
        self._guard.attach(self._body, self._answer)
        self._closed = False
        self._task: asyncio.Task[None] | None = None
        self._abort_task: asyncio.Task[None] | None = None
        self._body_malformed = False
        self._version = ""
        self._request_headers = HTTPHeaders()

    @property
    def received(self) -> bool:
        """Whether the whole request has arrived."""
        return self._body.ended

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> "asyncio.Future[None] | None":
        """Start the call, unless the answer before it ends the connection."""
        if self._pipeline.reading_stopped:
            return asyncio.ensure_future(discard_input(self.stream.raw))
        self.started = True
        self._version = start_line.version
        self._request_headers = headers
        self._answer.set_request(start_line.method, start_line.version, headers)
        self._guard.check_head(headers)
        self._context.open_calls += 1
        # Without this, tornado reports a closed connection only while it reads.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run(start_line, headers))
        # A callback, because a task that is cancelled before its first step doesn't run
        # its ``finally`` block.
        self._task.add_done_callback(self._on_call_done)
        self._guard.start(self._task.cancel)
        if pop_expect_continue(start_line, headers) and self._guard.refusal is None:
            self.stream.send_continue()
        return None

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Buffer a chunk of the body.

        :returns: a future for which tornado waits before it reads on, if the buffer is
            full.
        """
        if not self._guard.takes(chunk):
            return None
        return self._body.append(chunk)

    def finish(self) -> None:
        """Handle the end of the request's body."""
        self._body.end()
        self._guard.update(0)
        self._pipeline.note_change()

    def on_connection_close(self) -> None:
        """Cancel the call, because its caller is gone."""
        if self._abort_task is not None:
            self._abort_task.cancel()
        if self._closed:
            return
        if self._task is not None and not self._answer.ended:
            self._task.cancel()
        self._note_closed()

    def _on_tornado_error_line(self, line: bytes) -> "asyncio.Future[None]":
        """Handle the error line by which tornado refuses a malformed message.

        The line is sent only if no answer has started and the call can't have run. A
        call with a chunked body waits for the first valid chunk before it sends
        anything. The length of any other body is in the header section, so tornado
        rejects it before the call's task first runs.

        :returns: a future after which tornado closes the connection.
        """
        if self._answer.whole:
            return asyncio.ensure_future(self._drain_after_answer())
        if self._task is not None:
            self._body_malformed = True
            self._task.cancel()
        if self._answer.started or self._body.forwarded:
            return asyncio.ensure_future(self._abort_in_turn())
        self._answer.status = _BAD_REQUEST_STATUS
        return asyncio.ensure_future(
            self.stream.write_final_line(line, timeout_s=REQUEST_DRAIN_TIMEOUT_S)
        )

    async def _abort_in_turn(self) -> None:
        await self.stream.wait_turn()
        self._answer.abort()

    async def _drain_after_answer(self) -> None:
        """Let the caller read its complete answer, and send nothing after it."""
        await self.stream.drain_input(REQUEST_DRAIN_TIMEOUT_S)
        self._note_closed()
        if self._task is not None:
            await asyncio.wait({self._task})

    def _note_closed(self) -> None:
        self._closed = True
        self._body.close()

    async def _run(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        context = self._context
        started_s = context.clock.monotonic()
        call: Call | Failure = _CALL_NOT_BUILT
        failure: Failure | None = None
        try:
            self._guard.running = True
            if self._guard.refusal is not None:
                call = self._guard.refusal
            else:
                call = await self._make_call(start_line, headers, started_s)
                self._allow_next(call)
            failure = call if isinstance(call, Failure) else await self._forward(call)
            if failure is not None:
                await self._refuse(failure)
            await self._answer.finish()
        except asyncio.CancelledError:
            failure = self._failure_after_cancel() or failure
            await self._refuse_rejected()
        except Exception as error:
            failure = internal_failure(error)
            await self._report_internal_failure(failure)
        finally:
            completed_at_s = self._answer.completed_at_s
            ended_s = (
                context.clock.monotonic() if completed_at_s is None else completed_at_s
            )
            took_s = ended_s - started_s
            log_call_end(
                context,
                call,
                headers,
                failure,
                status=self._answer.status,
                took_s=took_s,
            )
            record_call_latency(context, call, started_s)

    async def _make_call(
        self, start_line: RequestStartLine, headers: HTTPHeaders, arrived_at_s: float
    ) -> Call | Failure:
        """Build the call; one that isn't idempotent waits for the calls before it.

        :param arrived_at_s: monotonic seconds.
        """
        call = make_call(self._context, start_line, headers)
        if self.stream.has_turn or isinstance(call, Failure) or call.request.idempotent:
            return call
        await self.stream.wait_turn()
        # The configuration may have changed while the call waited.
        return make_call(self._context, start_line, headers, arrived_at_s=arrived_at_s)

    def _allow_next(self, call: Call | Failure) -> None:
        """Allow the request behind this one to be read, if both may run concurrently.

        Nothing starts behind a call that isn't idempotent, since a closing connection
        must leave no doubt about what has run behind it.
        """
        if not isinstance(call, Failure):
            is_short = 0 <= call.request.body_length <= MAX_BUFFERED_BODY_BYTES
            if not (call.request.idempotent and is_short):
                return
        connection_header = self._request_headers.get("Connection", "").lower()
        self.allows_next = (
            self._version == "HTTP/1.1" and "close" not in connection_header
        )
        self._pipeline.note_change()

    async def _forward(self, call: Call) -> Failure | None:
        """Forward a call if its workspace has a token for it."""
        context = self._context
        caller = _CallerAdapter(self._body, self._answer)
        if context.quota is None:
            return await context.forwarder.forward(call, caller)
        quota_use = QuotaUse(context.quota, call.request.workspace)
        refusal = await quota_use.take()
        if refusal is not None:
            return refusal
        try:
            failure = await context.forwarder.forward(
                call, caller, check_ready=quota_use.renew
            )
        except BaseException:
            if self._guard.is_proved_not_run():
                quota_use.end(_NOT_SENT)
            raise
        quota_use.end(failure)
        return failure

    def _on_call_done(self, _task: asyncio.Task[None]) -> None:
        # Nothing reads the body any more: a connection that waits for room in the
        # buffer would never end.
        self._answer.end()
        self._guard.end()
        is_cut = self._guard.rejection is not None and not self._answer.complete
        if is_cut and not self.stream.closed():
            self._abort_task = asyncio.create_task(self._abort_in_turn())
            self._abort_task.add_done_callback(self._on_abort_done)
        self._context.open_calls -= 1

    def _on_abort_done(self, task: asyncio.Task[None]) -> None:
        """Close the connection in any case, or its caller would wait for an answer."""
        if task.cancelled() or task.exception() is None:
            return
        log_event("caller.abort_fault", error=repr(task.exception()))
        self.stream.abort()

    async def _report_internal_failure(self, failure: Failure) -> None:
        """Report an exception in this node to the caller, unless the answer began."""
        self._context.metrics.count("calls_faulted")
        if self._answer.started:
            self._answer.abort()
            return
        await self._refuse(failure)
        await self._answer.finish()
        # The exception may have left the connection in any state.
        self.stream.close()

    def _failure_after_cancel(self) -> Failure | None:
        """Return the failure of a cancelled call, None if its answer was complete."""
        if self._answer.whole:
            return None
        if self._body_malformed:
            self._context.metrics.count("call_failures", label=_MALFORMED_BODY)
            refused = not self._answer.started and not self._body.forwarded
            verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
            return Failure(verdict, _MALFORMED_BODY)
        if self._guard.rejection is not None:
            return self._guard.failure()
        self._context.metrics.count("calls_abandoned")
        return Failure(Verdict.MAY_HAVE_RUN, "caller_left")

    async def _refuse_rejected(self) -> None:
        """Refuse a request that was cancelled for a limit, if it can't have run."""
        if self._guard.rejection is not None and self._guard.is_proved_not_run():
            asyncio.current_task().uncancel()
            await self._refuse(self._guard.rejection)
            await self._answer.finish()

    async def _refuse(self, failure: Failure) -> None:
        """Send the caller an answer with the verdict and the reason of a failure."""
        self._context.metrics.count("call_failures", label=failure.reason)
        refusal = build_refusal(failure, self._context.rng)
        await self._answer.send_head(refusal.head, refusal.body)
        self._answer.mark_complete()


class _CallerAdapter:
    """Implements ``Caller`` for the forwarder on a request and its answer."""

    def __init__(self, body: RequestBody, answer: CallerAnswer) -> None:
        self.read_body = body.read
        self.send_head = answer.send_head
        self.send_body = answer.send_body
        self.finish = answer.mark_complete
        self.abort = answer.abort
