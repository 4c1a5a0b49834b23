"""A fake connection for tests of links and of gates."""

import asyncio

from burdockdock.protocol import Message, decode
from burdockdock.protocol.codec import HEADER_BYTES


class FakeConnection:
    """A connection on which the test takes the part of the other node."""

    def __init__(self) -> None:
        self.closed = False
        self.sent: list[Message] = []
        self._incoming: asyncio.Queue[Message | None] = asyncio.Queue()

    def send(self, data: bytes) -> None:
        """Record a sent frame."""
        self.sent.append(decode(data[HEADER_BYTES:]))

    async def wait_writable(self) -> None:
        """Return at once, since nothing waits here."""

    async def read(self) -> Message | None:
        """Return the next message that the test delivers."""
        return await self._incoming.get()

    def deliver(self, data: bytes) -> None:
        """Deliver a frame to the reader."""
        self._incoming.put_nowait(decode(data[HEADER_BYTES:]))

    def close(self) -> None:
        """Mark the connection as closed."""
        self.closed = True
