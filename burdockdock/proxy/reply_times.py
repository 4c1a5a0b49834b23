"""Estimates of the round-trip times to other nodes.

A call is not sent to a node whose reply would arrive after the call's deadline.
"""

from typing import NamedTuple

from burdockdock.clock import Clock

# Refusals that a gate sends as soon as it reads a call, so that the time until they
# arrive is the round-trip time alone.
PROMPT_REFUSALS = frozenset(
    {
        "queue_full",
        "too_little_time",
        "draining",
        "backend_leaving",
        "not_here",
        "version_stopped",
    }
)
# Estimates decay quickly: no calls are sent over a path that seems congested, so no
# reply could show that the congestion is over.
_HALF_LIFE_S = 0.5
_FASTER_REPLY_WEIGHT = 0.5
# Estimates below this don't matter for a call and are dropped.
_MIN_ESTIMATE_S = 0.002


class _Estimate(NamedTuple):
    seconds_s: float
    updated_at_s: float


class ReplyTimes:
    """Estimates the time from sending a call to each node to its immediate reply.

    A longer reply time replaces the estimate, a shorter one lowers it in part, and
    estimates decay over time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._estimates: dict[str, _Estimate] = {}

    def record(self, node_id: str, seconds_s: float) -> None:
        """Update the estimate with the time of an immediate reply."""
        expected_s = self.expected_s(node_id)
        if seconds_s < expected_s:
            seconds_s = expected_s + _FASTER_REPLY_WEIGHT * (seconds_s - expected_s)
        self._store(node_id, seconds_s)

    def bound(self, node_id: str, seconds_s: float) -> None:
        """Limit the estimate to the time of an answer, which includes processing."""
        if seconds_s < self.expected_s(node_id):
            self._store(node_id, seconds_s)

    def expected_s(self, node_id: str) -> float:
        """Return the expected seconds until an immediate reply, 0 if negligible."""
        estimate = self._estimates.get(node_id)
        if estimate is None:
            return 0.0
        age_s = self._clock.monotonic() - estimate.updated_at_s
        seconds_s = estimate.seconds_s * 0.5 ** (age_s / _HALF_LIFE_S)
        if seconds_s >= _MIN_ESTIMATE_S:
            return seconds_s
        del self._estimates[node_id]
        return 0.0

    def _store(self, node_id: str, seconds_s: float) -> None:
        self._estimates[node_id] = _Estimate(seconds_s, self._clock.monotonic())
