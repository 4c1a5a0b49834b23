"""Tests of what a node believes of the backend server beside it."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.gate.model import BackendServer
from burdockdock.node.announcements import Announcement, BackendState, BackendWatch

_PLACE = ("work", "10.0.0.9", 8080)


class _Gate:
    """Notes what the watch tells a gate."""

    def __init__(self) -> None:
        self.backend: BackendServer | None = None
        self.leaving = False

    def announce(self, backend: BackendServer) -> None:
        self.backend = backend

    def set_leaving(self, leaving: bool) -> None:
        self.leaving = leaving


def _announce(
    sequence: int,
    *,
    instance: str = "i-1",
    started_ms: int = 1000,
    state: BackendState = BackendState.READY,
    place: tuple[str, str, int] = _PLACE,
) -> Announcement:
    service, host, port = place
    backend = BackendServer(service, "v1", host, port, 6, instance_id=instance)
    return Announcement(backend, state, sequence, started_ms)


class BackendWatchTest(testtools.TestCase):
    """Tests of late, forged and repeated announcements."""

    def setUp(self) -> None:
        super().setUp()
        self._start_anew()

    def _start_anew(self, *, interval_s: float = 0.0) -> None:
        self.gate = _Gate()
        self.clock = ManualClock()
        self.cold_s: list[float | None] = []
        self.changes: list[dict] = []
        self.starts = 0
        self.watch = BackendWatch(
            gate=self.gate,
            clock=self.clock,
            change_own=lambda **told: self.changes.append(told),
            on_start=self._note_start,
            interval_s=interval_s,
            expected=_PLACE,
        )

    def _note_start(self, cold_s: float | None) -> None:
        self.starts += 1
        self.cold_s.append(cold_s)

    def _reason(self, announcement: Announcement) -> str:
        refusal = self.watch.take(announcement)
        return "" if refusal is None else refusal.reason

    def test_only_what_is_new_is_passed_on(self) -> None:
        for sequence in range(1, 4):
            self.assertEqual("", self._reason(_announce(sequence)))
        self.assertEqual((1, 1), (len(self.changes), self.starts))

    def test_a_late_message_does_not_bring_a_leaving_one_back(self) -> None:
        self.watch.take(_announce(1))
        self.watch.take(_announce(5, state=BackendState.DRAINING))
        self.assertEqual("late", self._reason(_announce(4)))
        self.assertTrue(self.gate.leaving)
        self.assertFalse(self.changes[-1]["ready"])

    def test_one_that_left_is_not_believed_any_more(self) -> None:
        self.watch.take(_announce(1))
        self.watch.leave("i-1")
        self.assertTrue(self.gate.leaving)
        self.assertEqual("gone", self._reason(_announce(9)))

    def test_the_leave_message_of_an_earlier_start_changes_nothing(self) -> None:
        self.watch.take(_announce(3))
        self.watch.take(_announce(1, started_ms=2000))
        self.watch.leave("i-1", 1000)
        self.assertFalse(self.gate.leaving)
        self.assertEqual("", self._reason(_announce(2, started_ms=2000)))
        self.watch.leave("i-1", 2000)
        self.assertTrue(self.gate.leaving)
        self.assertEqual("gone", self._reason(_announce(3, started_ms=2000)))

    def test_a_node_that_started_again_keeps_who_left_before_it_spoke(self) -> None:
        self.watch.leave("i-1", 1000)
        self.assertEqual("gone", self._reason(_announce(7)))
        self.assertEqual([], self.changes)
        self.assertEqual("", self._reason(_announce(1, started_ms=2000)))

    def test_a_late_message_of_a_start_that_nobody_told_is_not_believed(self) -> None:
        # The node started again between the leave message and a late announcement.
        self.watch.leave("i-1")
        born_ms = int(self.clock.now().timestamp() * 1000) - 10_000
        self.clock.advance(2.1)
        self.assertEqual("gone", self._reason(_announce(9, started_ms=born_ms)))

    def test_a_start_after_one_that_nobody_told_is_believed(self) -> None:
        self.watch.leave("i-1")
        self.clock.advance(2.0)
        born_ms = int(self.clock.now().timestamp() * 1000)
        self.assertEqual("", self._reason(_announce(1, started_ms=born_ms)))

    def test_a_clock_that_was_ahead_keeps_no_start_away_for_ever(self) -> None:
        self.watch.leave("i-1")
        born_ms = int(self.clock.now().timestamp() * 1000) - 3_000
        self.clock.advance(20.0)
        self.assertEqual("", self._reason(_announce(9, started_ms=born_ms)))

    def test_few_of_those_that_left_are_kept(self) -> None:
        for i in range(100):
            self.watch.leave(f"i-{i}", 1000)
        self.assertEqual("gone", self._reason(_announce(1, instance="i-99")))
        self.assertEqual("", self._reason(_announce(1, instance="i-0")))

    def test_another_one_that_leaves_changes_nothing(self) -> None:
        self.watch.take(_announce(1))
        self.watch.leave("i-0")
        self.assertFalse(self.gate.leaving)

    def test_the_same_id_may_start_again_and_count_anew(self) -> None:
        self.watch.take(_announce(8))
        self.watch.leave("i-1")
        self.assertEqual("", self._reason(_announce(1, started_ms=2000)))
        self.assertFalse(self.gate.leaving)
        self.assertEqual(2, self.starts)

    def test_an_earlier_start_at_the_same_address_is_not_believed(self) -> None:
        self.watch.take(_announce(1, instance="i-2", started_ms=2000))
        self.assertEqual("earlier_start", self._reason(_announce(7)))
        self.assertEqual("i-2", self.gate.backend.instance_id)

    def test_silence_is_counted_in_its_own_intervals(self) -> None:
        for interval_s, still_ready_after_s, gone_after_s in (
            (0.0, 3.9, 4.1),
            (0.9, 3.9, 4.1),
            (3.0, 8.9, 9.1),
        ):
            self._start_anew(interval_s=interval_s)
            self.watch.take(_announce(1))
            self.clock.advance(still_ready_after_s)
            self.watch.check_silence()
            self.assertEqual([True], [c["ready"] for c in self.changes])
            self.clock.advance(gone_after_s - still_ready_after_s)
            self.watch.check_silence()
            self.assertEqual(False, self.changes[-1]["ready"])
            self.watch.take(_announce(2))
            self.assertEqual(True, self.changes[-1]["ready"])

    def test_each_start_tells_how_long_it_is_slow(self) -> None:
        self.watch.take(_announce(1)._replace(cold_s=2.5))
        self.watch.take(_announce(2)._replace(cold_s=1.6))
        self.watch.take(_announce(1, started_ms=2000))
        self.assertEqual([2.5, None], self.cold_s)

    def test_another_service_or_address_is_not_believed(self) -> None:
        for place in (("other", "10.0.0.9", 8080), ("work", "10.0.0.8", 8080)):
            announcement = _announce(1, place=place)
            self.assertEqual("other_backend_server", self._reason(announcement))
        self.assertIsNone(self.gate.backend)

    def test_any_order_of_messages_ends_at_the_newest_state(self) -> None:
        messages = [
            _announce(1),
            _announce(2),
            _announce(3, state=BackendState.DRAINING),
            _announce(1, instance="i-2", started_ms=2000),
            _announce(2, instance="i-2", started_ms=2000),
        ]
        for seed in range(50):
            self._start_anew()
            for message in random.Random(seed).sample(messages, len(messages)):
                self.watch.take(message)
            self.assertEqual("i-2", self.gate.backend.instance_id, seed)
            self.assertFalse(self.gate.leaving, seed)
