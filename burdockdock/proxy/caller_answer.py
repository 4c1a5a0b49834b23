"""The answer to one request of a caller."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from burdockdock.logs import log_event
from burdockdock.protocol.answer_heads import check_answer_head
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.answers import answer_body_bytes, answer_headers
from burdockdock.proxy.caller_stream import CallerStream
from burdockdock.proxy.context import CallContext
from burdockdock.proxy.request_body import RequestBody

# How long to read the rest of a request's body after its answer. Closing the connection
# with unread bytes resets it, which discards an answer that is still on its way.
REQUEST_DRAIN_TIMEOUT_S = 1.0


class CallerAnswer:
    """Sends the answer to one request once it has the turn.

    ``started`` tells whether the head was sent, and ``complete`` whether all parts were
    passed to the connection. ``ended`` tells whether nothing more will be sent: the
    answer is complete or aborted, or the call's task has ended. ``status`` is the HTTP
    status that the caller gets, 0 if none yet. ``completed_at_s`` is the monotonic time
    in seconds at which the answer was complete. ``held_bytes`` is the memory of what
    the caller has not read yet. If ``closes``, the connection ends with this answer.

    :param body: body of the request.
    :param stop_reading: starts no further request on the connection, and returns
        whether this one is the last.
    :param on_change: called with the bytes that were written, when ``held_bytes``
        changes.
    """

    def __init__(
        self,
        context: CallContext,
        connection: HTTPConnection,
        stream: CallerStream,
        body: RequestBody,
        *,
        stop_reading: Callable[[], bool],
        on_change: Callable[[int], None],
    ) -> None:
        self.started = False
        self.ended = False
        self.complete = False
        self.completed_at_s: float | None = None
        self.status = 0
        self.held_bytes = 0
        self.closes = False
        self._on_change = on_change
        self._context = context
        self._connection = connection
        self._stream = stream
        self._body = body
        self._stop_reading = stop_reading
        # Bytes of the answer's body that are still to be sent, negative if its length
        # is unknown.
        self._body_bytes_left = -1
        # For HTTP/1.0 callers, closing the connection ends an answer without a length.
        self._close_delimited = False
        self._method = ""
        self._version = ""
        self._request_headers = HTTPHeaders()

    @property
    def whole(self) -> bool:
        """Whether nothing of the answer is missing."""
        return self.complete or not self._body_bytes_left

    def set_request(self, method: str, version: str, headers: HTTPHeaders) -> None:
        """Set the request that is answered.

        :param version: of HTTP.
        """
        self._method = method
        self._version = version
        self._request_headers = headers

    async def send_head(self, head: AnswerHead, body: bytes = b"") -> None:
        """Send the head of the answer, after the answers to all requests before it.

        :param body: the whole body, if it has arrived; it is sent in the same system
            call unless its length contradicts the head.
        :raises ValueError: if it is none of a final answer.
        """
        malformed = check_answer_head(head)
        if malformed is not None:
            raise ValueError(f"{malformed.reason}: {malformed.detail}")
        await self._stream.wait_turn()
        headers = answer_headers(head, self._method)
        self._body_bytes_left = answer_body_bytes(headers, self._method, head.status)
        if self._body_bytes_left < 0 and self._version != "HTTP/1.1":
            self._close_delimited = True
            # Otherwise tornado would announce that the connection stays open.
            self._request_headers.pop("Connection", None)
            self._stream.reset_on_close(True)
        if (self._context.draining or self.closes) and self._stop_reading():
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        fits = self._method != "HEAD" and self._body_bytes_left in (-1, len(body))
        with self._stream.answer_write():
            written = self._connection.write_headers(
                start_line, headers, body if fits else None
            )
        self.started = True
        self.status = head.status
        await self._wait_written(written, len(body) if fits else 0)
        if fits:
            self._body_bytes_left -= len(body)
        elif body:
            await self.send_body(body)

    async def send_body(self, data: bytes) -> None:
        """Send a chunk of the answer's body, and wait until it was written."""
        if self._method != "HEAD":
            with self._stream.answer_write():
                written = self._connection.write(data)
            await self._wait_written(written, len(data))
            self._body_bytes_left -= len(data)

    def mark_complete(self) -> None:
        """Mark the answer as complete; the connection is finished later."""
        self.complete = True
        self.completed_at_s = self._context.clock.monotonic()
        self.end()

    def abort(self) -> None:
        """Close the caller's connection before the answer is complete."""
        self.ended = True
        self._connection.detach()
        self._stream.abort()
        self._body.stop_buffering()

    def end(self) -> None:
        """Send nothing more, and read the rest of the request's body to discard it."""
        self.ended = True
        self._body.stop_buffering()

    async def finish(self) -> None:
        """Finish the answer, and end the connection or leave it to the next request."""
        if not self.complete:
            return
        if self._body_bytes_left == 0:
            await self._drain_request_body()
        if not self._close_delimited:
            with self._stream.answer_write():
                self._connection.finish()
        try:
            # The last chunk of a chunked answer may not have been sent yet.
            if self._stream.writing():
                await self._stream.wait_flushed()
        except StreamClosedError:
            log_event("call.end_unread", status=self.status)
        if self._close_delimited:
            self._stream.reset_on_close(False)
            self._stream.shutdown_write()
            await self._drain_request_body()
            self._connection.close()

    async def _drain_request_body(self) -> None:
        """Wait for the rest of the request's body, which is discarded."""
        try:
            async with asyncio.timeout(REQUEST_DRAIN_TIMEOUT_S):
                await self._body.wait_end()
        except TimeoutError:
            log_event("call.body_unread", timeout_s=REQUEST_DRAIN_TIMEOUT_S)

    async def _wait_written(
        self, future: "asyncio.Future[None]", size_bytes: int = 0
    ) -> None:
        if not future.done():
            # As much again may have arrived from the gate meanwhile.
            self.held_bytes = 2 * size_bytes
            self._on_change(0)
        try:
            await future
        except StreamClosedError:
            raise asyncio.CancelledError from None
        if self.held_bytes:
            self.held_bytes = 0
            self._on_change(size_bytes)
