"""A caller's connection as one request sees it, which lets only its answer be written.

Tornado's connection of a request reads from it and writes to it.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from burdockdock.proxy.chunk_pace import ChunkPace

_CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"
# C struct linger: on or off, and the linger time in seconds. With a linger time of 0,
# closing the socket resets the connection.
_LINGER_STRUCT = struct.Struct("ii")
_READ_CHUNK_BYTES = 64 * 1024


class CallerStream:
    """Wraps the stream of a caller's connection for one request.

    The answers to pipelined requests are sent in the order of the requests, so an
    answer may only be written once the request has the turn.

    Tornado refuses a malformed message by writing an error line to the stream, even in
    the middle of an answer. A write outside of ``answer_write`` is therefore not made,
    but passed to ``on_foreign_write``, which decides how to handle it.

    ``head_bytes`` is the size of the request's head, 0 before it has arrived.

    :param end: ends the connection when tornado closes it after the answer.
    :param pace: slows down tiny chunks of the connection.
    """

    def __init__(
        self, stream: IOStream, end: Callable[[], None], pace: ChunkPace
    ) -> None:
        self.raw = stream
        self.head_bytes = 0
        self.pace = pace
        self.on_foreign_write: Callable[[bytes], asyncio.Future[None]] | None = None
        self.has_turn = False
        self._end = end
        self._in_answer_write = False
        self._turn_came = asyncio.Event()
        self._continue_requested = False
        self._write_ended = False
        self._close_callback: Callable[[], None] | None = None

    def __getattr__(self, name: str) -> Any:
        """Delegate everything else to the wrapped stream."""
        return getattr(self.raw, name)

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> "asyncio.Future[bytes]":
        """Read the head of the request, and note its size."""
        future = self.raw.read_until_regex(regex, max_bytes=max_bytes)
        if future.done():
            self._note_head(future)
        else:
            future.add_done_callback(self._note_head)
        return future

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> "asyncio.Future[bytes]":
        """Read the size line of a chunk, which waits if chunks are tiny."""
        pause_s = self.pace.pause_s()
        if not pause_s:
            return self.raw.read_until(delimiter, max_bytes=max_bytes)
        return asyncio.ensure_future(
            self._read_until_later(pause_s, delimiter, max_bytes)
        )

    async def _read_until_later(
        self, pause_s: float, delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        await asyncio.sleep(pause_s)
        return await self.raw.read_until(delimiter, max_bytes=max_bytes)

    def _note_head(self, future: "asyncio.Future[bytes]") -> None:
        if not future.cancelled() and future.exception() is None:
            self.head_bytes = len(future.result())

    def take_turn(self) -> None:
        """Let the answer be written."""
        if self.has_turn:
            return
        self.has_turn = True
        self._turn_came.set()
        if self._continue_requested:
            self.send_continue()

    async def wait_turn(self) -> None:
        """Wait until all answers before this one are complete."""
        if not self.has_turn:
            await self._turn_came.wait()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set what to call when the connection closes."""
        self._close_callback = callback

    def run_close_callback(self) -> None:
        """Handle that the connection was closed."""
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()

    def set_nodelay(self, _value: bool) -> None:
        """Leave the option as it is, which tornado sets and clears for each answer."""

    def close(self) -> None:
        """End the connection after an answer, as tornado does where it isn't kept."""
        if self._write_ended:
            self.raw.close()
        else:
            self._end()

    def abort(self) -> None:
        """Close the connection at once."""
        self.raw.close()

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
        return self.on_foreign_write(data)

    def wait_flushed(self) -> "asyncio.Future[None]":
        """Return a future that is done once all written data was sent."""
        return self.raw.write(b"")

    def send_continue(self) -> None:
        """Send the 100 Continue line, which asks the caller for the request's body."""
        self._continue_requested = not self.has_turn
        if self.has_turn and not self.raw.closed():
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
        await self.wait_turn()
        await self.raw.write(line)
        self.shutdown_write()
        await self.drain_input(timeout_s)

    def shutdown_write(self) -> None:
        """Close the sending side; the caller reads end of file after the last byte."""
        self._write_ended = True
        shutdown_write(self.raw)

    async def drain_input(self, timeout_s: float) -> None:
        """Read and discard input until the caller closes or the time is over.

        Closing a socket with unread bytes resets the connection, which discards the
        answer if it is still on its way.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await discard_input(self.raw)


def shutdown_write(stream: IOStream) -> None:
    """Close the sending side of a connection unless it is closed."""
    if not stream.closed():
        with contextlib.suppress(OSError):
            stream.socket.shutdown(socket.SHUT_WR)


async def discard_input(stream: IOStream) -> None:
    """Read and discard input until the connection closes."""
    with contextlib.suppress(StreamClosedError):
        while True:
            await stream.read_bytes(_READ_CHUNK_BYTES, partial=True)


def pop_expect_continue(start_line: RequestStartLine, headers: HTTPHeaders) -> bool:
    """Remove the Expect header; return whether the caller waits for 100 Continue.

    The header is removed because tornado would also send 100 Continue to HTTP/1.0
    callers, which would take it for their answer.
    """
    expectation = headers.pop("Expect", "").lower()
    return expectation == "100-continue" and start_line.version != "HTTP/1.0"
