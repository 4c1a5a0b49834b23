"""How long other nodes take to answer at once, to ask none that would be too late."""

from typing import NamedTuple

from burdockdock.clock import Clock

# Refusals that a gate makes on reading a call, so that they time the way alone.
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
# A way that was congested is believed to be so for a moment only, as nothing is sent
# that could show that it is free again.
_HALF_LIFE_S = 0.5
_WEIGHT_OF_FASTER = 0.5
# Less than this changes nothing for a call.
_SHORTEST_S = 0.002


class _Reply(NamedTuple):
    seconds_s: float
    at_s: float


class ReplyTimes:
    """Seconds from asking each node to its immediate reply, there and back.

    A longer time counts at once, a shorter one in part, and all of them sink.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._replies: dict[str, _Reply] = {}

    def record(self, node_id: str, seconds_s: float) -> None:
        """Take in how long an immediate reply took."""
        expected_s = self.expected_s(node_id)
        if seconds_s < expected_s:
            seconds_s = expected_s + _WEIGHT_OF_FASTER * (seconds_s - expected_s)
        self._keep(node_id, seconds_s)

    def bound(self, node_id: str, seconds_s: float) -> None:
        """Take in that some answer took this long, its work included."""
        if seconds_s < self.expected_s(node_id):
            self._keep(node_id, seconds_s)

    def expected_s(self, node_id: str) -> float:
        """Return the seconds until an immediate reply, 0 where they hardly matter."""
        reply = self._replies.get(node_id)
        if reply is None:
            return 0.0
        age_s = self._clock.monotonic() - reply.at_s
        seconds_s = reply.seconds_s * 0.5 ** (age_s / _HALF_LIFE_S)
        if seconds_s >= _SHORTEST_S:
            return seconds_s
        del self._replies[node_id]
        return 0.0

    def _keep(self, node_id: str, seconds_s: float) -> None:
        self._replies[node_id] = _Reply(seconds_s, self._clock.monotonic())
