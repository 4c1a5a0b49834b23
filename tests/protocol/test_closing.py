"""Tests of what arrives of the messages that were sent before a connection's end."""

import asyncio
import socket

import testtools
from tornado.iostream import IOStream

from burdockdock.protocol import FrameConnection, frame
from tests.support import PATIENCE_S, async_test

_SENT_BYTES = 200_000
_CREDIT = frame("credit", callId=1, sizeBytes=1)


def _read_all(receiver: socket.socket, reply: bytes) -> int:
    """Return how much arrives up to the end of a connection, in order or not.

    :param reply: sent after the first piece, as credit for an answer is.
    """
    size_bytes = 0
    try:
        while data := receiver.recv(65536):
            size_bytes += len(data)
            receiver.sendall(reply)
            reply = b""
    except ConnectionError:
        pass
    receiver.close()
    return size_bytes


async def _read_messages(connection: FrameConnection) -> None:
    """Read a connection to its end, as each that carries calls is."""
    while await connection.read() is not None:
        pass


class ClosingTest(testtools.TestCase):
    """Tests of a connection that ends once the peer has all that was sent."""

    async def _arrives(self, *, unread: bytes = b"", reply: bytes = b"") -> int:
        """Send and finish while the peer sends as well, and reads late."""
        listening = socket.create_server(("127.0.0.1", 0))
        receiver = socket.socket()
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        receiver.connect(listening.getsockname())
        accepted, _ = listening.accept()
        accepted.setblocking(False)
        connection = FrameConnection(IOStream(accepted))
        connection.send(b"x" * _SENT_BYTES)
        reading = asyncio.create_task(_read_messages(connection))
        finishing = asyncio.create_task(connection.finish())
        receiver.sendall(unread)
        await asyncio.sleep(0.05)
        self.assertFalse(finishing.done())
        async with asyncio.timeout(PATIENCE_S):
            arrived = await asyncio.to_thread(_read_all, receiver, reply)
            await finishing
            await reading
        connection.close()
        listening.close()
        return arrived

    @async_test
    async def test_all_arrives_where_nothing_stands_unread(self) -> None:
        self.assertEqual(_SENT_BYTES, await self._arrives())

    @async_test
    async def test_all_arrives_where_a_message_stands_unread(self) -> None:
        self.assertEqual(_SENT_BYTES, await self._arrives(unread=_CREDIT))

    @async_test
    async def test_all_arrives_where_a_message_comes_after_the_close(self) -> None:
        self.assertEqual(_SENT_BYTES, await self._arrives(reply=_CREDIT))
