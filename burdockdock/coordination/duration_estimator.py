"""Duration estimates, used to refuse requests that can't finish in time."""

_SMOOTHING_FACTOR = 0.1
# A request needs its mean duration times the safety factor, plus the time in which its
# answer reaches the caller's node.
_SAFETY_FACTOR = 1.2
_ANSWER_TRANSIT_S = 0.005
# A refusal lowers the mean, so that one slow period does not refuse calls indefinitely.
_REFUSAL_DECAY = 0.98
_MAX_KINDS = 10_000


class DurationEstimator:
    """Exponential moving average of the duration of each kind of request."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def record(self, kind: str, seconds_s: float) -> None:
        """Update the mean with the duration of a successful request."""
        mean_s = self._means_s.get(kind)
        if mean_s is not None:
            self._means_s[kind] = mean_s + _SMOOTHING_FACTOR * (seconds_s - mean_s)
        elif len(self._means_s) < _MAX_KINDS:
            self._means_s[kind] = seconds_s

    def mean_s(self, kind: str) -> float:
        """Return the mean seconds of a kind, 0 when none was recorded."""
        return self._means_s.get(kind, 0.0)

    def min_time_left_s(self, kind: str) -> float:
        """Return the seconds that a request should have left when it starts."""
        mean_s = self._means_s.get(kind)
        return 0.0 if mean_s is None else _SAFETY_FACTOR * mean_s + _ANSWER_TRANSIT_S

    def record_refusal(self, kind: str) -> None:
        """Lower the mean after a request was refused for too little time."""
        if kind in self._means_s:
            self._means_s[kind] *= _REFUSAL_DECAY
