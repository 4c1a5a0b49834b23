"""A connection on which a test plays the other node."""

import asyncio

from burdockdock.protocol import Message, decode
from burdockdock.protocol.codec import HEADER_BYTES


class FakeConnection:
    """A connection on which the test is the other node."""

    def __init__(self) -> None:
        self.closed = False
        self.sent: list[Message] = []
        self._arrived: asyncio.Queue[Message | None] = asyncio.Queue()

    def send(self, data: bytes) -> None:
        """Keep a frame."""
        self.sent.append(decode(data[HEADER_BYTES:]))

    async def read(self) -> Message | None:
        """Return the next message that the test let arrive."""
        return await self._arrived.get()

    def arrive(self, data: bytes) -> None:
        """Let a frame arrive."""
        self._arrived.put_nowait(decode(data[HEADER_BYTES:]))

    def close(self) -> None:
        """Close it."""
        self.closed = True
