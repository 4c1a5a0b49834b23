"""Buffer of a request's body between the caller's connection and the forwarder."""

import asyncio
from collections.abc import Callable

from burdockdock.protocol.chunk_buffer import MAX_TAKEN_BYTES, ChunkBuffer

MAX_BUFFERED_BODY_BYTES = 256 * 1024


class RequestBody:
    """The part of a request's body that has arrived and was not read yet.

    ``ended`` tells whether the whole body has arrived. ``forwarded`` tells whether the
    forwarder got a part of it, or its end without any data, so that the call may have
    run.

    :param on_change: called with the number of bytes that arrived or were read.
    """

    def __init__(self, on_change: Callable[[int], None] = lambda _: None) -> None:
        self.ended = False
        self.forwarded = False
        self._buffer = ChunkBuffer()
        # Bytes that the forwarder keeps for a retry, and those that it sends just now.
        self._kept_bytes = 0
        self._in_hand_bytes = 0
        self._on_change = on_change
        self._closed = False
        self._discarding = False
        self._changed = asyncio.Event()
        self._room: asyncio.Future[None] | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the body occupies here and with the forwarder."""
        if self._discarding:
            return 0
        # What is kept for a retry is also in the frame that waits on the link.
        return self._buffer.occupied_bytes + 2 * self._kept_bytes + self._in_hand_bytes

    def append(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Buffer a chunk.

        :returns: a future that is done once there is room, if the buffer is full.
        """
        if self._discarding:
            return None
        self._buffer.append(chunk)
        self._changed.set()
        self._on_change(len(chunk))
        if self._discarding or self._buffer.size_bytes < MAX_BUFFERED_BODY_BYTES:
            return None
        self._room = asyncio.get_running_loop().create_future()
        return self._room

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._changed.set()

    def close(self) -> None:
        """Note that nothing more arrives, because the caller is gone."""
        self._closed = True
        self._changed.set()
        self.stop_buffering()

    def discard(self) -> None:
        """Drop what is buffered, and buffer nothing more."""
        self._discarding = True
        self._buffer.clear()
        self.stop_buffering()

    def stop_buffering(self) -> None:
        """Let tornado read on if it waits for room in the buffer."""
        if self._room is not None and not self._room.done():
            self._room.set_result(None)

    async def read(self) -> tuple[bytes, bool]:
        """Return the next buffered part of the body and whether it is the last."""
        while not self._buffer and not self.ended:
            self._changed.clear()
            await self._changed.wait()
        data = self._buffer.take()
        self._note_taken(len(data))
        if self._buffer.size_bytes < MAX_BUFFERED_BODY_BYTES:
            self.stop_buffering()
        return data, self.ended and not self._buffer

    def _note_taken(self, size_bytes: int) -> None:
        """Account for bytes of the beginning, which are kept, or for later ones."""
        if not self.forwarded or self._kept_bytes + size_bytes <= MAX_TAKEN_BYTES:
            self._kept_bytes += size_bytes
        else:
            self._in_hand_bytes = size_bytes
        self.forwarded = True
        self._on_change(size_bytes)

    async def wait_end(self) -> None:
        """Wait until the whole body has arrived, or until nothing more arrives."""
        while not self.ended and not self._closed:
            self._changed.clear()
            await self._changed.wait()
