"""Credit-based flow control for one direction of a call."""

import asyncio

WINDOW_BYTES = 256 * 1024


class ReceiverGone(Exception):
    """Raised when the receiver is gone and will grant no more credit."""


class SendWindow:
    """Counts the bytes that the sender may send before it gets more credit.

    :param size_bytes: most bytes that may be sent and not yet consumed.
    """

    def __init__(self, *, size_bytes: int = WINDOW_BYTES) -> None:
        self._size_bytes = size_bytes
        self._credit_bytes = size_bytes
        self._closed = False
        self._changed = asyncio.Event()

    async def reserve(self, size_bytes: int) -> None:
        """Wait until there is any credit, then deduct the size of a chunk.

        One chunk may exceed the remaining credit, so that chunks need not be split.

        :raises ReceiverGone: if the receiver is gone.
        """
        while self._credit_bytes <= 0 and not self._closed:
            self._changed.clear()
            await self._changed.wait()
        if self._closed:
            raise ReceiverGone
        self._credit_bytes -= size_bytes

    def grant(self, size_bytes: int) -> None:
        """Add credit for bytes that the receiver has consumed."""
        self._credit_bytes += size_bytes
        self._changed.set()

    def resize(self, size_bytes: int) -> None:
        """Change the size of the window; adjust the credit by the difference."""
        self.grant(size_bytes - self._size_bytes)
        self._size_bytes = size_bytes

    def close(self) -> None:
        """Make current and later waits for credit raise :class:`ReceiverGone`."""
        self._closed = True
        self._changed.set()
