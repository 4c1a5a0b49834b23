"""Tells which calls the planned stop of a node would cut."""

from typing import NamedTuple


class ShutdownLimit(NamedTuple):
    """When a node stops, in monotonic seconds; by default it doesn't.

    :param whole_time_from_s: time from which a call is refused unless all of its time
        passes before the stop. Earlier calls may be shortened, since most of them end
        long before.
    :param answer_by_s: time by which calls must be answered.
    """

    whole_time_from_s: float = float("inf")
    answer_by_s: float = float("inf")

    def time_left_s(self, now_s: float) -> float:
        """Return the seconds in which calls must be answered."""
        return max(0.0, self.answer_by_s - now_s)

    def would_cut(self, call_time_left_s: float, *, now_s: float) -> bool:
        """Return whether a call that arrives now must be refused.

        :param call_time_left_s: seconds until the call's deadline.
        """
        is_longer = call_time_left_s > self.time_left_s(now_s)
        return is_longer and now_s >= self.whole_time_from_s
