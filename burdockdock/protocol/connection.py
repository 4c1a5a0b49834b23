"""A connection that carries frames."""

import asyncio
import socket

from tornado.iostream import IOStream, StreamClosedError

from burdockdock.protocol.codec import (
    HEADER_BYTES,
    Message,
    decode,
    frame_length,
)

_READ_BYTES = 128 * 1024


class FrameConnection:
    """Reads and writes frames on a stream.

    :param stream: an open stream.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._finishing = False
        self._ended = asyncio.Event()
        stream.set_close_callback(self._ended.set)
        self.sent_bytes = 0
        self.received_bytes = 0
        stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @property
    def error(self) -> str:
        """Why the connection ended, empty where it was closed in order."""
        return str(self._stream.error or "")

    async def read(self) -> Message | None:
        """Return the next message, None at the end of the connection.

        :raises ProtocolError: if the peer sent something else.
        """
        while True:
            data = self._take_frame()
            if data is not None:
                return decode(data)
            try:
                more = await self._stream.read_bytes(_READ_BYTES, partial=True)
            except StreamClosedError:
                return None
            self.received_bytes += len(more)
            self._buffer += more

    def send(self, data: bytes) -> None:
        """Send a frame; on a closed connection, or after the last, it is dropped."""
        if self._finishing or self._stream.closed():
            return
        self.sent_bytes += len(data)
        try:
            future = self._stream.write(data)
        except StreamClosedError:
            return
        if not future.done():
            future.add_done_callback(_ignore_result)

    async def flush(self) -> None:
        """Wait until all that was sent has left, or the connection has ended."""
        try:
            await self._stream.write(b"")
        except StreamClosedError:
            return

    async def finish(self) -> None:
        """Wait until the peer has all that was sent, and closes as well.

        Somebody must read the connection meanwhile: a close with bytes unread, or
        bytes that come after it, would reset it, and with it what is on its way.
        """
        self._finishing = True
        await self.flush()
        if self._stream.closed():
            return
        try:
            self._stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return
        await self._ended.wait()

    async def ended(self) -> None:
        """Wait until the connection is closed, by either side."""
        await self._ended.wait()

    def close(self) -> None:
        """Close the connection; what has not left yet is lost."""
        self._stream.close()

    def _take_frame(self) -> bytes | None:
        """Cut one whole frame out of the buffer."""
        if len(self._buffer) < HEADER_BYTES:
            return None
        length = frame_length(bytes(self._buffer[:HEADER_BYTES]))
        end = HEADER_BYTES + length
        if len(self._buffer) < end:
            return None
        data = bytes(self._buffer[HEADER_BYTES:end])
        del self._buffer[:end]
        return data


def _ignore_result(future: object) -> None:
    """Read a write's error; the reader of the connection meets it as well."""
    future.exception()  # type: ignore[attr-defined]
