"""Keeps one request within the configuration's limits and the memory budget."""

from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from burdockdock.configuration.model import CallerLimits
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.call_factory import body_length
from burdockdock.proxy.caller_answer import CallerAnswer
from burdockdock.proxy.caller_bounds import (
    NO_MEMORY,
    refusal_of_body,
    refusal_of_head,
)
from burdockdock.proxy.caller_stream import CallerStream
from burdockdock.proxy.context import CallContext
from burdockdock.proxy.memory_budget import MemoryAccount
from burdockdock.proxy.request_body import RequestBody

# What the objects of a request occupy, without a body, and with the buffers of the
# parser, which holds two parts of a chunked body that it has not delivered.
_REQUEST_BYTES = 16 * 1024
_BODY_REQUEST_BYTES = 64 * 1024


class RequestGuard:
    """Decides when one request of a caller exceeds what it may send or hold.

    ``refusal`` is why the request is refused before its call was built, and
    ``rejection`` why it was ended later on; both are None if it wasn't. ``running``
    tells whether the call's task has begun.
    """

    def __init__(self, context: CallContext, stream: CallerStream) -> None:
        self.refusal: Failure | None = None
        self.rejection: Failure | None = None
        self.running = False
        self._context = context
        self._stream = stream
        self._limits = CallerLimits()
        self._has_body = False
        self._received_bytes = 0
        self._account: MemoryAccount | None = None
        self._body: RequestBody | None = None
        self._answer: CallerAnswer | None = None
        self._cancel: Callable[[], object] | None = None

    def attach(self, body: RequestBody, answer: CallerAnswer) -> None:
        """Set the parts of the request whose memory is accounted for."""
        self._body = body
        self._answer = answer

    def check_head(self, headers: HTTPHeaders) -> None:
        """Refuse the request by its head if the configuration's limits say so."""
        self._limits = self._context.snapshot().limits
        self.refusal = refusal_of_head(
            self._limits, headers, head_bytes=self._stream.head_bytes
        )
        if self.refusal is not None:
            self._answer.closes = True
            self._context.shed_log.note(self.refusal.reason)
        # As in the call: the forwarder reads a body that it expects before it sends
        # anything, and sends at once if it expects none.
        self._has_body = body_length(headers) != 0

    def start(self, cancel: Callable[[], object]) -> None:
        """Account for the request's memory from now on.

        :param cancel: cancels the call's task.
        """
        self._cancel = cancel
        self._account = self._context.memory.open(self._shed)
        self.update(0)

    def takes(self, chunk: bytes) -> bool:
        """Return whether a chunk of the body is buffered; reject a body too large."""
        self._stream.pace.note_bytes(len(chunk))
        self._received_bytes += len(chunk)
        if self._answer.ended or self.refusal is not None:
            return False
        failure = refusal_of_body(self._limits, self._received_bytes)
        if failure is not None and self.rejection is None:
            self._context.shed_log.note(failure.reason)
            self._reject(failure)
        return self.rejection is None and self.refusal is None

    def update(self, moved_bytes: int) -> None:
        """Account for the memory that is held for the request.

        :param moved_bytes: bytes that arrived or were passed on.
        """
        if self._account is None:
            return
        self._account.whole = self._body.ended
        self._account.move(moved_bytes)
        own_bytes = _BODY_REQUEST_BYTES if self._has_body else _REQUEST_BYTES
        held_bytes = self._body.held_bytes + self._answer.held_bytes
        self._account.hold(own_bytes + held_bytes)

    def end(self) -> None:
        """Release the memory of a request whose call has ended."""
        if self._account is not None:
            self._account.close()

    def is_proved_not_run(self) -> bool:
        """Return whether nothing of the request was passed on."""
        sent = self._body.forwarded or not self._has_body
        return not (sent or self._answer.started)

    def failure(self) -> Failure | None:
        """Return the failure of a request that was rejected, None if it wasn't."""
        if self.rejection is None or self.is_proved_not_run():
            return self.rejection
        return self.rejection._replace(verdict=Verdict.MAY_HAVE_RUN)

    def _shed(self) -> None:
        """End the request to free its memory."""
        if self._answer.started:
            # What the caller doesn't read is freed only with the connection.
            self._stream.abort()
        elif self.rejection is None:
            self._reject(Failure(Verdict.NOT_RUN, NO_MEMORY))

    def _reject(self, failure: Failure) -> None:
        """End the call, which refuses the request or ends the connection."""
        self._answer.closes = True
        self._body.discard()
        if not self.running:
            # A task that is cancelled before its first step could refuse nothing.
            self.refusal = failure
            return
        self.rejection = failure
        self._cancel()
