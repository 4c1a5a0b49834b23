"""Tests of how long other nodes are expected to take to answer at once."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.proxy.reply_times import ReplyTimes


class ReplyTimesTest(testtools.TestCase):
    """Tests of one node's expected time."""

    def setUp(self) -> None:
        """Make an empty table."""
        super().setUp()
        self.clock = ManualClock()
        self.times = ReplyTimes(clock=self.clock)

    def test_nothing_is_expected_of_a_node_never_asked(self) -> None:
        self.assertEqual(0.0, self.times.expected_s("a"))

    def test_a_longer_time_counts_at_once_and_a_shorter_in_part(self) -> None:
        self.times.record("a", 0.1)
        self.times.record("a", 0.4)
        self.assertAlmostEqual(0.4, self.times.expected_s("a"))
        self.times.record("a", 0.0)
        self.assertAlmostEqual(0.2, self.times.expected_s("a"))

    def test_it_is_no_more_than_an_answer_took(self) -> None:
        self.times.record("a", 0.4)
        self.times.bound("a", 0.5)
        self.assertAlmostEqual(0.4, self.times.expected_s("a"))
        self.times.bound("a", 0.05)
        self.assertAlmostEqual(0.05, self.times.expected_s("a"))

    def test_it_is_forgotten_when_nothing_new_is_heard(self) -> None:
        self.times.record("a", 0.4)
        self.clock.advance(0.5)
        self.assertAlmostEqual(0.2, self.times.expected_s("a"))
        self.clock.advance(10.0)
        self.assertEqual(0.0, self.times.expected_s("a"))
        self.assertEqual({}, self.times._replies)
