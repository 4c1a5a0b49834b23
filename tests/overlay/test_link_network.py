"""Tests of the simulated links: bandwidth sharing, delays and losses."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from tornado.iostream import StreamClosedError

from tests.overlay.link_network import LinkNetwork
from tests.overlay.links import LinkSpeed, LinkStream
from tests.virtual_time import run_virtually

_LINK = LinkSpeed(8e6, 8e6)
_DELAY_S = 0.003
_MEGABYTE = 1_000_000


async def _receive(stream: LinkStream, size_bytes: int) -> float:
    """Read a number of bytes; return the time when the last one arrived."""
    while size_bytes:
        size_bytes -= len(await stream.read_bytes(_MEGABYTE, partial=True))
    return asyncio.get_running_loop().time()


class LinkNetworkTest(testtools.TestCase):
    """Tests of nodes whose links carry one megabyte per second each."""

    def _run(self, check: Callable[[LinkNetwork], Awaitable[None]]) -> None:
        async def run() -> None:
            await check(LinkNetwork([_LINK] * 4, zones=3))

        run_virtually(run())

    def test_single_stream_uses_whole_link(self) -> None:
        async def check(network: LinkNetwork) -> None:
            client_end, server_end = network.new_stream(0, 1)
            client_end.write(bytes(_MEGABYTE))
            # The receiver's link transmits the last segment after the sender's link.
            at_s = await _receive(server_end, _MEGABYTE)
            self.assertAlmostEqual(1.0 + _DELAY_S, at_s, delta=0.02)

        self._run(check)

    def test_streams_share_sender_link(self) -> None:
        async def check(network: LinkNetwork) -> None:
            receiving = []
            for target in (1, 2, 3):
                client_end, server_end = network.new_stream(0, target)
                client_end.write(bytes(_MEGABYTE))
                receiving.append(_receive(server_end, _MEGABYTE))
            for at_s in await asyncio.gather(*receiving):
                self.assertAlmostEqual(3.0, at_s, delta=0.1)
            self.assertEqual(3 * _MEGABYTE, network.stream_bytes(0))

        self._run(check)

    def test_streams_share_receiver_link(self) -> None:
        async def check(network: LinkNetwork) -> None:
            receiving = []
            for sender in (1, 2, 3):
                client_end, server_end = network.new_stream(sender, 0)
                client_end.write(bytes(_MEGABYTE))
                receiving.append(_receive(server_end, _MEGABYTE))
            for at_s in await asyncio.gather(*receiving):
                self.assertAlmostEqual(3.0, at_s, delta=0.1)

        self._run(check)

    def test_close_discards_unsent_bytes(self) -> None:
        async def check(network: LinkNetwork) -> None:
            client_end, server_end = network.new_stream(0, 1)
            written = client_end.write(bytes(_MEGABYTE))
            await asyncio.sleep(0.5)
            client_end.close()
            self.assertRaises(StreamClosedError, written.result)
            try:
                while True:
                    await server_end.read_bytes(_MEGABYTE, partial=True)
            except StreamClosedError:
                self.assertTrue(server_end.closed())
            self.assertLess(asyncio.get_running_loop().time(), 0.6)
            self.assertLess(network.stream_bytes(0), 0.6 * _MEGABYTE)

        self._run(check)

    def test_sender_stops_when_receiver_closes(self) -> None:
        async def check(network: LinkNetwork) -> None:
            client_end, server_end = network.new_stream(0, 1)
            client_end.write(bytes(_MEGABYTE))
            await asyncio.sleep(0.5)
            server_end.close()
            await asyncio.sleep(1.0)
            self.assertLess(network.stream_bytes(0), 0.6 * _MEGABYTE)
            self.assertRaises(StreamClosedError, client_end.write, b"")

        self._run(check)

    def test_datagrams_are_dropped_when_queue_is_full(self) -> None:
        async def check(network: LinkNetwork) -> None:
            for _ in range(100):
                network.send_datagram(0, 1, bytes(1000))
            await asyncio.sleep(1.0)
            self.assertEqual(100 - 64 * 1024 // 1040, network.dropped_datagrams)

        self._run(check)

    def test_stopped_link_transmits_nothing_until_restarted(self) -> None:
        async def check(network: LinkNetwork) -> None:
            client_end, server_end = network.new_stream(0, 1)
            client_end.write(bytes(_MEGABYTE))
            await asyncio.sleep(0.5)
            network.set_speed(0, LinkSpeed(0, 0))
            await asyncio.sleep(5.0)
            self.assertLess(network.stream_bytes(0), 0.6 * _MEGABYTE)
            network.set_speed(0, _LINK)
            at_s = await _receive(server_end, _MEGABYTE)
            self.assertAlmostEqual(6.0, at_s, delta=0.05)

        self._run(check)
