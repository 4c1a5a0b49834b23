"""Tests of results that wait until their node is known to have reached the others."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.rollout.evidence import EvidenceKey, EvidenceRow
from burdockdock.rollout.evidence_queue import EvidenceQueue

_GATES = ("a", "b", "c")
_TICK_S = 0.25
_ROWS = {EvidenceKey("route", "class", "2"): EvidenceRow(1, 1, {})}


class EvidenceQueueTest(testtools.TestCase):
    """Tests with three gates, of which some fall silent."""

    def setUp(self) -> None:
        """Create a queue."""
        super().setUp()
        self.clock = ManualClock()
        self.queue = EvidenceQueue(self.clock)

    def _hear(self, gates: tuple[str, ...], duration_s: float) -> int:
        """Hear results from gates for some time; return how many count."""
        count = 0
        for _ in range(round(duration_s / _TICK_S)):
            for gate in gates:
                self.queue.put(gate, _ROWS)
            count += len(self.queue.take(_GATES))
            self.clock.advance(_TICK_S)
        return count

    def test_results_count_once_gates_were_heard_from_for_some_time(self) -> None:
        self.assertEqual(0, self._hear(_GATES, 3.0))
        self.assertEqual(3 * 8, self._hear(_GATES, 2.0))

    def test_results_of_a_node_that_hears_too_few_are_dropped(self) -> None:
        self._hear(_GATES, 5.0)
        self.assertEqual(0, self._hear(("a",), 10.0))
        self.assertFalse(self.queue.in_contact(_GATES))

    def test_results_from_behind_a_cut_are_dropped_after_it_too(self) -> None:
        self._hear(_GATES, 5.0)
        self._hear(("a",), 2.0)
        self.assertEqual(0, self._hear(_GATES, 3.0))
        self.assertTrue(self.queue.in_contact(_GATES))
        self.assertLess(0, self._hear(_GATES, 1.0))

    def test_results_count_while_few_gates_are_cut_off(self) -> None:
        self._hear(_GATES, 5.0)
        self.assertEqual(2 * 8, self._hear(("a", "b"), 2.0))
        self.assertTrue(self.queue.in_contact(_GATES))

    def test_empty_message_says_that_a_gate_is_in_touch(self) -> None:
        for _ in range(20):
            for gate in ("b", "c"):
                self.queue.put(gate, {})
            self.queue.put("a", _ROWS)
            self.clock.advance(_TICK_S)
        self.assertTrue(self.queue.in_contact(_GATES))
        self.assertNotEqual([], self.queue.take(_GATES))

    def test_one_gate_alone_is_never_in_contact(self) -> None:
        self.queue.put("a", _ROWS)
        self.assertFalse(self.queue.in_contact(("a",)))
