"""Limits the requests to a backend server that is cold."""

from collections import deque

from burdockdock.clock import Clock

_WINDOW_S = 1.0
# Requests that may be sent without a pause between them. With one, a request that comes
# a moment before its time would find no room, and half of the rate would go unused.
_MAX_BURST = 2.0
# A server that may be cold is treated as cold until it says otherwise, for this time at
# most: announcements come about every 1.5 s, and may be some seconds late.
_MAX_SUSPICION_S = 6.0


class ColdLimiter:
    """Admits requests at an even rate while the backend server is cold.

    It counts the requests of the last second also while the server is warm. When it
    turns out to be cold, those that it has just got count, so that a late notice adds
    nothing to them.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._cold_until_s = float("-inf")
        self._suspected_until_s = float("-inf")
        self._assumed_cold_until_s = float("-inf")
        self._sent_at_s: deque[float] = deque()
        self._tokens = 0.0
        self._filled_at_s = float("-inf")

    @property
    def is_cold(self) -> bool:
        """Whether the server is cold as far as is known."""
        cold_until_s = max(self._cold_until_s, self._assumed_cold_until_s)
        return self._clock.monotonic() < cold_until_s

    @property
    def is_limiting(self) -> bool:
        """Whether the server is cold, or may have turned cold since it last said."""
        return self.is_cold or self._clock.monotonic() < self._suspected_until_s

    def record_announcement(self, cold_s: float) -> None:
        """Record what the server says, which ends any suspicion.

        :param cold_s: remaining seconds for which it is cold, 0 if it is warm.
        """
        self._cold_until_s = self._clock.monotonic() + cold_s
        self._assumed_cold_until_s = float("-inf")
        self.end_suspicion()

    def assume_cold(self, duration_s: float) -> None:
        """Treat the server as cold until it says otherwise.

        :param duration_s: seconds for which a server is cold at most.
        """
        self._assumed_cold_until_s = self._clock.monotonic() + duration_s

    def suspect_cold(self) -> None:
        """Limit the requests until the server says whether it is cold."""
        self._suspected_until_s = self._clock.monotonic() + _MAX_SUSPICION_S

    def end_suspicion(self) -> None:
        """End what :meth:`suspect_cold` began."""
        self._suspected_until_s = float("-inf")

    def has_room(self, rate_per_s: float) -> bool:
        """Return whether a request may be sent now.

        :param rate_per_s: requests per second that the cold server takes.
        """
        if not self.is_limiting:
            return True
        self._fill(rate_per_s)
        return self._tokens >= 1.0 and self.sent_in_window() < rate_per_s

    def take(self, rate_per_s: float) -> bool:
        """Count a request that is sent now, if there is room for it."""
        if not self.has_room(rate_per_s):
            return False
        now_s = self._clock.monotonic()
        if self.is_limiting:
            self._tokens -= 1.0
        else:
            self._tokens, self._filled_at_s = 0.0, now_s
        self._sent_at_s.append(now_s)
        self._forget_old(now_s)
        return True

    def sent_in_window(self) -> int:
        """Return how many requests were sent within the last second."""
        self._forget_old(self._clock.monotonic())
        return len(self._sent_at_s)

    def _fill(self, rate_per_s: float) -> None:
        now_s = self._clock.monotonic()
        passed_s = now_s - self._filled_at_s
        self._filled_at_s = now_s
        self._tokens = min(_MAX_BURST, self._tokens + passed_s * rate_per_s)

    def _forget_old(self, now_s: float) -> None:
        while self._sent_at_s and self._sent_at_s[0] <= now_s - _WINDOW_S:
            self._sent_at_s.popleft()
