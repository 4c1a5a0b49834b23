"""Tests of what arrives of the messages that were sent before a close."""

import asyncio
import socket

import testtools
from tornado.iostream import IOStream

from burdockdock.protocol import FrameConnection
from tests.support import async_test

_SENT_BYTES = 200_000


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
    return size_bytes


class ClosingTest(testtools.TestCase):
    """Tests of a connection that is closed once all that was sent has left."""

    async def _arrives(self, *, unread: bytes = b"", reply: bytes = b"") -> int:
        """Send, flush and close while the peer sends as well."""
        listening = socket.create_server(("127.0.0.1", 0))
        receiver = socket.socket()
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        receiver.connect(listening.getsockname())
        accepted, _ = listening.accept()
        accepted.setblocking(False)
        connection = FrameConnection(IOStream(accepted))
        connection.send(b"x" * _SENT_BYTES)
        await connection.flush()
        receiver.sendall(unread)
        await asyncio.sleep(0.05)
        connection.close()
        arrived = await asyncio.to_thread(_read_all, receiver, reply)
        receiver.close()
        listening.close()
        return arrived

    @async_test
    async def test_all_arrives_where_nothing_stands_unread(self) -> None:
        self.assertEqual(_SENT_BYTES, await self._arrives())

    @async_test
    async def test_all_arrives_where_a_message_stands_unread(self) -> None:
        self.assertEqual(_SENT_BYTES, await self._arrives(unread=b"credit"))

    @async_test
    async def test_all_arrives_where_a_message_comes_after_the_close(self) -> None:
        self.assertEqual(_SENT_BYTES, await self._arrives(reply=b"credit"))
