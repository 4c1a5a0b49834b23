"""The work that a gate has to do, by what its requests are expected to cost."""

from burdockdock.clock import Clock
from burdockdock.coordination.cost_estimator import (
    CostEstimator,
    RequestKind,
    size_class,
)
from burdockdock.coordination.remaining_work import RemainingWork
from burdockdock.protocol.calls import CallRequest


class WorkTracker:
    """Learns what requests cost, and sums up what is left of those at the gate."""

    def __init__(self, *, clock: Clock) -> None:
        self._costs = CostEstimator(clock=clock)
        self._remaining = RemainingWork(clock=clock)

    def add(self, request: CallRequest) -> int:
        """Add a request that waits for a slot, and return its number."""
        return self._remaining.add(self._costs.estimate_s(_kind(request)))

    def start(self, number: int) -> None:
        """Note that a request got its slot."""
        self._remaining.start(number)

    def end(self, number: int) -> None:
        """Remove a request that ended, or that was refused."""
        self._remaining.end(number)

    def record(self, request: CallRequest, duration_s: float) -> None:
        """Learn from a request that succeeded."""
        self._costs.record(_kind(request), duration_s)

    def remaining_s(self) -> float:
        """Return the expected seconds of a slot that all requests still need.

        0 if there are none, or none of a route that is known.
        """
        return self._remaining.total_s()


def _kind(request: CallRequest) -> RequestKind:
    return RequestKind(
        request.route,
        request.method,
        size_class(request.body_length),
        request.workspace,
    )
