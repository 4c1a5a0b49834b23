"""Counts callers that are shed, and logs them in a bounded number of lines."""

from burdockdock.clock import Clock
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics

_LINE_INTERVAL_S = 1.0


class ShedLog:
    """Counts each caller that is shed; logs one line a second for each reason."""

    def __init__(self, *, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._next_line_s: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def note(self, reason: str) -> None:
        """Count a caller; ``count`` of a line has those since the line before."""
        self._metrics.count("callers_shed", label=reason)
        count = self._unlogged.get(reason, 0) + 1
        now_s = self._clock.monotonic()
        if now_s < self._next_line_s.get(reason, 0.0):
            self._unlogged[reason] = count
            return
        self._next_line_s[reason] = now_s + _LINE_INTERVAL_S
        self._unlogged[reason] = 0
        log_event("callers.shed", reason=reason, count=count)
