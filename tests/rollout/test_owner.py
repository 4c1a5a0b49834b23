"""Tests of owners that compete for a rollout while platform writes fail.

Also tests starting and cancelling rollouts.
"""

import asyncio
import itertools
from typing import Any

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.platform_api import Conflict, PlatformObject
from burdockdock.rollout.evidence import EvidenceKey, EvidenceRow
from burdockdock.rollout.evidence_queue import EvidenceQueue
from burdockdock.rollout.model import ROLLOUT_PREFIX, Phase, Rollout, rollout_from
from burdockdock.rollout.owner import Notify, Owner, OwnerDependencies
from burdockdock.rollout.start import ChangeFailure, cancel_rollout, start_rollout
from burdockdock.rollout.view import RolloutView
from tests.rollout.test_policy import START, rollout
from tests.support import FakePlatform, async_test, eventually

_KEY = ROLLOUT_PREFIX + "desk"
_TICK_INTERVAL_S = 0.25
_GOOD_ROW = EvidenceRow(20, 0, {100: 20})
_BAD_ROW = EvidenceRow(20, 20, {})


class _HistoryPlatform(FakePlatform):
    """A fake platform that keeps every rollout state written to it."""

    def __init__(self, faults: dict[int, str] | None = None) -> None:
        super().__init__(faults)
        self.states: list[Rollout] = []

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Write an object, and keep the state if the write took effect."""
        before = self.objects.get(key)
        result = await super().try_update(
            key, expected_version=expected_version, value=value
        )
        if key == _KEY and self.objects.get(key) is not before:
            self.states.append(rollout_from(value))
        return result


class _Candidate:
    """A candidate owner with its own records and view."""

    def __init__(
        self,
        name: str,
        platform: FakePlatform,
        clock: ManualClock,
        *,
        notify: Notify | None = None,
    ) -> None:
        own = Member(name, "h", 1, "r", "z", 1)
        membership = MembershipTable(own, clock=clock)
        for version in ("1", "2"):
            membership.merge(
                Member(
                    f"backend-{version}",
                    "h",
                    2,
                    "r",
                    "z",
                    1,
                    ready=True,
                    service="desk",
                    service_version=version,
                    slots=8,
                )
            )
        self.records = RecordStore()
        self.view = RolloutView(self.records)
        self.evidence = EvidenceQueue(clock)
        self.peers: list[_Candidate] = []
        parts = OwnerDependencies(
            view=self.view,
            membership=membership,
            ranking=MemberRanking(membership),
            platform=platform,
            clock=clock,
            holder=name,
            spread=self._spread,
            notify=notify,
        )
        self.owner = Owner("desk", self.evidence, parts)

    def _spread(self, record: Record) -> None:
        for peer in (self, *self.peers):
            peer.records.put(record)

    async def tick(self, row: EvidenceRow) -> None:
        """Do one iteration of the owner's loops, with one row of new results."""
        key = EvidenceKey("profiles", "browsing", "2")
        old = EvidenceKey("profiles", "browsing", "1")
        self.evidence.put("backend-2", {key: row})
        self.evidence.put("backend-1", {old: _GOOD_ROW})
        if self.owner._may_hold_lease():
            await self.owner._lease.maintain()
        else:
            await self.owner._lease.release()
        self.owner._judge_evidence()
        self.owner._stop_if_faulty()
        if self.owner._lease.is_held(margin_s=0.5):
            await self.owner._advance()
        else:
            self.owner._current = None


async def _run(
    faults: dict[int, str], *, bad_from_s: float, frozen: tuple[float, float]
) -> _HistoryPlatform:
    """Run a one-minute rollout with two candidates.

    :param faults: faults of the platform by number of the write.
    :param bad_from_s: when the new version starts to fail.
    :param frozen: from when until when the first candidate is frozen, in seconds.
    """
    clock = ManualClock(start=START)
    platform = _HistoryPlatform()
    first = rollout()
    await platform.try_update(_KEY, expected_version=0, value=first.to_value())
    platform.writes, platform.faults = 0, faults
    pair = [_Candidate(name, platform, clock) for name in ("one", "two")]
    for candidate, other in zip(pair, reversed(pair), strict=True):
        candidate.peers = [other]
        candidate.records.put(Record(_KEY, 1, first.encode()))
    while clock.monotonic() < 75:
        now_s = clock.monotonic()
        row = _BAD_ROW if now_s >= bad_from_s else _GOOD_ROW
        for i, candidate in enumerate(pair):
            if i or not frozen[0] <= now_s < frozen[1]:
                await candidate.tick(row)
        clock.advance(_TICK_INTERVAL_S)
    return platform


