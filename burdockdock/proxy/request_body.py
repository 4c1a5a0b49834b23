"""Buffer of a request's body between the caller's connection and the forwarder."""

import asyncio

MAX_BUFFERED_BODY_BYTES = 256 * 1024


class RequestBody:
    """The part of a request's body that has arrived and was not read yet.

    ``ended`` tells whether the whole body has arrived. ``forwarded`` tells whether the
    forwarder got a part of it, or its end without any data, so that the call may have
    run.
    """

    def __init__(self) -> None:
        self.ended = False
        self.forwarded = False
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._closed = False
        self._changed = asyncio.Event()
        self._room: asyncio.Future[None] | None = None

    def append(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Buffer a chunk.

        :returns: a future that is done once there is room, if the buffer is full.
        """
        self._chunks.append(chunk)
        self._size_bytes += len(chunk)
        self._changed.set()
        if self._size_bytes < MAX_BUFFERED_BODY_BYTES:
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

    def stop_buffering(self) -> None:
        """Let tornado read on if it waits for room in the buffer."""
        if self._room is not None and not self._room.done():
            self._room.set_result(None)

    async def read(self) -> tuple[bytes, bool]:
        """Return the buffered part of the body and whether it is the last."""
        while not self._chunks and not self.ended:
            self._changed.clear()
            await self._changed.wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._size_bytes = 0
        self.forwarded = True
        self.stop_buffering()
        return data, self.ended

    async def wait_end(self) -> None:
        """Wait until the whole body has arrived, or until nothing more arrives."""
        while not self.ended and not self._closed:
            self._changed.clear()
            await self._changed.wait()
