"""Tests of the calls that a planned stop would cut."""

import testtools

from burdockdock.coordination.shutdown import ShutdownLimit


class ShutdownLimitTest(testtools.TestCase):
    """Tests of a node that stops 3 s from the notice."""

    def setUp(self) -> None:
        """Create the limit."""
        super().setUp()
        self.limit = ShutdownLimit(whole_time_from_s=1.0, answer_by_s=3.0)

    def test_running_node_cuts_no_call(self) -> None:
        self.assertFalse(ShutdownLimit().would_cut(1e9, now_s=1e9))

    def test_calls_before_the_notice_arrived_are_taken(self) -> None:
        self.assertFalse(self.limit.would_cut(9.0, now_s=0.9))

    def test_later_calls_need_all_of_their_time(self) -> None:
        for time_left_s, now_s, is_cut in (
            (2.0, 1.0, False),
            (2.1, 1.0, True),
            (1.0, 2.5, True),
            (0.1, 4.0, True),
        ):
            would_cut = self.limit.would_cut(time_left_s, now_s=now_s)
            self.assertEqual(is_cut, would_cut, (time_left_s, now_s))

    def test_time_left_is_never_negative(self) -> None:
        self.assertEqual(
            (2.0, 0.0), (self.limit.time_left_s(1.0), self.limit.time_left_s(4.0))
        )
