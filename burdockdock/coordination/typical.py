"""How long requests usually take, to start none that can't finish in time."""

_WEIGHT = 0.1
# The mean with some room, and the way back of the answer.
_MEANS_NEEDED = 1.2
_ANSWER_S = 0.005
# A refusal lets the mean sink, so that a slow time is not believed for ever.
_DECAY = 0.98
_MAX_KINDS = 10_000


class TypicalTimes:
    """Moving means of the seconds that each kind of request takes."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def record(self, kind: str, seconds_s: float) -> None:
        """Take in the time of a request that ended well."""
        mean_s = self._means_s.get(kind)
        if mean_s is not None:
            self._means_s[kind] = mean_s + _WEIGHT * (seconds_s - mean_s)
        elif len(self._means_s) < _MAX_KINDS:
            self._means_s[kind] = seconds_s

    def mean_s(self, kind: str) -> float:
        """Return the mean seconds of a kind, 0 when none was recorded."""
        return self._means_s.get(kind, 0.0)

    def needed_s(self, kind: str) -> float:
        """Return the seconds that a request should have left when it starts."""
        mean_s = self._means_s.get(kind)
        return 0.0 if mean_s is None else _MEANS_NEEDED * mean_s + _ANSWER_S

    def refused(self, kind: str) -> None:
        """Take in that a request was refused for too little time."""
        if kind in self._means_s:
            self._means_s[kind] *= _DECAY
