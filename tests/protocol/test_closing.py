"""Tests that messages sent before a connection is closed arrive.

TCP resets a connection that is closed with unread data, or that gets data after the
close. The peer then loses messages that are still in transit.
"""

import asyncio
import socket

import testtools
from tornado.iostream import IOStream

from burdockdock.protocol import FrameConnection, frame
from tests.support import PATIENCE_S, async_test

_DATA_BYTES = 200_000
_CREDIT_FRAME = frame("credit", callId=1, sizeBytes=1)


def _count_received_bytes(receiver: socket.socket, reply: bytes) -> int:
    """Return how many bytes arrive before the connection is closed or reset.

    :param reply: bytes to send after the first received chunk, as a peer does that
        grants credit for an answer.
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
    """Read a connection until it is closed, as nodes do with each one."""
    while await connection.read() is not None:
        pass


class ClosingTest(testtools.TestCase):
    """Tests of :meth:`FrameConnection.finish`."""

    async def _finish_with_late_reader(
        self, *, unread: bytes = b"", reply: bytes = b""
    ) -> int:
        """Return how many bytes a late reader receives while the sender finishes.

        :param unread: bytes that the peer sends before the connection is closed.
        :param reply: bytes that the peer sends after it has started to read.
        """
        listener = socket.create_server(("127.0.0.1", 0))
        receiver = socket.socket()
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        receiver.connect(listener.getsockname())
        accepted, _ = listener.accept()
        accepted.setblocking(False)
        connection = FrameConnection(IOStream(accepted))
        connection.send(b"x" * _DATA_BYTES)
        reading = asyncio.create_task(_read_messages(connection))
        finishing = asyncio.create_task(connection.finish())
        receiver.sendall(unread)
        await asyncio.sleep(0.05)
        self.assertFalse(finishing.done())
        async with asyncio.timeout(PATIENCE_S):
            received_bytes = await asyncio.to_thread(
                _count_received_bytes, receiver, reply
            )
            await finishing
            await reading
        connection.close()
        listener.close()
        return received_bytes

    @async_test
    async def test_all_data_arrives_when_the_peer_sends_nothing(self) -> None:
        self.assertEqual(_DATA_BYTES, await self._finish_with_late_reader())

    @async_test
    async def test_all_data_arrives_when_the_peer_sends_before_the_close(self) -> None:
        self.assertEqual(
            _DATA_BYTES, await self._finish_with_late_reader(unread=_CREDIT_FRAME)
        )

    @async_test
    async def test_all_data_arrives_when_the_peer_sends_after_the_close(self) -> None:
        self.assertEqual(
            _DATA_BYTES, await self._finish_with_late_reader(reply=_CREDIT_FRAME)
        )
