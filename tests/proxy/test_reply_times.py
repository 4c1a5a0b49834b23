"""Tests of the estimated round-trip times to other nodes."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.proxy.reply_times import ReplyTimes


class ReplyTimesTest(testtools.TestCase):
    """Tests of the estimate for one node."""

    def setUp(self) -> None:
        """Create empty estimates with a manual clock."""
        super().setUp()
        self.clock = ManualClock()
        self.reply_times = ReplyTimes(clock=self.clock)

    def test_estimate_for_unknown_node_is_zero(self) -> None:
        self.assertEqual(0.0, self.reply_times.expected_s("a"))

    def test_longer_time_replaces_estimate_and_shorter_lowers_it_in_part(self) -> None:
        self.reply_times.record("a", 0.1)
        self.reply_times.record("a", 0.4)
        self.assertAlmostEqual(0.4, self.reply_times.expected_s("a"))
        self.reply_times.record("a", 0.0)
        self.assertAlmostEqual(0.2, self.reply_times.expected_s("a"))

    def test_bound_limits_estimate(self) -> None:
        self.reply_times.record("a", 0.4)
        self.reply_times.bound("a", 0.5)
        self.assertAlmostEqual(0.4, self.reply_times.expected_s("a"))
        self.reply_times.bound("a", 0.05)
        self.assertAlmostEqual(0.05, self.reply_times.expected_s("a"))

    def test_estimate_decays_and_is_dropped(self) -> None:
        self.reply_times.record("a", 0.4)
        self.clock.advance(0.5)
        self.assertAlmostEqual(0.2, self.reply_times.expected_s("a"))
        self.clock.advance(10.0)
        self.assertEqual(0.0, self.reply_times.expected_s("a"))
        self.assertEqual({}, self.reply_times._estimates)
