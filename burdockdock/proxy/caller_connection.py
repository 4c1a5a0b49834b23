"""One caller's connection: reads pipelined requests ahead and answers them in order."""

import asyncio
import select
import socket
from collections import deque

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from burdockdock.configuration.model import CallerLimits
from burdockdock.logs import log_event
from burdockdock.proxy.caller_bounds import TIMEOUT_MARGIN
from burdockdock.proxy.caller_request import CallerRequest
from burdockdock.proxy.caller_stream import (
    CallerStream,
    discard_input,
    shutdown_write,
)
from burdockdock.proxy.chunk_pace import ChunkPace
from burdockdock.proxy.context import CallContext

# How long a connection may wait for its next request.
_IDLE_TIMEOUT_S = 300.0
# How long to read on after the last answer, until the caller closes its side.
_CLOSE_TIMEOUT_S = 1.0
# How often to check whether the caller left while no bytes are read.
_LEFT_CALLER_CHECK_INTERVAL_S = 0.2


class CallerConnection:
    """Reads a caller's requests and sends their answers in the order of the requests.

    The next request is read as soon as the one before it allows it, so that pipelined
    requests run concurrently. Each has a tornado connection of its own on a
    :class:`CallerStream`, which holds back its answer until it has the turn.

    :param max_calls: how many requests may be in progress at once.
    :param address: of the caller, for tornado's log.
    """

    def __init__(
        self,
        stream: IOStream,
        context: CallContext,
        *,
        max_calls: int,
        params: HTTP1ConnectionParameters,
        address: tuple[str, int],
    ) -> None:
        self.stream = stream
        self._context = context
        self._max_calls = max_calls
        self._params = params
        self._address = address
        # Requests whose answers are not complete, oldest first. The last one may not
        # have arrived yet.
        self._requests: deque[CallerRequest] = deque()
        self._reading_stopped = False
        self._ending = False
        self._changed = asyncio.Event()
        self._ended = asyncio.Event()
        self._pace = ChunkPace(context.tiny_chunk_time)
        # Whether a request was served, and since when a head has been incomplete.
        self._has_served = False
        self._head_since_s: float | None = None
        self._idle_since_s = context.clock.monotonic()
        self._idle_timer: asyncio.TimerHandle | None = None

    async def serve(self) -> None:
        """Serve requests until the connection has ended."""
        self.stream.set_close_callback(self._on_stream_closed)
        # Set once here; tornado would set and clear it for each answer.
        self.stream.set_nodelay(True)
        self._idle_since_s = self._context.clock.monotonic()
        self._check_idle_later(_IDLE_TIMEOUT_S)
        while not self._reading_stopped and not self.stream.closed():
            self._read_next_request()
            await self._wait_until_next_may_start()
        await self._ended.wait()
        self._idle_timer.cancel()

    async def close(self) -> None:
        """Close the connection at once, and wait until its requests have ended."""
        self.stream.close()
        await self._ended.wait()

    @property
    def idle(self) -> bool:
        """Whether no request is in progress; its head may have arrived in part."""
        return not any(request.started for request in self._requests)

    @property
    def idle_rank(self) -> tuple[bool, float]:
        """Order in which idle connections are closed to make room for others."""
        return self._has_served, self._idle_since_s

    def overdue(self, limits: CallerLimits) -> str:
        """Return which of the configuration's time-outs has passed, empty if none."""
        if self._ending or not self.idle:
            self._head_since_s = None
            return ""
        now_s = self._context.clock.monotonic()
        # Tornado's stream doesn't tell otherwise that a head has begun.
        if self.stream._read_buffer_size:
            self._head_since_s = self._head_since_s or now_s
            waited_s, timeout_ms = now_s - self._head_since_s, limits.header_timeout_ms
            reason = "header_timeout"
        else:
            self._head_since_s = None
            waited_s, timeout_ms = now_s - self._idle_since_s, limits.idle_timeout_ms
            reason = "idle_timeout"
        is_late = timeout_ms and waited_s * 1000 > timeout_ms * TIMEOUT_MARGIN
        if not is_late or (reason == "idle_timeout" and self.has_input()):
            return ""
        return reason

    def has_input(self) -> bool:
        """Return whether a request has arrived that was not read yet."""
        poller = select.poll()
        poller.register(self.stream.socket, select.POLLIN)
        return bool(poller.poll(0))

    def stop_reading(self, request: CallerRequest) -> bool:
        """Start no request any more that has not started yet.

        :returns: whether this request is the last that has started, so that its answer
            is the connection's last.
        """
        self._reading_stopped = True
        self._changed.set()
        return next(r for r in reversed(self._requests) if r.started) is request

    def _read_next_request(self) -> None:
        stream = CallerStream(self.stream, self._end, self._pace)
        connection = HTTP1Connection(stream, False, self._params, self._address)
        request = CallerRequest(self._context, connection, stream, pipeline=self)
        self._requests.append(request)
        self._requests[0].stream.take_turn()
        task = asyncio.ensure_future(connection.read_response(request))
        task.add_done_callback(lambda _: self._on_request_end(request, task))

    async def _wait_until_next_may_start(self) -> None:
        """Wait until the next request may be read, or until none may."""
        while not (self._reading_stopped or self.stream.closed() or self._may_read()):
            self._changed.clear()
            if self._requests[-1].received:
                await self._wait_while_not_reading()
            else:
                await self._changed.wait()

    def _may_read(self) -> bool:
        if not self._requests:
            return True
        last = self._requests[-1]
        return (
            last.received and last.allows_next and len(self._requests) < self._max_calls
        )

    @property
    def reading_stopped(self) -> bool:
        """Whether no further request may start."""
        return self._reading_stopped

    def note_change(self) -> None:
        """Check again whether the next request may be read."""
        self._changed.set()

    def _on_request_end(
        self, request: CallerRequest, task: "asyncio.Task[bool]"
    ) -> None:
        """Give the turn to the next request, or end with the last one."""
        self._requests.remove(request)
        self._has_served |= request.started
        self._idle_since_s = self._context.clock.monotonic()
        self._changed.set()
        if task.cancelled():
            self.stream.close()
        if not _keeps_open(task):
            self._reading_stopped = True
        if self._requests:
            self._requests[0].stream.take_turn()
        if self._reading_stopped and not any(r.started for r in self._requests):
            self._end()
        self._note_ended()

    def _end(self) -> None:
        """Close the connection once the caller has read the last answer.

        A socket that is closed with unread bytes resets the connection, which discards
        an answer that is still on its way.
        """
        self._reading_stopped = True
        self._changed.set()
        if self._ending or self.stream.closed():
            return
        self._ending = True
        shutdown_write(self.stream)
        asyncio.get_running_loop().call_later(_CLOSE_TIMEOUT_S, self.stream.close)
        if not self._requests:
            # Otherwise the request that is not complete reads on.
            asyncio.ensure_future(discard_input(self.stream))

    def _on_stream_closed(self) -> None:
        self._changed.set()
        for request in list(self._requests):
            request.stream.run_close_callback()
            request.on_connection_close()
        self._note_ended()

    def _note_ended(self) -> None:
        if self.stream.closed() and not self._requests:
            self._ended.set()

    async def _wait_while_not_reading(self) -> None:
        """Wait for a change, and close the stream if the caller leaves meanwhile.

        While nothing is read, the end of the input is not noticed behind unread bytes.
        """
        try:
            async with asyncio.timeout(_LEFT_CALLER_CHECK_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            if not self.stream.closed() and _input_has_ended(self.stream.socket):
                self.stream.close()

    def _check_idle_later(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(delay_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        now_s = self._context.clock.monotonic()
        if any(request.started for request in self._requests):
            self._idle_since_s = now_s
        left_s = self._idle_since_s + _IDLE_TIMEOUT_S - now_s
        if left_s > 0:
            self._check_idle_later(left_s)
        else:
            self.stream.close()


def _keeps_open(task: "asyncio.Task[bool]") -> bool:
    """Return whether the connection stays open after a request's task has ended."""
    if task.cancelled():
        return False
    error = task.exception()
    if error is None:
        return task.result()
    if not isinstance(error, (StreamClosedError, UnsatisfiableReadError)):
        log_event("caller.connection_fault", error=repr(error))
    return False


def _input_has_ended(sock: socket.socket) -> bool:
    """Return whether the other side has closed its sending side."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))
