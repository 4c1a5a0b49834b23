"""Tests of asking gates for a free slot while a service is saturated.

Every gate of the service is full, and calls arrive faster than they are served. Without
an estimate of the odds, each refused call asks up to six gates.
"""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.free_slots import MAX_FREE_SLOT_ATTEMPTS, FreeSlotOdds
from tests.proxy.test_forwarder import FakeLink, ForwarderFixture
from tests.support import async_test

_QUEUE_FULL = Failure(Verdict.NOT_RUN, "queue_full")
_TOO_LATE = Failure(Verdict.NOT_RUN, "too_late_to_wait")
_CALLS = 100
_MAX_ATTEMPTS_PER_REFUSED_CALL = 2.0


class _SaturatedLink(FakeLink):
    """A gate whose slots are full and whose queue ends in refusals."""

    def start(self, request: object) -> object:
        """Refuse the call, at once or after it has queued."""
        self.result = _TOO_LATE if request.queue_length else _QUEUE_FULL
        return super().start(request)


class SaturationTest(testtools.TestCase):
    """Tests of the number of attempts per refused call."""

    def _saturated(
        self, link_type: type[FakeLink] = _SaturatedLink
    ) -> tuple[ForwarderFixture, list[FakeLink]]:
        links = [link_type(name, _QUEUE_FULL) for name in "abcdefgh"]
        named = {link.peer.node_id: link for link in links}
        return ForwarderFixture(named, ManualClock()), links

    async def _attempts_per_call(self, link_type: type[FakeLink]) -> float:
        fixture, links = self._saturated(link_type)
        # The odds are not known yet.
        for _ in range(10):
            await fixture.call()
        before = sum(len(link.sent) for link in links)
        for _ in range(_CALLS):
            failure = await fixture.call()
            self.assertIs(Verdict.NOT_RUN, failure.verdict)
        return (sum(len(link.sent) for link in links) - before) / _CALLS

    @async_test
    async def test_refused_calls_ask_few_gates(self) -> None:
        attempts = await self._attempts_per_call(_SaturatedLink)
        self.assertTrue(attempts <= _MAX_ATTEMPTS_PER_REFUSED_CALL, attempts)

    @async_test
    async def test_calls_that_find_full_queues_ask_few_gates(self) -> None:
        attempts = await self._attempts_per_call(FakeLink)
        self.assertTrue(attempts <= _MAX_ATTEMPTS_PER_REFUSED_CALL, attempts)

    @async_test
    async def test_free_slots_are_looked_for_again_soon(self) -> None:
        fixture, links = self._saturated()
        for _ in range(_CALLS):
            await fixture.call()
        fixture.clock.advance(1.0)
        for link in links:
            link.sent.clear()
        await fixture.call()
        asked = [r for link in links for r in link.sent if not r.queue_length]
        self.assertTrue(len(asked) >= MAX_FREE_SLOT_ATTEMPTS, asked)


class FreeSlotOddsTest(testtools.TestCase):
    """Tests of the estimate."""

    def test_services_are_apart(self) -> None:
        odds = FreeSlotOdds(clock=ManualClock())
        for _ in range(20):
            odds.record("full", found=False)
        self.assertFalse(odds.is_worth_asking("full"))
        self.assertTrue(odds.is_worth_asking("other"))

    def test_a_service_with_some_free_gates_is_worth_asking(self) -> None:
        odds = FreeSlotOdds(clock=ManualClock())
        for number in range(60):
            odds.record("work", found=number % 3 == 0)
            if number > 20:
                self.assertTrue(odds.is_worth_asking("work"), number)
