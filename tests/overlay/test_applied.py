"""Tests of counting where a version is in force."""

import asyncio
import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.overlay import applied
from burdockdock.overlay.applied import AppliedState, AppliedTracker, FleetStatus
from burdockdock.protocol import decode, encode

_NODES = 12
_ZONES = 3


class _Fleet:
    """Trackers whose datagrams are delivered at once, unless they are lost."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.versions = [0] * _NODES
        self.lost_share = 0.0
        self.rng = random.Random(4)
        self.handlers: list = [None] * _NODES
        self.in_force: list[FleetStatus] = []
        self.late: list[FleetStatus] = []
        self.trackers = [self._tracker(i) for i in range(_NODES)]

    def _tracker(self, index: int) -> AppliedTracker:
        members = [
            Member(f"n{i:02}", "fake", i, "r", f"z{i % _ZONES}", 1)
            for i in range(_NODES)
        ]
        membership = MembershipTable(members[index], clock=self.clock)
        for member in members:
            if member.port != index:
                membership.merge(member)
        return AppliedTracker(
            membership=membership,
            ranking=MemberRanking(membership),
            datagrams=_Port(self, index),
            clock=self.clock,
            own_state=lambda: AppliedState(f"n{index:02}", self.versions[index]),
            on_in_force=lambda status, _: self.in_force.append(status),
            on_late=lambda status, _: self.late.append(status),
        )

    def tick(self, seconds_s: float) -> None:
        """Let time pass at every node, as the trackers' loops do."""
        for _ in range(int(seconds_s / 0.1)):
            for tracker in self.trackers:
                tracker.tick()
            self.clock.advance(0.1)


class _Port:
    """One node's datagrams."""

    def __init__(self, fleet: _Fleet, index: int) -> None:
        self._fleet = fleet
        self._index = index

    def on(self, kind: str, handler: object) -> None:
        """Keep the handler."""
        self._fleet.handlers[self._index] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Deliver a message unless it is lost."""
        if self._fleet.rng.random() < self._fleet.lost_share:
            return
        message = decode(encode(kind, mesh="m", **fields))
        self._fleet.handlers[address[1]](message.applied, ("fake", self._index))


class AppliedTrackerTest(testtools.TestCase):
    """Tests of twelve nodes in three availability zones."""

    def test_in_force_is_told_once_and_only_when_true(self) -> None:
        fleet = _Fleet()
        fleet.tick(1)
        for i in range(_NODES - 1):
            fleet.versions[i] = 1
        fleet.tick(1)
        self.assertEqual([], [s for s in fleet.in_force if s.version == 1])
        fleet.versions[-1] = 1
        fleet.tick(1)
        told = [s for s in fleet.in_force if s.version == 1]
        self.assertEqual([(12, 12)], [(s.applied, s.total) for s in told])
        self.assertEqual([], fleet.late)

    def test_laggard_is_named_after_three_seconds(self) -> None:
        fleet = _Fleet()
        fleet.tick(1)
        fleet.versions = [2] * _NODES
        fleet.versions[7] = 1
        fleet.tick(6)
        (late,) = fleet.late
        self.assertEqual(["n07"], [state.node_id for state in late.laggards])

    def test_lost_reports_delay_the_word_but_never_make_it_false(self) -> None:
        fleet = _Fleet()
        fleet.lost_share = 0.5
        fleet.versions = [3] * _NODES
        fleet.versions[4] = 2
        fleet.tick(30)
        self.assertEqual([], [s for s in fleet.in_force if s.version == 3])
        fleet.versions[4] = 3
        fleet.tick(120)
        self.assertEqual(1, len([s for s in fleet.in_force if s.version == 3]))

    def test_an_idle_tracker_looks_seldom_and_news_wakes_it(self) -> None:
        fleet = _Fleet()
        tracker = fleet.trackers[0]
        ticks = []

        def tick() -> None:
            ticks.append(fleet.versions[0])

        async def run() -> None:
            running = asyncio.create_task(tracker.run())
            await asyncio.sleep(0)
            for version in (1, 2, 3):
                fleet.versions[0] = version
                tracker.wake()
            await asyncio.sleep(10 * applied._PAUSE_S)
            running.cancel()

        self.patch(applied, "_PAUSE_S", 0.01)
        self.patch(applied, "_TICK_S", 1e6)
        self.patch(tracker, "tick", tick)
        asyncio.run(run())
        self.assertEqual([0, 3], ticks)
