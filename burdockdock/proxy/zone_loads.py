"""Moving means of the load that the gates of each availability zone reported.

In a large fleet a node hears from each single gate only every few seconds; the mean of
its zone is more reliable.
"""

from typing import NamedTuple

# Assumed without reports: busy, but without a queue, so that a call that gains by
# crossing tries, and the answer tells how loaded the other zone is.
_DEFAULT_UTILIZATION = 0.8
_SMOOTHING_FACTOR = 0.2
# Half of the time in which a mean without new reports returns to the default.
_FADE_S = 2.0


class Place(NamedTuple):
    """Where a gate is: the service in one availability zone."""

    service: str
    availability_zone: str


class _Load(NamedTuple):
    utilization: float
    updated_at_s: float


class ZoneLoads:
    """Calls for each slot of a service in each availability zone, running and queued.

    There is one entry for each place that a reporting gate was in; ``forget`` drops it.
    """

    def __init__(self) -> None:
        self._loads: dict[Place, _Load] = {}

    def record(self, place: Place, utilization: float, *, now_s: float) -> None:
        """Record the calls for each slot that a gate reported."""
        mean = self.expected(place, now_s=now_s)
        mean += _SMOOTHING_FACTOR * (utilization - mean)
        self._loads[place] = _Load(mean, now_s)

    def expected(self, place: Place, *, now_s: float) -> float:
        """Return the expected number of calls for each slot."""
        load = self._loads.get(place)
        if load is None:
            return _DEFAULT_UTILIZATION
        weight = max(0.0, 1.0 - (now_s - load.updated_at_s) / (2.0 * _FADE_S))
        return _DEFAULT_UTILIZATION + (load.utilization - _DEFAULT_UTILIZATION) * weight

    def forget(self, place: Place) -> None:
        """Drop the mean of a place."""
        self._loads.pop(place, None)
