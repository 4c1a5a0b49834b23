"""HTTP server for callers."""

import asyncio
import heapq
from collections.abc import Awaitable

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from burdockdock.proxy.caller_connection import CallerConnection
from burdockdock.proxy.context import CallContext

DEFAULT_MAX_PIPELINED_CALLS = 16
DEFAULT_MAX_CONNECTIONS = 30_000
# Bounds of tornado's parser, which closes the connection without an answer. They are
# wide, since the configuration's limits are refused by an answer.
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 1 << 40
# Connections that wait in the kernel to be accepted, so that a burst isn't refused.
_ACCEPT_QUEUE_LENGTH = 1024
# Each connection that waits for its body to be taken keeps this much unread.
_READ_CHUNK_BYTES = 32 * 1024
# Memory of a connection beside its requests, for which room is kept in the budget.
_CONNECTION_BYTES = 40 * 1024
# Part of the descriptors for callers. The rest is for the node's links, for backend
# connections, and for the platform.
_CALLERS_FD_SHARE = 0.5
# Short beside the time-outs, and each check looks at every connection.
_TIMEOUT_CHECK_INTERVAL_S = 0.5
# Idle connections that are checked for unread input when room is needed. Each check is
# a system call, and many connections may be accepted in one turn.
_CLOSE_CANDIDATES = 32


class CallerServer(TCPServer):
    """Accepts callers' connections.

    ``connections`` holds those that have not ended.

    :param max_pipelined_calls: how many requests of one connection may be in progress.
    :param max_connections: how many connections may be open. One more closes the one
        that has been idle for longest, and one without unread input rather than one
        whose next request has arrived; if none is idle, it is closed itself.
    """

    def __init__(
        self,
        context: CallContext,
        *,
        max_pipelined_calls: int,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        super().__init__(read_chunk_size=_READ_CHUNK_BYTES)
        self.connections: set[CallerConnection] = set()
        self._context = context
        self.max_pipelined_calls = max_pipelined_calls
        self.max_connections = max_connections
        self._timer: asyncio.TimerHandle | None = None

    def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> Awaitable[None] | None:
        """Serve a connection until it ends.

        Room is made at once, since many connections are accepted in one turn.
        """
        if not self._make_room():
            stream.close()
            return None
        connection = CallerConnection(
            stream,
            self._context,
            max_calls=self.max_pipelined_calls,
            params=self._params(),
            address=address,
        )
        self.connections.add(connection)
        return self._serve(connection)

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    def _params(self) -> HTTP1ConnectionParameters:
        """Return the bounds of tornado's parser, which closes the connection.

        They are wider than the configuration's limits, which are refused by an answer.
        """
        limit_bytes = self._context.snapshot().limits.max_header_bytes
        return HTTP1ConnectionParameters(
            chunk_size=_READ_CHUNK_BYTES,
            max_header_size=max(MAX_HEADER_BYTES, 2 * limit_bytes),
            max_body_size=MAX_BODY_BYTES,
        )

    def _make_room(self) -> bool:
        """Return whether one more connection may be open, and close an idle one."""
        if len(self.connections) < self.max_connections:
            return True
        # Closed connections stay in the set until their requests have ended.
        still_open = [c for c in self.connections if not c.stream.closed()]
        if len(still_open) < self.max_connections:
            return True
        self._context.shed_log.note("connection_limit")
        idle = heapq.nsmallest(
            _CLOSE_CANDIDATES,
            (connection for connection in still_open if connection.idle),
            key=lambda connection: connection.idle_rank,
        )
        if not idle:
            return False
        without_input = (c for c in idle if not c.has_input())
        next(without_input, idle[0]).stream.close()
        return True

    def check_timeouts_later(self) -> None:
        """Close connections that exceed a time-out, from now on."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def _check_timeouts(self) -> None:
        self.check_timeouts_later()
        limits = self._context.snapshot().limits
        if not (limits.header_timeout_ms or limits.idle_timeout_ms):
            return
        for connection in list(self.connections):
            if connection.stream.closed():
                continue
            reason = connection.overdue(limits)
            if reason:
                self._context.shed_log.note(reason)
                connection.stream.close()

    async def close_all_connections(self) -> None:
        """Close every connection and wait until its requests have ended."""
        if self._timer is not None:
            self._timer.cancel()
        closing = [connection.close() for connection in self.connections]
        await asyncio.gather(*closing)


def connection_bound(*, max_fds: int, memory_bytes: int) -> int:
    """Return how many connections of callers may be open.

    :param max_fds: descriptors that the process may open.
    :param memory_bytes: memory for what is held for callers.
    """
    bound = min(max_fds * _CALLERS_FD_SHARE, memory_bytes / _CONNECTION_BYTES)
    return max(1, int(bound))


def serve_callers(
    context: CallContext,
    *,
    host: str,
    port: int,
    max_pipelined_calls: int = DEFAULT_MAX_PIPELINED_CALLS,
    max_connections: int = DEFAULT_MAX_CONNECTIONS,
) -> CallerServer:
    """Start the HTTP server for callers."""
    server = CallerServer(
        context,
        max_pipelined_calls=max_pipelined_calls,
        max_connections=max_connections,
    )
    server.listen(port, address=host, backlog=_ACCEPT_QUEUE_LENGTH)
    server.check_timeouts_later()
    return server
