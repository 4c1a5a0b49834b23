"""Tests of the order and number of fetches from several peers."""

import asyncio
import random

import testtools

from burdockdock.overlay.fetch_queue import FetchQueue, Source
from tests.virtual_time import run_virtually


class _SimulatedPeers:
    """Simulated peers, and whether the local node still needs to fetch.

    :param trickles: whether every fetch keeps receiving bytes.
    """

    def __init__(self, *, trickles: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self.state_missing = True
        self.silent: set[int] = set()
        self.without_state: set[int] = set()
        self.requested: list[int] = []
        self.requested_at_s: list[float] = []
        self.finished: list[int] = []
        self.fallback_ports: list[int] = []
        self.queue = FetchQueue(
            fetch=self._fetch,
            received_bytes=lambda _: int(loop.time() * 10) if trickles else 0,
            find_source=self._find_source,
            rng=random.Random(1),
        )

    def source(self, port: int) -> Source:
        """Return the source for a peer."""
        return Source(("h", port), "notice", lambda: self.state_missing)

    async def _fetch(self, source: Source) -> None:
        port = source.address[1]
        self.requested.append(port)
        self.requested_at_s.append(asyncio.get_running_loop().time())
        try:
            if port in self.silent:
                await asyncio.Event().wait()
            await asyncio.sleep(0.1)
            self.state_missing = self.state_missing and port in self.without_state
        finally:
            self.finished.append(port)

    def _find_source(self) -> Source | None:
        return (
            self.source(self.fallback_ports[0])
            if self.state_missing and self.fallback_ports
            else None
        )


class FetchQueueTest(testtools.TestCase):
    """Tests of a fetch queue."""

    def test_state_received_from_one_peer_is_not_fetched_again(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            for port in (1, 2, 3):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(5.0)
            self.assertEqual([3], peers.requested)

        run_virtually(check())

    def test_silent_peer_does_not_delay_fetches_and_is_cancelled(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            peers.silent = {3}
            for port in (2, 3):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(1.0)
            self.assertEqual([3, 2], peers.requested)
            self.assertEqual({2, 3}, set(peers.finished))

        run_virtually(check())

    def test_next_peer_is_asked_if_one_lacks_the_state(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            peers.without_state = {3}
            for port in (2, 3):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(1.0)
            self.assertEqual([3, 2], peers.requested)

        run_virtually(check())

    def test_retries_back_off_until_nothing_is_missing(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            peers.without_state = {3, 4}
            peers.fallback_ports = [4]
            peers.queue.add(peers.source(3))
            await asyncio.sleep(20.0)
            self.assertGreater(len(peers.requested), 5)
            self.assertLess(len(peers.requested), 60)
            peers.without_state = set()
            await asyncio.sleep(5.0)
            requested = len(peers.requested)
            await asyncio.sleep(20.0)
            self.assertEqual(requested, len(peers.requested))

        run_virtually(check())

    def test_idle_queue_restarts_when_a_source_is_added(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            peers.queue.add(peers.source(1))
            await asyncio.sleep(1.0)
            peers.state_missing = True
            peers.queue.add(peers.source(2))
            await asyncio.sleep(1.0)
            self.assertEqual([1, 2], peers.requested)

        run_virtually(check())

    def test_number_of_active_fetches_is_limited(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            peers.silent = set(range(10))
            for port in range(10):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(10.0)
            self.assertEqual(3, len(peers.requested))
            peers.queue.close()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual(3, len(peers.finished))

        run_virtually(check())

    def test_slow_source_does_not_delay_others(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers(trickles=True)
            peers.silent = {2}
            for port in (1, 2):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(2.5)
            self.assertEqual([2, 1], peers.requested)

        run_virtually(check())

    def test_added_source_ends_the_backoff(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            peers.without_state = {9}
            peers.fallback_ports = [9]
            peers.queue.add(peers.source(9))
            await asyncio.sleep(30.0)
            added_at_s = asyncio.get_running_loop().time()
            peers.queue.add(peers.source(1))
            await asyncio.sleep(5.0)
            self.assertEqual(1, peers.requested[-1])
            # A fetch that is already running ends first.
            self.assertLess(peers.requested_at_s[-1] - added_at_s, 0.2)

        run_virtually(check())

    def test_closed_queue_fetches_nothing(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            peers.queue.close()
            peers.queue.add(peers.source(1))
            await asyncio.sleep(1.0)
            self.assertEqual([], peers.requested)

        run_virtually(check())

    def test_fetch_with_run_to_completion_is_not_cancelled(self) -> None:
        async def check() -> None:
            peers = _SimulatedPeers()
            peers.silent = {3}
            peers.queue.add(peers.source(3)._replace(run_to_completion=True))
            await asyncio.sleep(0.1)
            peers.state_missing = False
            await asyncio.sleep(2.0)
            self.assertEqual([], peers.finished)
            peers.queue.close()

        run_virtually(check())
