"""Tests of which peer is asked next."""

import asyncio
import random

import testtools

from burdockdock.overlay.fetches import FetchQueue, Source
from tests.virtual_time import run_virtually


class _Peers:
    """Peers of which some are silent, and what this node lacks."""

    def __init__(self, *, trickles: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self.lacks = True
        self.silent: set[int] = set()
        self.useless: set[int] = set()
        self.asked: list[int] = []
        self.asked_at_s: list[float] = []
        self.ended: list[int] = []
        self.found: list[int] = []
        self.queue = FetchQueue(
            fetch=self._fetch,
            received_bytes=lambda _: int(loop.time() * 10) if trickles else 0,
            find_source=self._find_source,
            rng=random.Random(1),
        )

    def source(self, port: int) -> Source:
        """Return a peer as a source."""
        return Source(("h", port), "notice", lambda: self.lacks)

    async def _fetch(self, source: Source) -> None:
        port = source.address[1]
        self.asked.append(port)
        self.asked_at_s.append(asyncio.get_running_loop().time())
        try:
            if port in self.silent:
                await asyncio.Event().wait()
            await asyncio.sleep(0.1)
            self.lacks = self.lacks and port in self.useless
        finally:
            self.ended.append(port)

    def _find_source(self) -> Source | None:
        return self.source(self.found[0]) if self.lacks and self.found else None


class FetchQueueTest(testtools.TestCase):
    """Tests of a queue of sources."""

    def test_what_one_peer_brings_is_not_fetched_again(self) -> None:
        async def check() -> None:
            peers = _Peers()
            for port in (1, 2, 3):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(5.0)
            self.assertEqual([3], peers.asked)

        run_virtually(check())

    def test_a_silent_peer_holds_up_no_fetch_and_is_dropped(self) -> None:
        async def check() -> None:
            peers = _Peers()
            peers.silent = {3}
            for port in (2, 3):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(1.0)
            self.assertEqual([3, 2], peers.asked)
            self.assertEqual({2, 3}, set(peers.ended))

        run_virtually(check())

    def test_a_peer_without_it_is_followed_by_the_next(self) -> None:
        async def check() -> None:
            peers = _Peers()
            peers.useless = {3}
            for port in (2, 3):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(1.0)
            self.assertEqual([3, 2], peers.asked)

        run_virtually(check())

    def test_others_are_asked_while_something_lacks_and_less_and_less(self) -> None:
        async def check() -> None:
            peers = _Peers()
            peers.useless = {3, 4}
            peers.found = [4]
            peers.queue.add(peers.source(3))
            await asyncio.sleep(20.0)
            self.assertGreater(len(peers.asked), 5)
            self.assertLess(len(peers.asked), 60)
            peers.useless = set()
            await asyncio.sleep(5.0)
            asked = len(peers.asked)
            await asyncio.sleep(20.0)
            self.assertEqual(asked, len(peers.asked))

        run_virtually(check())

    def test_a_queue_that_came_to_its_end_begins_again(self) -> None:
        async def check() -> None:
            peers = _Peers()
            peers.queue.add(peers.source(1))
            await asyncio.sleep(1.0)
            peers.lacks = True
            peers.queue.add(peers.source(2))
            await asyncio.sleep(1.0)
            self.assertEqual([1, 2], peers.asked)

        run_virtually(check())

    def test_all_peers_silent_are_not_all_asked_at_once(self) -> None:
        async def check() -> None:
            peers = _Peers()
            peers.silent = set(range(10))
            for port in range(10):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(10.0)
            self.assertEqual(3, len(peers.asked))
            peers.queue.close()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual(3, len(peers.ended))

        run_virtually(check())

    def test_a_source_that_trickles_does_not_hold_up_the_others(self) -> None:
        async def check() -> None:
            peers = _Peers(trickles=True)
            peers.silent = {2}
            for port in (1, 2):
                peers.queue.add(peers.source(port))
            await asyncio.sleep(2.5)
            self.assertEqual([2, 1], peers.asked)

        run_virtually(check())

    def test_a_named_source_is_asked_at_once_also_between_rounds(self) -> None:
        async def check() -> None:
            peers = _Peers()
            peers.useless = {9}
            peers.found = [9]
            peers.queue.add(peers.source(9))
            await asyncio.sleep(30.0)
            added_s = asyncio.get_running_loop().time()
            peers.queue.add(peers.source(1))
            await asyncio.sleep(5.0)
            self.assertEqual(1, peers.asked[-1])
            # A round that was under way ends first.
            self.assertLess(peers.asked_at_s[-1] - added_s, 0.2)

        run_virtually(check())

    def test_nothing_is_fetched_after_the_close(self) -> None:
        async def check() -> None:
            peers = _Peers()
            peers.queue.close()
            peers.queue.add(peers.source(1))
            await asyncio.sleep(1.0)
            self.assertEqual([], peers.asked)

        run_virtually(check())

    def test_an_exchange_that_began_goes_on_where_it_tells_the_peer_too(self) -> None:
        async def check() -> None:
            peers = _Peers()
            peers.silent = {3}
            peers.queue.add(peers.source(3)._replace(to_its_end=True))
            await asyncio.sleep(0.1)
            peers.lacks = False
            await asyncio.sleep(2.0)
            self.assertEqual([], peers.ended)
            peers.queue.close()

        run_virtually(check())
