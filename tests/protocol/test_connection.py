"""Tests of connections that carry frames."""

import asyncio
import socket

import testtools
from tornado.iostream import IOStream

from burdockdock.protocol import FrameConnection
from tests.support import async_test

# More than the sockets between the two ends take in.
_DATA_BYTES = 4_000_000


class FlushTest(testtools.TestCase):
    """Tests of waiting for frames that a slow receiver has not taken yet."""

    def setUp(self) -> None:
        super().setUp()
        ends = socket.socketpair()
        for end in ends:
            self.addCleanup(end.close)
        self._near, self._far = ends

    async def _sender(self) -> FrameConnection:
        connection = FrameConnection(IOStream(self._near))
        connection.send(b"x" * _DATA_BYTES)
        return connection

    @async_test
    async def test_it_waits_until_all_has_left(self) -> None:
        connection = await self._sender()
        flushing = asyncio.create_task(connection.flush())
        await asyncio.sleep(0.05)
        self.assertFalse(flushing.done())
        receiver = IOStream(self._far)
        await receiver.read_bytes(_DATA_BYTES)
        async with asyncio.timeout(20):
            await flushing

    @async_test
    async def test_a_connection_that_ended_has_nothing_left(self) -> None:
        connection = await self._sender()
        flushing = asyncio.create_task(connection.flush())
        await asyncio.sleep(0)
        connection.close()
        async with asyncio.timeout(20):
            await flushing
            await connection.flush()
