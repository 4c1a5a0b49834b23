"""Flow control of one direction of a call."""

import asyncio

WINDOW_BYTES = 256 * 1024


class ReceiverGone(Exception):
    """The receiver is gone, so that no more credit will come."""


class SendWindow:
    """Counts the bytes that the receiver is ready to take."""

    def __init__(self, *, size_bytes: int = WINDOW_BYTES) -> None:
        self._size_bytes = size_bytes
        self._credit_bytes = size_bytes
        self._closed = False
        self._changed = asyncio.Event()

    async def reserve(self, size_bytes: int) -> None:
        """Wait until there is credit, then use it up.

        One chunk may overdraw the window, so that chunks need not be split.

        :raises ReceiverGone: if the receiver is gone.
        """
        while self._credit_bytes <= 0 and not self._closed:
            self._changed.clear()
            await self._changed.wait()
        if self._closed:
            raise ReceiverGone
        self._credit_bytes -= size_bytes

    def grant(self, size_bytes: int) -> None:
        """Add the bytes that the receiver has used up."""
        self._credit_bytes += size_bytes
        self._changed.set()

    def resize(self, size_bytes: int) -> None:
        """Change how many bytes may be on their way."""
        self.grant(size_bytes - self._size_bytes)
        self._size_bytes = size_bytes

    def close(self) -> None:
        """Wake the sender for good."""
        self._closed = True
        self._changed.set()