class OwnerTest(testtools.TestCase):
    """Tests that the written states stay consistent under every fault."""

    def _check(self, platform: _HistoryPlatform, case: object) -> Rollout:
        states = platform.states
        for before, after in itertools.pairwise(states):
            self.assertEqual(before.step + 1, after.step, case)
            self.assertGreaterEqual(after.epoch, before.epoch, case)
            self.assertFalse(before.phase.final, case)
            if after.phase is not Phase.ROLLED_BACK:
                self.assertGreaterEqual(after.share, before.share, case)
        return states[-1]

    @async_test
    async def test_good_rollout_is_done_despite_any_fault_at_any_write(self) -> None:
        faults = ("lost_before", "lost_after")
        freezes = ((1e9, 1e9), (6.0, 14.0))
        for number, fault, frozen in itertools.product(
            range(1, 60, 3), faults, freezes
        ):
            case = (number, fault, frozen)
            platform = await _run({number: fault}, bad_from_s=1e9, frozen=frozen)
            self.assertIs(Phase.DONE, self._check(platform, case).phase, case)

    @async_test
    async def test_bad_version_is_rolled_back_despite_lost_answers(self) -> None:
        for bad_from_s, fault in itertools.product((0, 10, 30, 44), ("", "lost_after")):
            faults = dict.fromkeys(range(1, 400, 5), fault)
            platform = await _run(faults, bad_from_s=bad_from_s, frozen=(1e9, 1e9))
            last = self._check(platform, bad_from_s)
            self.assertIs(Phase.ROLLED_BACK, last.phase, bad_from_s)
            self.assertIn("failures", last.history[-1].reason)

    @async_test
    async def test_stop_spreads_while_the_platform_is_down(self) -> None:
        clock = ManualClock(start=START)
        platform = _HistoryPlatform()
        candidate = _Candidate("one", platform, clock)
        state = rollout(phase=Phase.SHIFTING, share=0.25, step_at=START)
        candidate.records.put(Record(_KEY, 1, state.encode()))
        platform.down = True
        # Results count once the gates have been heard from for some time.
        while clock.monotonic() < 4.0:
            await candidate.tick(_GOOD_ROW)
            clock.advance(_TICK_INTERVAL_S)
        weights = candidate.view.weights("desk", {"1": 8, "2": 8})
        self.assertEqual({"1": 0.75, "2": 0.25}, weights)
        await candidate.tick(_BAD_ROW)
        self.assertEqual({"1": 1.0}, candidate.view.weights("desk", {"1": 8, "2": 8}))

    @async_test
    async def test_operators_are_notified_at_least_once_under_every_fault(self) -> None:
        for number, fault in itertools.product(
            range(1, 8), ("lost_before", "lost_after")
        ):
            clock = ManualClock(start=START)
            platform = _HistoryPlatform()
            ended = rollout(phase=Phase.SOAKING).enter(
                Phase.DONE, now=START, reason="test"
            )
            await platform.try_update(_KEY, expected_version=0, value=ended.to_value())
            platform.writes, platform.faults = 0, {number: fault}
            notified: list[str] = []

            async def notify(ended: Rollout, notified: list[str] = notified) -> bool:
                notified.append(ended.rollout_id)
                return len(notified) > 1

            candidate = _Candidate("one", platform, clock, notify=notify)
            candidate.records.put(Record(_KEY, 1, ended.encode()))
            for _ in range(60):
                await candidate.tick(_GOOD_ROW)
                clock.advance(_TICK_INTERVAL_S)
            self.assertGreaterEqual(len(notified), 2, (number, fault))
            self.assertEqual({"desk-1"}, set(notified))
            self.assertTrue(platform.states[-1].notified, (number, fault))


