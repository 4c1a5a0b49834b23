"""Tests of tracking on which nodes a version is in force."""

import asyncio
import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.overlay import applied
from burdockdock.overlay.applied import AppliedTracker
from burdockdock.overlay.applied_status import AppliedState, FleetStatus
from burdockdock.protocol import decode, encode

_NODE_COUNT = 12
_ZONE_COUNT = 3


class _Fleet:
    """Trackers connected by a network that delivers at once or loses datagrams."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.versions = [0] * _NODE_COUNT
        self.loss_rate = 0.0
        self.rng = random.Random(4)
        self.handlers: list = [None] * _NODE_COUNT
        self.in_force: list[FleetStatus] = []
        self.late: list[FleetStatus] = []
        self.trackers = [self._build_tracker(i) for i in range(_NODE_COUNT)]

    def _build_tracker(self, index: int) -> AppliedTracker:
        members = [
            Member(f"n{i:02}", "fake", i, "r", f"z{i % _ZONE_COUNT}", 1)
            for i in range(_NODE_COUNT)
        ]
        membership = MembershipTable(members[index], clock=self.clock)
        for member in members:
            if member.port != index:
                membership.merge(member)
        return AppliedTracker(
            membership=membership,
            ranking=MemberRanking(membership),
            datagrams=_FakeDatagrams(self, index),
            clock=self.clock,
            own_state=lambda: AppliedState(f"n{index:02}", self.versions[index]),
            on_in_force=lambda status, _: self.in_force.append(status),
            on_late=lambda status, _: self.late.append(status),
        )

    def run_for(self, duration_s: float) -> None:
        """Tick every tracker once per 0.1 s of simulated time."""
        for _ in range(int(duration_s / 0.1)):
            for tracker in self.trackers:
                tracker.tick()
            self.clock.advance(0.1)


class _FakeDatagrams:
    """The datagram endpoint of one node."""

    def __init__(self, fleet: _Fleet, index: int) -> None:
        self._fleet = fleet
        self._index = index

    def on(self, kind: str, handler: object) -> None:
        """Register the handler."""
        self._fleet.handlers[self._index] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Deliver a message at once, or lose it at random."""
        if self._fleet.rng.random() < self._fleet.loss_rate:
            return
        message = decode(encode(kind, mesh="m", **fields))
        self._fleet.handlers[address[1]](message.applied, ("fake", self._index))


class AppliedTrackerTest(testtools.TestCase):
    """Tests of twelve nodes in three availability zones."""

    def test_in_force_is_reported_once_and_only_when_all_apply(self) -> None:
        fleet = _Fleet()
        fleet.run_for(1)
        for i in range(_NODE_COUNT - 1):
            fleet.versions[i] = 1
        fleet.run_for(1)
        self.assertEqual([], [s for s in fleet.in_force if s.version == 1])
        fleet.versions[-1] = 1
        fleet.run_for(1)
        notified = [s for s in fleet.in_force if s.version == 1]
        self.assertEqual([(12, 12)], [(s.applied, s.total) for s in notified])
        self.assertEqual([], fleet.late)

    def test_late_status_names_the_laggard_after_three_seconds(self) -> None:
        fleet = _Fleet()
        fleet.run_for(1)
        fleet.versions = [2] * _NODE_COUNT
        fleet.versions[7] = 1
        fleet.run_for(6)
        (late,) = fleet.late
        self.assertEqual(["n07"], [state.node_id for state in late.laggards])

    def test_lost_reports_delay_the_in_force_status_but_never_falsify_it(self) -> None:
        fleet = _Fleet()
        fleet.loss_rate = 0.5
        fleet.versions = [3] * _NODE_COUNT
        fleet.versions[4] = 2
        fleet.run_for(30)
        self.assertEqual([], [s for s in fleet.in_force if s.version == 3])
        fleet.versions[4] = 3
        fleet.run_for(120)
        self.assertEqual(1, len([s for s in fleet.in_force if s.version == 3]))

    def test_an_idle_tracker_sleeps_until_a_change_wakes_it_once(self) -> None:
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
            await asyncio.sleep(10 * applied._BATCH_DELAY_S)
            running.cancel()

        self.patch(applied, "_BATCH_DELAY_S", 0.01)
        self.patch(applied, "_TICK_INTERVAL_S", 1e6)
        self.patch(tracker, "tick", tick)
        asyncio.run(run())
        self.assertEqual([0, 3], ticks)
