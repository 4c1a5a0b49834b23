"""A caller's connection, on which nothing is written behind an answer's back."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

_SEND_ON = b"HTTP/1.1 100 Continue\r\n\r\n"
# On or off, and the seconds that a close may wait; with none it resets.
_LINGER = struct.Struct("ii")
_READ_BYTES = 64 * 1024


class CallerStream:
    """Stands between tornado's connection of one request and its stream.

    Tornado refuses a malformed message by writing a line on the stream itself, also
    into the middle of an answer. A write that does not come from the answer's owner
    goes to ``on_stray`` instead, which decides what becomes of it.
    """

    def __init__(
        self, stream: IOStream, on_stray: "Callable[[bytes], asyncio.Future[None]]"
    ) -> None:
        self.raw = stream
        self._on_stray = on_stray
        self._owner_writes = False

    def __getattr__(self, name: str) -> Any:
        """Leave everything but writes to the stream itself."""
        return getattr(self.raw, name)

    @contextlib.contextmanager
    def owned(self) -> Iterator[None]:
        """Write parts of the answer; nothing may be awaited meanwhile."""
        self._owner_writes = True
        try:
            yield
        finally:
            self._owner_writes = False

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Write a part of the answer, or give a stray line to who decides on it."""
        if self._owner_writes:
            return self.raw.write(data)
        return self._on_stray(data)

    def flushed(self) -> "asyncio.Future[None]":
        """Wait until the connection took all that was written."""
        return self.raw.write(b"")

    def ask_for_body(self) -> None:
        """Ask a caller for its body, ahead of its answer."""
        if not self.raw.closed():
            self.raw.write(_SEND_ON)

    def reset_on_close(self, resets: bool) -> None:
        """Set whether a close, be it the process's end, tells that something lacks."""
        if not self.raw.closed():
            linger = _LINGER.pack(resets, 0)
            self.raw.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def refuse(self, line: bytes, *, read_on_s: float) -> None:
        """Write a last line, and see to it that it arrives before a close.

        :raises StreamClosedError: if the connection closed before.
        """
        await self.raw.write(line)
        self.end_writing()
        await self.read_out(read_on_s)

    def end_writing(self) -> None:
        """Let the other side see an end once it has all that was written."""
        if not self.raw.closed():
            with contextlib.suppress(OSError):
                self.raw.socket.shutdown(socket.SHUT_WR)

    async def read_out(self, seconds_s: float) -> None:
        """Read what still comes: a close with bytes unread takes the answer along."""
        try:
            async with asyncio.timeout(seconds_s):
                while True:
                    await self.raw.read_bytes(_READ_BYTES, partial=True)
        except (TimeoutError, StreamClosedError):
            return


def waits_to_send(start_line: RequestStartLine, headers: HTTPHeaders) -> bool:
    """Tell whether a caller sends its body once it is asked to.

    The header is taken off, since tornado would ask callers of HTTP/1.0 as well, which
    read that as their answer.
    """
    expected = headers.pop("Expect", "").lower()
    return expected == "100-continue" and start_line.version != "HTTP/1.0"
