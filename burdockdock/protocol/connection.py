"""Sends and receives frames over a TCP stream."""

import asyncio
import socket

from tornado.iostream import IOStream, StreamClosedError

from burdockdock.protocol.codec import (
    HEADER_BYTES,
    Message,
    decode,
    frame_length,
)

_MAX_READ_BYTES = 128 * 1024
# Bodies wait while this many bytes wait for the socket: each call may have a window of
# bytes in flight, but their sum must not pile up in front of a narrow link.
_MAX_UNSENT_BYTES = 1024 * 1024


class FrameConnection:
    """A connection between nodes that carries frames.

    :param stream: an open stream.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._finishing = False
        self._closed_event = asyncio.Event()
        self._unsent_bytes = 0
        self._writable = asyncio.Event()
        self._writable.set()
        stream.set_close_callback(self._on_closed)
        self.sent_bytes = 0
        self.received_bytes = 0
        # Size of the message that was read last.
        self.message_bytes = 0
        stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @property
    def error(self) -> str:
        """Error that ended the connection, empty if there was none."""
        return str(self._stream.error or "")

    async def read(self) -> Message | None:
        """Return the next message, or None once the connection is closed.

        :raises ProtocolError: if the peer sent bytes that are not a valid message.
        """
        while True:
            data = self._pop_message_bytes()
            if data is not None:
                self.message_bytes = len(data)
                return decode(data)
            try:
                chunk = await self._stream.read_bytes(_MAX_READ_BYTES, partial=True)
            except StreamClosedError:
                return None
            self.received_bytes += len(chunk)
            self._buffer += chunk

    def send(self, data: bytes) -> None:
        """Send a frame; drop it if the connection is closed or finishing."""
        if self._finishing or self._stream.closed():
            return
        self.sent_bytes += len(data)
        try:
            future = self._stream.write(data)
        except StreamClosedError:
            return
        if not future.done():
            self._unsent_bytes += len(data)
            if self._unsent_bytes > _MAX_UNSENT_BYTES:
                self._writable.clear()
            future.add_done_callback(lambda f: self._on_sent(f, len(data)))

    async def wait_writable(self) -> None:
        """Wait while too many bytes wait for the socket, until the connection ends."""
        await self._writable.wait()

    def _on_sent(self, future: "asyncio.Future[None]", size_bytes: int) -> None:
        # Marks a failed write's exception as retrieved, so that asyncio doesn't log it.
        # The reader of the connection sees the failure as well.
        if not future.cancelled():
            future.exception()
        self._unsent_bytes -= size_bytes
        if self._unsent_bytes <= _MAX_UNSENT_BYTES:
            self._writable.set()

    def _on_closed(self) -> None:
        self._closed_event.set()
        self._writable.set()

    async def flush(self) -> None:
        """Wait until all sent data is written to the socket, or the connection ends."""
        try:
            await self._stream.write(b"")
        except StreamClosedError:
            return

    async def finish(self) -> None:
        """Close the sending side; wait until the peer has read all data and closes too.

        A task must read the connection meanwhile. If the socket were closed with
        unread data, or more data arrived after the close, TCP would reset the
        connection and the peer could lose data that is still in transit.
        """
        self._finishing = True
        await self.flush()
        if self._stream.closed():
            return
        try:
            self._stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return
        await self._closed_event.wait()

    async def ended(self) -> None:
        """Wait until the connection is closed by either side."""
        await self._closed_event.wait()

    def close(self) -> None:
        """Close the connection at once; data not yet written is lost."""
        self._stream.close()

    def _pop_message_bytes(self) -> bytes | None:
        """Remove the first frame from the buffer; return its message bytes.

        :returns: None if the buffer doesn't hold a whole frame yet.
        """
        if len(self._buffer) < HEADER_BYTES:
            return None
        length = frame_length(bytes(self._buffer[:HEADER_BYTES]))
        end = HEADER_BYTES + length
        if len(self._buffer) < end:
            return None
        data = bytes(self._buffer[HEADER_BYTES:end])
        del self._buffer[:end]
        return data
