"""HTTP server for callers."""

import asyncio

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from burdockdock.proxy.caller_connection import CallerConnection
from burdockdock.proxy.context import CallContext

DEFAULT_MAX_PIPELINED_CALLS = 16
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 1 << 40
_ACCEPT_QUEUE_LENGTH = 1024


class CallerServer(TCPServer):
    """Accepts callers' connections.

    ``connections`` holds those that are open.

    :param max_pipelined_calls: how many requests of one connection may be in progress.
    """

    def __init__(self, context: CallContext, *, max_pipelined_calls: int) -> None:
        super().__init__()
        self.connections: set[CallerConnection] = set()
        self._context = context
        self.max_pipelined_calls = max_pipelined_calls
        self._params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
        )

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a connection until it ends."""
        connection = CallerConnection(
            stream,
            self._context,
            max_calls=self.max_pipelined_calls,
            params=self._params,
            address=address,
        )
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    async def close_all_connections(self) -> None:
        """Close every connection and wait until its requests have ended."""
        closing = [connection.close() for connection in self.connections]
        await asyncio.gather(*closing)


def serve_callers(
    context: CallContext,
    *,
    host: str,
    port: int,
    max_pipelined_calls: int = DEFAULT_MAX_PIPELINED_CALLS,
) -> CallerServer:
    """Start the HTTP server for callers."""
    server = CallerServer(context, max_pipelined_calls=max_pipelined_calls)
    server.listen(port, address=host, backlog=_ACCEPT_QUEUE_LENGTH)
    return server