class LostRolloutTest(testtools.TestCase):
    """Tests of an owner whose rollout the store lost or can't be read."""

    async def _check_goes_on(self, odd: PlatformObject | None) -> None:
        """Check that an owner goes on after a write found an odd object, or none."""
        clock, platform = ManualClock(start=START), _HistoryPlatform()
        first = rollout()
        await platform.try_update(_KEY, expected_version=0, value=first.to_value())
        owner = _Candidate("one", platform, clock)
        owner.records.put(Record(_KEY, 1, first.encode()))
        while owner.owner._current is None:
            await owner.tick(_GOOD_ROW)
            clock.advance(_TICK_INTERVAL_S)
        kept = platform.objects.pop(_KEY)
        if odd is not None:
            platform.objects[_KEY] = odd
        while owner.owner._current is not None:
            await owner.tick(_GOOD_ROW)
            clock.advance(_TICK_INTERVAL_S)
        platform.objects[_KEY] = kept
        while platform.objects[_KEY].version == kept.version:
            await owner.tick(_GOOD_ROW)
            clock.advance(_TICK_INTERVAL_S)

    @async_test
    async def test_rollout_that_the_store_lost(self) -> None:
        # Guards against an owner that ends, and is never started again.
        await self._check_goes_on(None)

    @async_test
    async def test_rollout_that_cannot_be_read(self) -> None:
        await self._check_goes_on(PlatformObject(_KEY, 99, {"number": "x"}))

    @async_test
    async def test_lease_that_the_store_lost_gets_a_higher_epoch(self) -> None:
        # Guards against an epoch under which two holders wrote.
        clock, platform = ManualClock(start=START), _HistoryPlatform()
        second = _Candidate("two", platform, clock)
        written = rollout()._replace(epoch=7)
        second.records.put(Record(_KEY, 1, written.encode()))
        # Past the deadline, so that it needs no evidence.
        clock.advance(3600.0)
        keeping = asyncio.create_task(second.owner._keep_lease())
        await asyncio.sleep(0.1)
        # Who wrote under the epoch 7 may still hold the lease.
        self.assertFalse(second.owner._lease.is_held())
        clock.advance(5.0)
        await eventually(second.owner._lease.is_held)
        keeping.cancel()
        self.assertEqual(8, second.owner._lease.epoch)


class StartTest(testtools.TestCase):
    """Tests of operators starting and cancelling rollouts."""

    async def _start(
        self, platform: FakePlatform, author: str, **fields: object
    ) -> Any:
        values = {
            "service": "desk",
            "from_version": "1",
            "to_version": "2",
            "deadline": rollout().deadline,
            "reason": "release",
            "clock": ManualClock(start=START),
            **fields,
        }
        return await start_rollout(platform, author=author, **values)

    @async_test
    async def test_one_of_two_racing_operators_wins(self) -> None:
        platform = FakePlatform()
        self.assertIsInstance(await self._start(platform, "first"), Rollout)
        second = await self._start(platform, "second", to_version="3")
        self.assertIsInstance(second, ChangeFailure)
        self.assertIn("by first", second.message)

    @async_test
    async def test_too_early_deadline_is_refused_naming_the_earliest(self) -> None:
        refused = await self._start(FakePlatform(), "op", deadline=START)
        self.assertIn("earliest time is 2026-01-01T00:00:10", refused.message)

    @async_test
    async def test_rollout_can_be_cancelled_only_once(self) -> None:
        platform = FakePlatform()
        await self._start(platform, "op")
        clock = ManualClock(start=START)
        cancelled = await cancel_rollout(
            platform, service="desk", author="op", reason="no", clock=clock
        )
        self.assertIs(Phase.ROLLED_BACK, cancelled.phase)
        again = await cancel_rollout(
            platform, service="desk", author="op", reason="no", clock=clock
        )
        self.assertIn("already ended", again.message)
        following = await self._start(platform, "op")
        self.assertEqual(2, following.number)
