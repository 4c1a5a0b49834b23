"""Tests of the bound for what a process holds for callers."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.proxy.memory_budget import MemoryAccount, MemoryBudget


class MemoryBudgetTest(testtools.TestCase):
    """Tests of who is shed, and of the sum."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.budget = MemoryBudget(limit_bytes=1000, clock=self.clock)
        self.shed: list[str] = []

    def _open(self, name: str, held_bytes: int) -> MemoryAccount:
        return self.budget.open(lambda: self.shed.append(name), held_bytes=held_bytes)

    def test_one_request_alone_is_never_shed(self) -> None:
        self._open("alone", 5000)
        self.assertEqual([], self.shed)

    def test_least_progress_is_shed_first(self) -> None:
        stalled, moving = self._open("stalled", 400), self._open("moving", 400)
        self.clock.advance(1.0)
        moving.move(1 << 20)
        self._open("new", 400)
        self.assertEqual(["stalled"], self.shed)
        self.assertEqual((0, 800), (stalled.held_bytes, self.budget.held_bytes))

    def test_a_trickle_is_no_progress(self) -> None:
        """Guards against callers that send a byte now and then to be kept."""
        trickling, moving = self._open("trickling", 400), self._open("moving", 400)
        self.clock.advance(1.0)
        moving.move(1 << 20)
        trickling.move(1)
        self._open("new", 400)
        self.assertEqual(["trickling"], self.shed)

    def test_whole_requests_are_shed_after_unfinished_ones(self) -> None:
        self._open("whole", 400).whole = True
        self.clock.advance(1.0)
        self._open("unfinished", 400)
        self.clock.advance(1.0)
        self._open("new", 400)
        self.assertEqual(["unfinished"], self.shed)

    def test_a_small_request_is_spared(self) -> None:
        """Guards against shedding an ordinary request that waits for its answer."""
        self._open("small", 20)
        self.clock.advance(1.0)
        self._open("large", 600)
        self.clock.advance(1.0)
        self._open("new", 600)
        self.assertEqual(["large"], self.shed)

    def test_closed_accounts_hold_nothing(self) -> None:
        account = self._open("a", 300)
        account.close()
        account.hold(700)
        account.close()
        self.assertEqual(0, self.budget.held_bytes)
