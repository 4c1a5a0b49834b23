"""Tests of the memory of requests that were sent."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.gate.sent_requests import SentRequests

_KEPT_S = 10.0


class SentRequestsTest(testtools.TestCase):
    """Tests of what is remembered, and for how long."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.sent = SentRequests(clock=self.clock, kept_s=_KEPT_S)

    def test_only_the_second_sending_was_sent_before(self) -> None:
        self.assertFalse(self.sent.add("id-1"))
        self.assertTrue(self.sent.add("id-1"))
        self.assertFalse(self.sent.add("id-2"))

    def test_ids_are_kept_long_enough_whenever_they_come(self) -> None:
        for start_s in range(0, 25):
            request_id = f"id-{start_s}"
            sent = SentRequests(clock=self.clock, kept_s=_KEPT_S)
            self.clock.advance(float(start_s))
            sent.add(request_id)
            for _ in range(9):
                self.clock.advance(1.0)
                sent.add("other")
            self.assertTrue(sent.add(request_id), start_s)

    def test_old_ids_are_forgotten(self) -> None:
        for number in range(1000):
            self.sent.add(f"id-{number}")
            self.clock.advance(1.0)
        self.assertFalse(self.sent.add("id-0"))
        self.assertLessEqual(
            len(self.sent._recent) + len(self.sent._older), 2 * _KEPT_S + 2
        )

    def test_all_is_forgotten_after_a_pause(self) -> None:
        self.sent.add("id-1")
        self.clock.advance(2 * _KEPT_S)
        self.assertFalse(self.sent.add("id-1"))
