"""Tests of the limit of requests to a cold backend server."""

import math
from itertools import pairwise

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.clock import ManualClock
from burdockdock.coordination.cold_limiter import ColdLimiter

_RATE_PER_S = 8.5
_STEP_S = 0.01
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(("try", "try", "try", "cold", "warm", "assume", "suspect")),
        st.floats(0.0, 0.4),
    ),
    min_size=20,
    max_size=200,
)


class ColdLimiterTest(testtools.TestCase):
    """Tests of the rate, and of notices that come late."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.limiter = ColdLimiter(clock=self.clock)

    def _send(self, duration_s: float, *, step_s: float = _STEP_S) -> list[float]:
        """Try to send at each step; return the times at which a request was sent."""
        sent_at_s = []
        for _ in range(round(duration_s / step_s)):
            self.clock.advance(step_s)
            if self.limiter.take(_RATE_PER_S):
                sent_at_s.append(self.clock.monotonic())
        return sent_at_s

    def test_warm_server_has_no_limit(self) -> None:
        self.assertEqual(100, len(self._send(1.0)))
        self.limiter.record_announcement(0.0)
        self.assertEqual(100, len(self._send(1.0)))
        self.assertFalse(self.limiter.is_limiting)

    def test_cold_server_gets_its_rate_evenly(self) -> None:
        self.limiter.record_announcement(60.0)
        sent_at_s = self._send(20.0)
        self.assertAlmostEqual(20.0 * _RATE_PER_S, len(sent_at_s), delta=3)
        self.assertLessEqual(_most_in_a_second(sent_at_s), math.ceil(_RATE_PER_S))
        gaps_s = [after - before for before, after in pairwise(sent_at_s[2:])]
        self.assertGreater(min(gaps_s), 0.4 / _RATE_PER_S)
        self.assertLess(max(gaps_s), 2.0 / _RATE_PER_S)

    def test_notice_after_a_second_of_full_load(self) -> None:
        # Guards against a server that gets its cold rate on top of what it just got.
        self._send(1.0)
        self.limiter.record_announcement(60.0)
        self.assertEqual([], self._send(0.9))
        self.assertGreater(len(self._send(1.0)), 4)

    def test_coldness_ends_by_time_and_by_an_announcement(self) -> None:
        self.limiter.record_announcement(2.0)
        self.clock.advance(1.9)
        self.assertTrue(self.limiter.is_cold)
        self.clock.advance(0.2)
        self.assertFalse(self.limiter.is_limiting)
        self.limiter.record_announcement(2.0)
        self.limiter.record_announcement(0.0)
        self.assertFalse(self.limiter.is_limiting)

    def test_server_assumed_cold_is_cold_until_it_says_otherwise(self) -> None:
        self.limiter.record_announcement(0.0)
        self.limiter.assume_cold(3.0)
        self.assertTrue(self.limiter.is_cold)
        self.limiter.record_announcement(0.0)
        self.assertFalse(self.limiter.is_cold)
        self.limiter.assume_cold(3.0)
        self.clock.advance(3.1)
        self.assertFalse(self.limiter.is_cold)

    def test_suspicion_limits_until_the_next_announcement(self) -> None:
        self.limiter.suspect_cold()
        self.assertEqual(
            (True, False), (self.limiter.is_limiting, self.limiter.is_cold)
        )
        self.assertLessEqual(len(self._send(1.0)), 9)
        self.limiter.record_announcement(0.0)
        self.assertEqual(100, len(self._send(1.0)))

    def test_suspicion_ends_if_the_server_says_nothing(self) -> None:
        self.limiter.suspect_cold()
        self.clock.advance(6.1)
        self.assertFalse(self.limiter.is_limiting)

    def test_rate_below_one(self) -> None:
        self.limiter.record_announcement(99.0)
        sent = [self.limiter.take(0.5)]
        for _ in range(40):
            self.clock.advance(0.5)
            sent.append(self.limiter.take(0.5))
        self.assertLessEqual(abs(sum(sent) - 11), 1)

    @given(_STEPS)
    def test_second_with_a_limited_request_is_never_over_the_rate(
        self, steps: list[tuple[str, float]]
    ) -> None:
        """Guard against any mixture of times at which coldness is noticed."""
        clock = ManualClock()
        limiter = ColdLimiter(clock=clock)
        sent: list[tuple[float, bool]] = []
        for action, wait_s in steps:
            clock.advance(wait_s / 8)
            if action == "try":
                limiting = limiter.is_limiting
                if limiter.take(_RATE_PER_S):
                    sent.append((clock.monotonic(), limiting))
            elif action in ("cold", "warm"):
                limiter.record_announcement(wait_s * 10 if action == "cold" else 0.0)
            elif action == "assume":
                limiter.assume_cold(wait_s * 10)
            else:
                limiter.suspect_cold()
        for at_s, limited in sent:
            if limited:
                count = sum(at_s - 1.0 < t <= at_s for t, _ in sent)
                self.assertLessEqual(count, math.ceil(_RATE_PER_S))


def _most_in_a_second(times_s: list[float]) -> int:
    """Return the largest number of times within any second."""
    return max(sum(start <= t < start + 1.0 for t in times_s) for start in times_s)
