"""Tests of what the links of a fleet in virtual time carry, and when."""

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
    """Read so many bytes; return the time when the last one arrived."""
    while size_bytes:
        size_bytes -= len(await stream.read_bytes(_MEGABYTE, partial=True))
    return asyncio.get_running_loop().time()


class LinkNetworkTest(testtools.TestCase):
    """Tests of nodes with a link of a megabyte a second each."""

    def _run(self, check: Callable[[LinkNetwork], Awaitable[None]]) -> None:
        async def run() -> None:
            await check(LinkNetwork([_LINK] * 4, zones=3))

        run_virtually(run())

    def test_a_stream_has_the_whole_link_to_itself(self) -> None:
        async def check(network: LinkNetwork) -> None:
            near, far = network.new_stream(0, 1)
            near.write(bytes(_MEGABYTE))
            # The last segment takes its time on the receiver's link as well.
            at_s = await _receive(far, _MEGABYTE)
            self.assertAlmostEqual(1.0 + _DELAY_S, at_s, delta=0.02)

        self._run(check)

    def test_streams_share_their_senders_link(self) -> None:
        async def check(network: LinkNetwork) -> None:
            receiving = []
            for target in (1, 2, 3):
                near, far = network.new_stream(0, target)
                near.write(bytes(_MEGABYTE))
                receiving.append(_receive(far, _MEGABYTE))
            for at_s in await asyncio.gather(*receiving):
                self.assertAlmostEqual(3.0, at_s, delta=0.1)
            self.assertEqual(3 * _MEGABYTE, network.stream_bytes(0))

        self._run(check)

    def test_streams_share_their_receivers_link(self) -> None:
        async def check(network: LinkNetwork) -> None:
            receiving = []
            for sender in (1, 2, 3):
                near, far = network.new_stream(sender, 0)
                near.write(bytes(_MEGABYTE))
                receiving.append(_receive(far, _MEGABYTE))
            for at_s in await asyncio.gather(*receiving):
                self.assertAlmostEqual(3.0, at_s, delta=0.1)

        self._run(check)

    def test_a_close_drops_what_has_not_left(self) -> None:
        async def check(network: LinkNetwork) -> None:
            near, far = network.new_stream(0, 1)
            written = near.write(bytes(_MEGABYTE))
            await asyncio.sleep(0.5)
            near.close()
            self.assertRaises(StreamClosedError, written.result)
            try:
                while True:
                    await far.read_bytes(_MEGABYTE, partial=True)
            except StreamClosedError:
                self.assertTrue(far.closed())
            self.assertLess(asyncio.get_running_loop().time(), 0.6)
            self.assertLess(network.stream_bytes(0), 0.6 * _MEGABYTE)

        self._run(check)

    def test_who_sends_to_a_closed_end_stops(self) -> None:
        async def check(network: LinkNetwork) -> None:
            near, far = network.new_stream(0, 1)
            near.write(bytes(_MEGABYTE))
            await asyncio.sleep(0.5)
            far.close()
            await asyncio.sleep(1.0)
            self.assertLess(network.stream_bytes(0), 0.6 * _MEGABYTE)
            self.assertRaises(StreamClosedError, near.write, b"")

        self._run(check)

    def test_datagrams_too_many_for_the_queue_are_dropped(self) -> None:
        async def check(network: LinkNetwork) -> None:
            for _ in range(100):
                network.send_datagram(0, 1, bytes(1000))
            await asyncio.sleep(1.0)
            self.assertEqual(100 - 64 * 1024 // 1040, network.dropped_datagrams)

        self._run(check)

    def test_a_link_that_stands_still_carries_nothing_until_it_moves(self) -> None:
        async def check(network: LinkNetwork) -> None:
            near, far = network.new_stream(0, 1)
            near.write(bytes(_MEGABYTE))
            await asyncio.sleep(0.5)
            network.set_speed(0, LinkSpeed(0, 0))
            await asyncio.sleep(5.0)
            self.assertLess(network.stream_bytes(0), 0.6 * _MEGABYTE)
            network.set_speed(0, _LINK)
            at_s = await _receive(far, _MEGABYTE)
            self.assertAlmostEqual(6.0, at_s, delta=0.05)

        self._run(check)
