"""Tests of how soon a platform that is lost to all relays is noticed."""

import asyncio
import random
from itertools import pairwise

import testtools

from burdockdock.clock import Clock, ManualClock, SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.verdict import Failure
from burdockdock.node import relay
from burdockdock.node.relay import Relay, relays
from burdockdock.node.roster import Roster
from burdockdock.platform_api import WatchResult
from tests.support import UNAVAILABLE, FakePlatform, async_test, eventually

# A new version is in force on every node this long after it was accepted.
_IN_FORCE_S = 2.0
# What a call may take beyond the wait that it names, and what a takeover needs.
_REST_S = 0.7


class _WatchedPlatform(FakePlatform):
    """A platform that notes how long each watch waits, and answers or fails."""

    def __init__(self) -> None:
        super().__init__()
        self.waits_s: list[float] = []
        self.cut = asyncio.Event()
        self.failures_in_row = 0

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> WatchResult | Failure:
        """Return at once without news, or fail once the platform is cut off."""
        self.waits_s.append(wait_s)
        if len(self.waits_s) > 1:
            await self.cut.wait()
            self.failures_in_row = 1
            return UNAVAILABLE
        return WatchResult(after, [])

    async def pause_after_failure(self) -> None:
        """Wait as after a first failure."""
        await asyncio.sleep(0.01)


class _Reader:
    """Reads until the platform is cut off."""

    watched = ("config/",)

    def __init__(self, platform: _WatchedPlatform) -> None:
        self._platform = platform

    async def refresh(self) -> bool:
        """Return whether the platform answered."""
        return not self._platform.cut.is_set()

    async def take_in(self, objects: list) -> bool:
        """Take in everything."""
        return True


class _Node:
    """A relay beside others that it only knows of."""

    def __init__(self, number: int, *, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self.membership = MembershipTable(_member(number), clock=clock)
        for i in range(6):
            self.membership.merge(_member(i))
        self.ranking = MemberRanking(self.membership)
        self.platform = _WatchedPlatform()
        self.relay = Relay(
            platform=self.platform,
            reader=_Reader(self.platform),
            roster=Roster(self.platform, own=_member(number), rng=random.Random()),
            membership=self.membership,
            ranking=self.ranking,
            clock=clock,
            rng=random.Random(number),
            change_own=lambda **changes: self.membership.update_own(**changes),
        )


def _member(i: int) -> Member:
    return Member(f"n{i}", f"10.0.0.{i}", 7000, "r", f"z{i % 3}", 1)


class RelayTest(testtools.TestCase):
    """Tests of watches that end in turn, and of the next node taking over."""

    @async_test
    async def test_watches_that_began_together_end_in_turn(self) -> None:
        first_waits_s = []
        for node in (_Node(i) for i in range(6)):
            if not node.relay.is_relay:
                continue
            task = asyncio.create_task(node.relay.run())
            await eventually(lambda node=node: len(node.platform.waits_s) > 1)
            task.cancel()
            first_waits_s.append(node.platform.waits_s[0])
            period_s = node.platform.waits_s[1]
        first_waits_s.sort()
        self.assertEqual(3, len(first_waits_s))
        ends_s = [*first_waits_s, first_waits_s[0] + period_s]
        gaps_s = [after - before for before, after in pairwise(ends_s)]
        self.assertLessEqual(max(gaps_s) + _REST_S, _IN_FORCE_S)

    def test_an_outage_makes_few_nodes_ask(self) -> None:
        for count in (13, 100, 1000):
            membership = MembershipTable(_member(0), clock=SystemClock())
            for i in range(1, count):
                membership.merge(_member(i))
            ranking = MemberRanking(membership)
            asking = set()
            while now := relays(ranking) - asking:
                asking |= now
                for node_id in now:
                    known = membership.get(node_id)
                    if known == membership.own:
                        membership.update_own(platform_lost=True)
                        continue
                    higher = known.incarnation + 1
                    membership.merge(
                        known._replace(incarnation=higher, platform_lost=True)
                    )
            self.assertLessEqual(len(asking), 20)
            self.assertGreaterEqual(len(asking), 8)

    @async_test
    async def test_one_failed_watch_hands_the_role_on(self) -> None:
        node = next(n for n in (_Node(i) for i in range(6)) if n.relay.is_relay)
        own_id = node.membership.own.node_id
        task = asyncio.create_task(node.relay.run())
        await eventually(lambda: len(node.platform.waits_s) > 1)
        self.assertIn(own_id, relays(node.ranking))
        node.platform.cut.set()
        await eventually(lambda: node.membership.own.platform_lost)
        self.assertNotIn(own_id, relays(node.ranking))
        self.assertEqual(3, len(relays(node.ranking)))
        self.assertEqual(1, node.platform.failures_in_row)
        task.cancel()

    @async_test
    async def test_another_call_that_failed_does_not_give_the_role_away(self) -> None:
        node = next(n for n in (_Node(i) for i in range(6)) if n.relay.is_relay)
        node.platform.failures_in_row = 1
        task = asyncio.create_task(node.relay.run())
        await eventually(lambda: len(node.platform.waits_s) > 1)
        self.assertFalse(node.membership.own.platform_lost)
        task.cancel()

    @async_test
    async def test_the_next_by_rank_begins_as_soon_as_it_hears(self) -> None:
        # Only what it hears can wake it.
        self.patch(relay, "_ROLE_INTERVAL_S", 1e6)
        nodes = [_Node(i) for i in range(6)]
        waiting = next(n for n in nodes if not n.relay.is_relay)
        task = asyncio.create_task(waiting.relay.run())
        zone = waiting.membership.own.availability_zone
        first = next(
            n
            for n in nodes
            if n.relay.is_relay and n.membership.own.availability_zone == zone
        )
        # The role is looked at once before the news.
        await asyncio.sleep(0.3)
        self.assertEqual([], waiting.platform.waits_s)
        lost = first.membership.update_own(platform_lost=True)
        waiting.membership.merge(lost)
        await eventually(lambda: waiting.platform.waits_s)
        task.cancel()

    @async_test
    async def test_changes_that_come_together_are_looked_at_once(self) -> None:
        self.patch(relay, "_ROLE_INTERVAL_S", 1e6)
        self.patch(relay, "_ROLE_PAUSE_S", 1e6)
        clock = ManualClock()
        node = _Node(0, clock=clock)
        looks = []

        def look(ranking: MemberRanking) -> set[str]:
            looks.append(clock.monotonic())
            return relays(ranking)

        self.patch(relay, "relays", look)
        task = asyncio.create_task(node.relay.run())
        await eventually(lambda: looks)
        clock.advance(2e6)
        looks.clear()
        await self._change_a_member(node, 2)
        self.assertIn(2e6, looks)
        looks.clear()
        # The clock stands still: the pause since the last look is not over.
        await self._change_a_member(node, 3)
        self.assertEqual([], looks)
        task.cancel()

    async def _change_a_member(self, node: _Node, incarnation: int) -> None:
        node.membership.merge(_member(5)._replace(incarnation=incarnation))
        for _ in range(10):
            await asyncio.sleep(0)
