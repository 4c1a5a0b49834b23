"""Tests of :meth:`FrameConnection.flush`."""

import asyncio
import socket

import testtools
from tornado.iostream import IOStream

from burdockdock.protocol import FrameConnection
from tests.support import async_test

# More than the buffers of the two sockets hold.
_DATA_BYTES = 4_000_000


class FlushTest(testtools.TestCase):
    """Tests of flushing to a receiver that has not read yet."""

    def setUp(self) -> None:
        super().setUp()
        sockets = socket.socketpair()
        for end in sockets:
            self.addCleanup(end.close)
        self._sender_socket, self._receiver_socket = sockets

    async def _start_sending(self) -> FrameConnection:
        connection = FrameConnection(IOStream(self._sender_socket))
        connection.send(b"x" * _DATA_BYTES)
        return connection

    @async_test
    async def test_flush_waits_until_all_data_is_written(self) -> None:
        connection = await self._start_sending()
        flushing = asyncio.create_task(connection.flush())
        await asyncio.sleep(0.05)
        self.assertFalse(flushing.done())
        receiver = IOStream(self._receiver_socket)
        await receiver.read_bytes(_DATA_BYTES)
        async with asyncio.timeout(20):
            await flushing

    @async_test
    async def test_flush_returns_once_the_connection_is_closed(self) -> None:
        connection = await self._start_sending()
        flushing = asyncio.create_task(connection.flush())
        await asyncio.sleep(0)
        connection.close()
        async with asyncio.timeout(20):
            await flushing
            await connection.flush()
