"""Tests of relay selection, platform outages and relay takeover."""

import asyncio
import random
from itertools import pairwise

import testtools

from burdockdock.clock import Clock, ManualClock, SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.verdict import Failure
from burdockdock.node import relay
from burdockdock.node.relay import Relay, select_relays
from burdockdock.node.roster import Roster
from burdockdock.platform_api import WatchResult
from tests.support import UNAVAILABLE, FakePlatform, async_test, eventually

# Limit from the acceptance of a version until it is in force on every node.
_DISTRIBUTION_LIMIT_S = 2.0
# Margin of a watch call's timeout plus the time of a takeover by the next node.
_TIMEOUT_AND_TAKEOVER_S = 0.7


class _ScriptedPlatform(FakePlatform):
    """Records the wait of each watch; watches fail once ``outage`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.watch_waits_s: list[float] = []
        self.outage = asyncio.Event()
        self.failures_in_row = 0

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> WatchResult | Failure:
        """Return no objects on the first call, then fail after the outage begins."""
        self.watch_waits_s.append(wait_s)
        if len(self.watch_waits_s) > 1:
            await self.outage.wait()
            self.failures_in_row = 1
            return UNAVAILABLE
        return WatchResult(after, [])

    async def pause_after_failure(self) -> None:
        """Wait briefly, as after a first failure."""
        await asyncio.sleep(0.01)


class _FakeReader:
    """Succeeds until the platform outage begins."""

    watched_prefixes = ("config/",)

    def __init__(self, platform: _ScriptedPlatform) -> None:
        self._platform = platform

    async def refresh(self) -> bool:
        """Return whether the platform answered."""
        return not self._platform.outage.is_set()

    def note_listed(self, prefix: str, found: WatchResult) -> None:
        """Accept any list."""

    async def ingest(self, objects: list) -> bool:
        """Accept all objects."""
        return True


class _Node:
    """A relay whose membership lists five other nodes that do not run."""

    def __init__(self, number: int, *, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self.membership = MembershipTable(_member(number), clock=clock)
        for i in range(6):
            self.membership.merge(_member(i))
        self.ranking = MemberRanking(self.membership)
        self.platform = _ScriptedPlatform()
        self.relay = Relay(
            platform=self.platform,
            reader=_FakeReader(self.platform),
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
    """Tests of staggered watches, role checks and takeover."""

    @async_test
    async def test_watches_that_start_together_end_at_staggered_times(self) -> None:
        initial_waits_s = []
        for node in (_Node(i) for i in range(6)):
            if not node.relay.is_relay:
                continue
            task = asyncio.create_task(node.relay.run())
            await eventually(lambda node=node: len(node.platform.watch_waits_s) > 1)
            task.cancel()
            initial_waits_s.append(node.platform.watch_waits_s[0])
            period_s = node.platform.watch_waits_s[1]
        initial_waits_s.sort()
        self.assertEqual(3, len(initial_waits_s))
        ends_s = [*initial_waits_s, initial_waits_s[0] + period_s]
        gaps_s = [after - before for before, after in pairwise(ends_s)]
        self.assertLessEqual(
            max(gaps_s) + _TIMEOUT_AND_TAKEOVER_S, _DISTRIBUTION_LIMIT_S
        )

    def test_platform_outage_makes_only_a_few_nodes_poll(self) -> None:
        for count in (13, 100, 1000):
            membership = MembershipTable(_member(0), clock=SystemClock())
            for i in range(1, count):
                membership.merge(_member(i))
            ranking = MemberRanking(membership)
            polling = set()
            while new_relays := select_relays(ranking) - polling:
                polling |= new_relays
                for node_id in new_relays:
                    member = membership.get(node_id)
                    if member == membership.own:
                        membership.update_own(platform_lost=True)
                        continue
                    incarnation = member.incarnation + 1
                    membership.merge(
                        member._replace(incarnation=incarnation, platform_lost=True)
                    )
            self.assertLessEqual(len(polling), 20)
            self.assertGreaterEqual(len(polling), 8)

    @async_test
    async def test_failed_watch_hands_the_relay_role_over(self) -> None:
        node = next(n for n in (_Node(i) for i in range(6)) if n.relay.is_relay)
        own_id = node.membership.own.node_id
        task = asyncio.create_task(node.relay.run())
        await eventually(lambda: len(node.platform.watch_waits_s) > 1)
        self.assertIn(own_id, select_relays(node.ranking))
        node.platform.outage.set()
        await eventually(lambda: node.membership.own.platform_lost)
        self.assertNotIn(own_id, select_relays(node.ranking))
        self.assertEqual(3, len(select_relays(node.ranking)))
        self.assertEqual(1, node.platform.failures_in_row)
        task.cancel()

    @async_test
    async def test_failure_of_an_unrelated_call_keeps_the_relay_role(self) -> None:
        node = next(n for n in (_Node(i) for i in range(6)) if n.relay.is_relay)
        node.platform.failures_in_row = 1
        task = asyncio.create_task(node.relay.run())
        await eventually(lambda: len(node.platform.watch_waits_s) > 1)
        self.assertFalse(node.membership.own.platform_lost)
        task.cancel()

    @async_test
    async def test_next_ranked_node_takes_over_on_the_membership_update(self) -> None:
        # Disables the regular check, so that only a membership update triggers one.
        self.patch(relay, "_ROLE_CHECK_INTERVAL_S", 1e6)
        nodes = [_Node(i) for i in range(6)]
        standby = next(n for n in nodes if not n.relay.is_relay)
        task = asyncio.create_task(standby.relay.run())
        zone = standby.membership.own.availability_zone
        first = next(
            n
            for n in nodes
            if n.relay.is_relay and n.membership.own.availability_zone == zone
        )
        # Lets the first role check pass before the update.
        await asyncio.sleep(0.3)
        self.assertEqual([], standby.platform.watch_waits_s)
        update = first.membership.update_own(platform_lost=True)
        standby.membership.merge(update)
        await eventually(lambda: standby.platform.watch_waits_s)
        task.cancel()

    @async_test
    async def test_concurrent_membership_changes_cause_one_role_check(self) -> None:
        self.patch(relay, "_ROLE_CHECK_INTERVAL_S", 1e6)
        self.patch(relay, "_MIN_ROLE_CHECK_INTERVAL_S", 1e6)
        clock = ManualClock()
        node = _Node(0, clock=clock)
        checks = []

        def counted_select_relays(ranking: MemberRanking) -> set[str]:
            checks.append(clock.monotonic())
            return select_relays(ranking)

        self.patch(relay, "select_relays", counted_select_relays)
        task = asyncio.create_task(node.relay.run())
        await eventually(lambda: checks)
        clock.advance(2e6)
        checks.clear()
        await self._update_member(node, 2)
        self.assertIn(2e6, checks)
        checks.clear()
        # The manual clock does not move, so the debounce time has not passed.
        await self._update_member(node, 3)
        self.assertEqual([], checks)
        task.cancel()

    async def _update_member(self, node: _Node, incarnation: int) -> None:
        node.membership.merge(_member(5)._replace(incarnation=incarnation))
        for _ in range(10):
            await asyncio.sleep(0)
