"""Tests of announcements by the local backend server."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.gate.model import BackendServer
from burdockdock.node.announcements import Announcement, BackendState, BackendWatch
from burdockdock.node.departures import Departures

_BACKEND_ADDRESS = ("work", "10.0.0.9", 8080)


class _RecordingGate:
    """Records the calls that the watch makes to a gate."""

    def __init__(self) -> None:
        self.backend: BackendServer | None = None
        self.leaving = False
        self.is_cold = False

    def announce_cold(self, cold_s: float | None, *, new_start: bool) -> None:
        self.is_cold = bool(cold_s)

    def announce(self, backend: BackendServer) -> None:
        self.backend = backend

    def set_leaving(self, leaving: bool) -> None:
        self.leaving = leaving


def _announcement(
    sequence: int,
    *,
    instance: str = "i-1",
    started_ms: int = 1000,
    state: BackendState = BackendState.READY,
    address: tuple[str, str, int] = _BACKEND_ADDRESS,
) -> Announcement:
    service, host, port = address
    backend = BackendServer(service, "v1", host, port, 6, instance_id=instance)
    return Announcement(backend, state, sequence, started_ms)


class BackendWatchTest(testtools.TestCase):
    """Tests of late, forged and repeated announcements, departures and silence."""

    def setUp(self) -> None:
        super().setUp()
        self._create_watch()

    def _create_watch(
        self, *, interval_s: float = 0.0, history_known: bool = True
    ) -> None:
        self.gate = _RecordingGate()
        self.clock = ManualClock()
        self.departures = Departures(clock=self.clock)
        self.cold_s: list[float | None] = []
        self.changes: list[dict] = []
        self.start_count = 0
        self.watch = BackendWatch(
            gate=self.gate,
            clock=self.clock,
            change_own=lambda **changes: self.changes.append(changes),
            on_start=self._record_start,
            interval_s=interval_s,
            expected=_BACKEND_ADDRESS,
            departures=self.departures,
            history_known=history_known,
        )

    def _record_start(self, cold_s: float | None) -> None:
        self.start_count += 1
        self.cold_s.append(cold_s)

    def _refusal_reason(self, announcement: Announcement) -> str:
        refusal = self.watch.handle_announcement(announcement)
        return "" if refusal is None else refusal.reason

    def test_coldness_is_published_until_it_ends(self) -> None:
        # Guards against members that others take for cold, or for warm, for too long.
        self._refusal_reason(_announcement(1)._replace(cold_s=5.0))
        self.assertIs(True, self.changes[-1]["cold"])
        self.watch.check_cold()
        self.assertEqual(1, len(self.changes))
        self.gate.is_cold = False
        self.watch.check_cold()
        self.assertEqual({"cold": False}, self.changes[-1])
        self._refusal_reason(_announcement(2)._replace(cold_s=4.0))
        self.assertIs(True, self.changes[-1]["cold"])

    def test_coldness_is_not_published_before_the_first_announcement(self) -> None:
        self.gate.is_cold = True
        self.watch.check_cold()
        self.assertEqual([], self.changes)

    def test_unchanged_announcements_are_published_once(self) -> None:
        for sequence in range(1, 4):
            self.assertEqual("", self._refusal_reason(_announcement(sequence)))
        self.assertEqual((1, 1), (len(self.changes), self.start_count))

    def test_late_announcement_does_not_make_a_draining_instance_ready(self) -> None:
        self.watch.handle_announcement(_announcement(1))
        self.watch.handle_announcement(_announcement(5, state=BackendState.DRAINING))
        self.assertEqual("late", self._refusal_reason(_announcement(4)))
        self.assertTrue(self.gate.leaving)
        self.assertFalse(self.changes[-1]["ready"])

    def test_announcement_after_departure_is_refused(self) -> None:
        self.watch.handle_announcement(_announcement(1))
        self.watch.handle_departure("i-1")
        self.assertTrue(self.gate.leaving)
        self.assertEqual("gone", self._refusal_reason(_announcement(9)))

    def test_departure_of_an_earlier_start_is_ignored(self) -> None:
        self.watch.handle_announcement(_announcement(3))
        self.watch.handle_announcement(_announcement(1, started_ms=2000))
        self.watch.handle_departure("i-1", 1000)
        self.assertFalse(self.gate.leaving)
        self.assertEqual("", self._refusal_reason(_announcement(2, started_ms=2000)))
        self.watch.handle_departure("i-1", 2000)
        self.assertTrue(self.gate.leaving)
        self.assertEqual(
            "gone", self._refusal_reason(_announcement(3, started_ms=2000))
        )

    def test_departure_before_the_first_announcement_is_kept(self) -> None:
        self.watch.handle_departure("i-1", 1000)
        self.assertEqual("gone", self._refusal_reason(_announcement(7)))
        self.assertEqual([], self.changes)
        self.assertEqual("", self._refusal_reason(_announcement(1, started_ms=2000)))

    def test_late_announcement_after_departure_of_unknown_start_is_refused(
        self,
    ) -> None:
        # The node restarted between the departure and a late announcement.
        self.watch.handle_departure("i-1")
        started_ms = int(self.clock.now().timestamp() * 1000) - 10_000
        self.clock.advance(2.1)
        self.assertEqual(
            "gone", self._refusal_reason(_announcement(9, started_ms=started_ms))
        )

    def test_new_start_after_departure_of_unknown_start_is_accepted(self) -> None:
        self.watch.handle_departure("i-1")
        self.clock.advance(2.0)
        started_ms = int(self.clock.now().timestamp() * 1000)
        self.assertEqual(
            "", self._refusal_reason(_announcement(1, started_ms=started_ms))
        )

    def test_fast_local_clock_does_not_refuse_a_start_forever(self) -> None:
        self.watch.handle_departure("i-1")
        started_ms = int(self.clock.now().timestamp() * 1000) - 3_000
        self.clock.advance(20.0)
        self.assertEqual(
            "", self._refusal_reason(_announcement(9, started_ms=started_ms))
        )

    def test_only_the_latest_departures_are_kept(self) -> None:
        for i in range(100):
            self.watch.handle_departure(f"i-{i}", 1000)
        self.assertEqual(
            "gone", self._refusal_reason(_announcement(1, instance="i-99"))
        )
        self.assertEqual("", self._refusal_reason(_announcement(1, instance="i-0")))

    def test_ready_instance_waits_for_the_departures_of_earlier_processes(self) -> None:
        self._create_watch(history_known=False)
        self.watch.handle_announcement(_announcement(2))
        self.clock.advance(1.5)
        self.watch.handle_announcement(_announcement(3))
        self.assertEqual([], self.changes)
        self.watch.history_known()
        self.assertEqual([True], [c["ready"] for c in self.changes])

    def test_instance_that_left_before_the_node_started_stays_out(self) -> None:
        # Guards against a late message that puts an instance to use again.
        self._create_watch(history_known=False)
        self.watch.handle_announcement(_announcement(2))
        self.departures.record_gone("i-1", 1000)
        self.watch.history_known()
        self.assertEqual([], self.changes)

    def test_leaving_instance_does_not_wait_for_earlier_departures(self) -> None:
        self._create_watch(history_known=False)
        draining = _announcement(2, state=BackendState.DRAINING)
        self.watch.handle_announcement(draining)
        self.assertTrue(self.gate.leaving)

    def test_second_message_confirms_an_instance_while_departures_are_unreadable(
        self,
    ) -> None:
        self._create_watch(history_known=False)
        self.watch.history_unreadable()
        for advance_s, sequence, ready in (
            (0.0, 2, []),
            (0.1, 4, []),
            (1.0, 3, []),
            (0.1, 5, [True]),
        ):
            self.clock.advance(advance_s)
            self.watch.handle_announcement(_announcement(sequence))
            self.assertEqual(ready, [c["ready"] for c in self.changes], sequence)
        self.departures.record_gone("i-1", 1000)
        self.watch.history_known()
        self.assertFalse(self.changes[-1]["ready"])

    def test_departure_of_another_instance_is_ignored(self) -> None:
        self.watch.handle_announcement(_announcement(1))
        self.watch.handle_departure("i-0")
        self.assertFalse(self.gate.leaving)

    def test_restarted_instance_may_reset_its_sequence(self) -> None:
        self.watch.handle_announcement(_announcement(8))
        self.watch.handle_departure("i-1")
        self.assertEqual("", self._refusal_reason(_announcement(1, started_ms=2000)))
        self.assertFalse(self.gate.leaving)
        self.assertEqual(2, self.start_count)

    def test_announcement_of_an_earlier_start_is_refused(self) -> None:
        self.watch.handle_announcement(
            _announcement(1, instance="i-2", started_ms=2000)
        )
        self.assertEqual("earlier_start", self._refusal_reason(_announcement(7)))
        self.assertEqual("i-2", self.gate.backend.instance_id)

    def test_silence_timeout_depends_on_the_announcement_interval(self) -> None:
        for interval_s, ready_until_s, silent_after_s in (
            (0.0, 3.9, 4.1),
            (0.9, 3.9, 4.1),
            (3.0, 8.9, 9.1),
        ):
            self._create_watch(interval_s=interval_s)
            self.watch.handle_announcement(_announcement(1))
            self.clock.advance(ready_until_s)
            self.watch.check_silence()
            self.assertEqual([True], [c["ready"] for c in self.changes])
            self.clock.advance(silent_after_s - ready_until_s)
            self.watch.check_silence()
            self.assertEqual(False, self.changes[-1]["ready"])
            self.watch.handle_announcement(_announcement(2))
            self.assertEqual(True, self.changes[-1]["ready"])

    def test_each_start_reports_its_warm_up_time(self) -> None:
        self.watch.handle_announcement(_announcement(1)._replace(cold_s=2.5))
        self.watch.handle_announcement(_announcement(2)._replace(cold_s=1.6))
        self.watch.handle_announcement(_announcement(1, started_ms=2000))
        self.assertEqual([2.5, None], self.cold_s)

    def test_other_service_or_address_is_refused(self) -> None:
        for address in (("other", "10.0.0.9", 8080), ("work", "10.0.0.8", 8080)):
            announcement = _announcement(1, address=address)
            self.assertEqual("other_backend_server", self._refusal_reason(announcement))
        self.assertIsNone(self.gate.backend)

    def test_announcements_in_any_order_lead_to_the_newest_state(self) -> None:
        messages = [
            _announcement(1),
            _announcement(2),
            _announcement(3, state=BackendState.DRAINING),
            _announcement(1, instance="i-2", started_ms=2000),
            _announcement(2, instance="i-2", started_ms=2000),
        ]
        for seed in range(50):
            self._create_watch()
            for message in random.Random(seed).sample(messages, len(messages)):
                self.watch.handle_announcement(message)
            self.assertEqual("i-2", self.gate.backend.instance_id, seed)
            self.assertFalse(self.gate.leaving, seed)
