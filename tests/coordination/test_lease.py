"""Tests of leases under pauses, outages and lost responses."""

import itertools

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.lease import Lease
from tests.support import FakePlatform, async_test

_TERM_S = 6.0


class LeaseTest(testtools.TestCase):
    """Tests of one lease with two candidates."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.platform = FakePlatform()
        self.first = self._candidate("first")
        self.second = self._candidate("second")

    def _candidate(self, holder: str, clock: ManualClock | None = None) -> Lease:
        return Lease(
            self.platform,
            "leases/x",
            holder=holder,
            clock=clock or self.clock,
            term_s=_TERM_S,
        )

    @async_test
    async def test_one_holder_until_it_stops_renewing(self) -> None:
        self.assertTrue(await self.first.maintain())
        self.assertFalse(await self.second.maintain())
        self.clock.advance(_TERM_S / 2)
        self.assertTrue(await self.first.maintain())
        self.clock.advance(_TERM_S / 2 + 0.1)
        self.assertFalse(await self.second.maintain())
        self.clock.advance(_TERM_S + 0.1)
        self.assertTrue(await self.second.maintain())
        self.assertFalse(self.first.is_held())
        self.assertGreater(self.second.epoch, self.first.epoch)

    @async_test
    async def test_paused_holder_resumes_without_the_lease(self) -> None:
        await self.first.maintain()
        await self.second.maintain()
        self.clock.advance(_TERM_S + 1)
        self.assertTrue(await self.second.maintain())
        self.assertFalse(self.first.is_held())
        self.assertFalse(await self.first.maintain())
        self.assertTrue(self.second.is_held())

    @async_test
    async def test_outage_ends_the_lease_at_its_term(self) -> None:
        await self.first.maintain()
        self.platform.down = True
        self.clock.advance(_TERM_S - 0.1)
        self.assertTrue(await self.first.maintain())
        self.clock.advance(0.2)
        self.assertFalse(await self.first.maintain())

    @async_test
    async def test_renewal_with_lost_response_does_not_extend_the_term(self) -> None:
        await self.first.maintain()
        self.platform.faults[2] = "lost_after"
        self.clock.advance(2)
        await self.first.maintain()
        self.assertTrue(await self.first.maintain())
        self.clock.advance(_TERM_S - 2 + 0.1)
        self.assertFalse(self.first.is_held())

    @async_test
    async def test_release_frees_the_lease_at_once(self) -> None:
        await self.first.maintain()
        await self.first.release()
        self.assertTrue(await self.second.maintain())

    @async_test
    async def test_never_two_holders_under_any_fault_at_any_write(self) -> None:
        """Inject each fault into each of the first writes, with and without a pause."""
        faults = ("lost_before", "lost_after")
        cases = itertools.product(range(1, 9), faults, (0.5, _TERM_S + 1))
        for faulty_write, fault, pause_s in cases:
            clock = ManualClock()
            self.platform = FakePlatform({faulty_write: fault})
            candidates = [self._candidate(name, clock) for name in ("first", "second")]
            for step in range(40):
                await candidates[step % 2].maintain()
                held = [lease for lease in candidates if lease.is_held()]
                self.assertLessEqual(len(held), 1, (faulty_write, fault, pause_s, step))
                clock.advance(pause_s if step == 5 else 1.0)
            self.assertTrue(any(lease.is_held() for lease in candidates))


class StoreReturnTest(testtools.TestCase):
    """Tests of a lease that a store lost when it returned from an older copy."""

    @async_test
    async def test_lost_lease_is_taken_only_after_a_term_with_a_new_epoch(self) -> None:
        # Guards against two holders, and against an epoch that is used twice.
        clock = ManualClock()
        platform = FakePlatform()
        first, second = (
            Lease(platform, "leases/x", holder=name, clock=clock, term_s=_TERM_S)
            for name in ("first", "second")
        )
        await first.maintain()
        platform.objects.clear()
        second.lose()
        second.raise_epoch(first.epoch)
        self.assertFalse(await second.maintain())
        first.lose()
        self.assertFalse(first.is_held())
        clock.advance(_TERM_S + 0.1)
        self.assertTrue(await second.maintain())
        self.assertFalse(await first.maintain())
        self.assertGreater(second.epoch, first.epoch)

    def _candidates(self, platform: FakePlatform, clock: ManualClock) -> list[Lease]:
        return [
            Lease(platform, "leases/x", holder=name, clock=clock, term_s=_TERM_S)
            for name in ("first", "second")
        ]

    @async_test
    async def test_holder_that_the_copy_names_goes_on(self) -> None:
        # Guards against a rollout that nobody judges for two terms after a return.
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        await first.maintain()
        await second.maintain()
        clock.advance(1.0)
        for lease in (first, second):
            lease.lose()
        self.assertFalse(first.is_held())
        self.assertTrue(await first.maintain())
        self.assertEqual(1, first.epoch)
        clock.advance(_TERM_S - 0.1)
        self.assertFalse(await second.maintain())

    @async_test
    async def test_former_holder_that_the_copy_names_has_to_wait(self) -> None:
        # Guards against two holders: another one took the lease after the copy.
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        await first.maintain()
        copy = dict(platform.objects)
        clock.advance(_TERM_S - 1.0)
        await second.maintain()
        clock.advance(_TERM_S + 0.1)
        self.assertTrue(await second.maintain())
        platform.objects = copy
        first.lose()
        self.assertFalse(await first.maintain())
        self.assertTrue(second.is_held())

    @async_test
    async def test_holder_that_saw_another_one_has_to_wait(self) -> None:
        # Guards against two holders: a later copy may name the earlier holder again.
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        platform.era.accept("1")
        await first.maintain()
        copy = dict(platform.objects)
        platform.objects = {}
        platform.era.accept("2")
        first.lose()
        self.assertFalse(await first.maintain())
        self.assertTrue(await second.maintain())
        platform.objects = copy
        platform.era.accept("3")
        self.assertFalse(await first.maintain())
        self.assertTrue(second.is_held())

    @async_test
    async def test_holder_whose_lease_was_taken_after_the_return(self) -> None:
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        await first.maintain()
        platform.objects.clear()
        second.lose()
        clock.advance(_TERM_S + 0.1)
        self.assertTrue(await second.maintain())
        first.lose()
        self.assertFalse(await first.maintain())

    @async_test
    async def test_version_that_was_seen_in_an_earlier_era_tells_nothing(self) -> None:
        # Guards against two holders: the copy has the version that a candidate saw.
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        platform.era.accept("1")
        await first.maintain()
        await second.maintain()
        copy = dict(platform.objects)
        clock.advance(_TERM_S - 0.1)
        await first.maintain()
        clock.advance(0.2)
        platform.objects = copy
        platform.era.accept("2")
        self.assertFalse(await second.maintain())
        self.assertTrue(first.is_held())

    @async_test
    async def test_lease_of_a_holder_that_is_gone_is_taken_after_one_term(self) -> None:
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        await first.maintain()
        second.lose()
        self.assertFalse(await second.maintain())
        clock.advance(_TERM_S + 0.1)
        self.assertTrue(await second.maintain())

    @async_test
    async def test_candidate_that_first_reads_after_the_return_waits_too(self) -> None:
        # Guards against two holders: a read tells of the return before its owner does.
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        platform.era.accept("1")
        await first.maintain()
        await second.maintain()
        platform.objects.clear()
        platform.era.accept("2")
        self.assertFalse(await second.maintain())
        self.assertTrue(first.is_held())

    @async_test
    async def test_free_lease_of_a_lower_epoch_than_was_used_is_observed(self) -> None:
        # Guards against two holders: the candidate started after the return.
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        await first.maintain()
        platform.objects.clear()
        second.raise_epoch(first.epoch)
        self.assertFalse(await second.maintain())
        clock.advance(_TERM_S + 0.1)
        self.assertTrue(await second.maintain())
        self.assertEqual(2, second.epoch)

    @async_test
    async def test_holder_that_released_between_two_returns_has_to_wait(self) -> None:
        # Guards against two holders: what the first return left open counts no more.
        clock, platform = ManualClock(), FakePlatform()
        first, second = self._candidates(platform, clock)
        platform.era.accept("1")
        await first.maintain()
        platform.era.accept("2")
        first.lose()
        self.assertTrue(await first.maintain())
        copy = dict(platform.objects)
        await first.release()
        self.assertTrue(await second.maintain())
        platform.objects = copy
        platform.era.accept("3")
        self.assertFalse(await first.maintain())
        self.assertTrue(second.is_held())
