"""A caller's connection that lets only answers be written to it."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

_CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"
# C struct linger: on or off, and the linger time in seconds. With a linger time of 0,
# closing the socket resets the connection.
_LINGER_STRUCT = struct.Struct("ii")
_READ_CHUNK_BYTES = 64 * 1024


class CallerStream:
    """Wraps the stream of a tornado connection and intercepts writes by tornado.

    Tornado refuses a malformed message by writing an error line to the stream, even in
    the middle of an answer. A write outside of ``answer_write`` is therefore not made,
    but passed to ``on_foreign_write``, which decides how to handle it.

    :param on_foreign_write: called with the data; tornado waits for its future.
    """

    def __init__(
        self,
        stream: IOStream,
        on_foreign_write: "Callable[[bytes], asyncio.Future[None]]",
    ) -> None:
        self.raw = stream
        self._on_foreign_write = on_foreign_write
        self._in_answer_write = False

    def __getattr__(self, name: str) -> Any:
        """Delegate everything but writes to the wrapped stream."""
        return getattr(self.raw, name)

    @contextlib.contextmanager
    def answer_write(self) -> Iterator[None]:
        """Let writes inside the context through, as parts of the answer.

        Nothing may be awaited inside it, or writes of other tasks would pass as well.
        """
        self._in_answer_write = True
        try:
            yield
        finally:
            self._in_answer_write = False

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Write a part of the answer, or pass any other data to the callback."""
        if self._in_answer_write:
            return self.raw.write(data)
        return self._on_foreign_write(data)

    def wait_flushed(self) -> "asyncio.Future[None]":
        """Return a future that is done once all written data was sent."""
        return self.raw.write(b"")

    def send_continue(self) -> None:
        """Send the 100 Continue line, which asks the caller for the request's body."""
        if not self.raw.closed():
            self.raw.write(_CONTINUE_LINE)

    def reset_on_close(self, enabled: bool) -> None:
        """Set whether a close resets the connection, also when the process exits.

        A reset shows the caller that the answer is incomplete.
        """
        if not self.raw.closed():
            linger = _LINGER_STRUCT.pack(enabled, 0)
            self.raw.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def write_final_line(self, line: bytes, *, timeout_s: float) -> None:
        """Write a last line and read on, so that a close doesn't discard the line.

        :param timeout_s: how long to read what the caller still sends.
        :raises StreamClosedError: if the connection is already closed.
        """
        await self.raw.write(line)
        self.shutdown_write()
        await self.drain_input(timeout_s)

    def shutdown_write(self) -> None:
        """Close the sending side; the caller reads end of file after the last byte."""
        if not self.raw.closed():
            with contextlib.suppress(OSError):
                self.raw.socket.shutdown(socket.SHUT_WR)

    async def drain_input(self, timeout_s: float) -> None:
        """Read and discard input until the caller closes or the time is over.

        Closing a socket with unread bytes resets the connection, which discards the
        answer if it is still on its way.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    await self.raw.read_bytes(_READ_CHUNK_BYTES, partial=True)
        except (TimeoutError, StreamClosedError):
            return


def pop_expect_continue(start_line: RequestStartLine, headers: HTTPHeaders) -> bool:
    """Remove the Expect header; return whether the caller waits for 100 Continue.

    The header is removed because tornado would also send 100 Continue to HTTP/1.0
    callers, which would take it for their answer.
    """
    expectation = headers.pop("Expect", "").lower()
    return expectation == "100-continue" and start_line.version != "HTTP/1.0"
