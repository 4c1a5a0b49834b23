"""Two owners of one rollout under every fault at every write."""

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
from burdockdock.rollout.model import ROLLOUT_PREFIX, Phase, Rollout, rollout_from
from burdockdock.rollout.owner import Notify, OwnerDependencies, RolloutView, _Owner
from burdockdock.rollout.start import ChangeFailure, cancel_rollout, start_rollout
from tests.rollout.test_policy import START, rollout
from tests.support import FakePlatform, async_test

_KEY = ROLLOUT_PREFIX + "desk"
_TICK_S = 0.25
_GOOD_ROW = EvidenceRow(20, 0, {100: 20})
_BAD_ROW = EvidenceRow(20, 20, {})


class _HistoryPlatform(FakePlatform):
    """Keeps every state that was written."""

    def __init__(self, faults: dict[int, str] | None = None) -> None:
        super().__init__(faults)
        self.states: list[Rollout] = []

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Write, and keep the state if it took effect."""
        before = self.objects.get(key)
        result = await super().try_update(
            key, expected_version=expected_version, value=value
        )
        if key == _KEY and self.objects.get(key) is not before:
            self.states.append(rollout_from(value))
        return result


class _Candidate:
    """One candidate for owner with its own view."""

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
        self.inbox: list = []
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
        self.owner = _Owner("desk", self.inbox, parts)

    def _spread(self, record: Record) -> None:
        for peer in (self, *self.peers):
            peer.records.put(record)

    async def tick(self, row: EvidenceRow) -> None:
        """Do what one round of the owner's loops does."""
        key = EvidenceKey("profiles", "browsing", "2")
        old = EvidenceKey("profiles", "browsing", "1")
        self.inbox.append({key: row, old: _GOOD_ROW})
        await self.owner._lease.maintain()
        self.owner._judge_evidence()
        self.owner._abort_if_faulty()
        if self.owner._lease.is_held(margin_s=0.5):
            await self.owner._advance()
        else:
            self.owner._current = None


async def _run(
    faults: dict[int, str], *, bad_from_s: float, frozen: tuple[float, float]
) -> _HistoryPlatform:
    """Run a rollout of a minute with two candidates, the first of them frozen."""
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
        clock.advance(_TICK_S)
    return platform


class OwnerTest(testtools.TestCase):
    """What is written holds under every fault."""

    def _check(self, platform: _HistoryPlatform, cell: object) -> Rollout:
        states = platform.states
        for before, after in itertools.pairwise(states):
            self.assertEqual(before.step + 1, after.step, cell)
            self.assertGreaterEqual(after.epoch, before.epoch, cell)
            self.assertFalse(before.phase.final, cell)
            if after.phase is not Phase.ROLLED_BACK:
                self.assertGreaterEqual(after.share, before.share, cell)
        return states[-1]

    @async_test
    async def test_every_fault_at_every_write(self) -> None:
        faults = ("lost_before", "lost_after")
        freezes = ((1e9, 1e9), (6.0, 14.0))
        for number, fault, frozen in itertools.product(
            range(1, 60, 3), faults, freezes
        ):
            cell = (number, fault, frozen)
            platform = await _run({number: fault}, bad_from_s=1e9, frozen=frozen)
            self.assertIs(Phase.DONE, self._check(platform, cell).phase, cell)

    @async_test
    async def test_late_fault_is_taken_back_with_every_fault(self) -> None:
        for bad_from_s, fault in itertools.product((0, 10, 30, 44), ("", "lost_after")):
            faults = dict.fromkeys(range(1, 400, 5), fault)
            platform = await _run(faults, bad_from_s=bad_from_s, frozen=(1e9, 1e9))
            last = self._check(platform, bad_from_s)
            self.assertIs(Phase.ROLLED_BACK, last.phase, bad_from_s)
            self.assertIn("failures", last.history[-1].reason)

    @async_test
    async def test_abort_spreads_while_the_platform_is_down(self) -> None:
        clock = ManualClock(start=START)
        platform = _HistoryPlatform()
        candidate = _Candidate("one", platform, clock)
        state = rollout(phase=Phase.SHIFTING, share=0.25, step_at=START)
        candidate.records.put(Record(_KEY, 1, state.encode()))
        platform.down = True
        await candidate.tick(_BAD_ROW)
        self.assertEqual({"1": 1.0}, candidate.view.weights("desk"))

    @async_test
    async def test_end_is_told_at_least_once_under_every_fault(self) -> None:
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
            told: list[str] = []

            async def notify(ended: Rollout, told: list[str] = told) -> bool:
                told.append(ended.rollout_id)
                return len(told) > 1

            candidate = _Candidate("one", platform, clock, notify=notify)
            candidate.records.put(Record(_KEY, 1, ended.encode()))
            for _ in range(60):
                await candidate.tick(_GOOD_ROW)
                clock.advance(_TICK_S)
            self.assertGreaterEqual(len(told), 2, (number, fault))
            self.assertEqual({"desk-1"}, set(told))
            self.assertTrue(platform.states[-1].notified, (number, fault))


class StartTest(testtools.TestCase):
    """Operators who start and cancel."""

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
    async def test_impossible_deadline_is_refused_with_the_earliest(self) -> None:
        refused = await self._start(FakePlatform(), "op", deadline=START)
        self.assertIn("earliest time is 2026-01-01T00:00:10", refused.message)

    @async_test
    async def test_cancel_wins_over_the_owner_and_only_once(self) -> None:
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
