"""The work that a gate has to do, by what its requests are expected to cost."""

from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.cost_estimator import (
    CostEstimator,
    RequestKind,
    size_class,
)
from burdockdock.coordination.remaining_work import RemainingWork
from burdockdock.protocol.calls import CallRequest

# A request is long if it is expected to cost this many times the mean.
_LONG_FACTOR = 3.0
_MEAN_SMOOTHING_FACTOR = 0.05
# Share of the time until its latest start for which a long request lets others of its
# priority go first.
_YIELDING_SHARE = 0.5


class ExpectedWork(NamedTuple):
    """What a request is expected to cost.

    :param number: its number at the tracker.
    :param is_long: whether that is several times the mean of the gate's requests.
    """

    number: int
    is_long: bool


class WorkTracker:
    """Learns what requests cost, and sums up what is left of those at the gate."""

    def __init__(self, *, clock: Clock) -> None:
        self._costs = CostEstimator(clock=clock)
        self._remaining = RemainingWork(clock=clock)
        self._mean_s = 0.0

    def add(self, request: CallRequest) -> ExpectedWork:
        """Add a request that waits for a slot."""
        cost_s = self._costs.estimate_s(_kind(request))
        is_long = cost_s > self._mean_s * _LONG_FACTOR > 0.0
        return ExpectedWork(self._remaining.add(cost_s), is_long)

    def start(self, work: ExpectedWork) -> None:
        """Note that a request got its slot."""
        self._remaining.start(work.number)

    def end(self, work: ExpectedWork) -> None:
        """Remove a request that ended, or that was refused."""
        self._remaining.end(work.number)

    def record(self, request: CallRequest, duration_s: float) -> None:
        """Learn from a request that succeeded."""
        self._costs.record(_kind(request), duration_s)
        weight = _MEAN_SMOOTHING_FACTOR if self._mean_s else 1.0
        self._mean_s += weight * (duration_s - self._mean_s)

    def remaining_s(self) -> float:
        """Return the expected seconds of a slot that all requests still need.

        0 if there are none, or none of a route that is known.
        """
        return self._remaining.total_s()


def yields_until_s(
    work: ExpectedWork, *, now_s: float, latest_start_s: float, target_s: float
) -> float:
    """Return until when a queued request lets shorter ones of its priority go first.

    Load pattern: a few requests cost several times as much as the others, and hold up
    the short ones that queue behind them. The bound keeps a long one from waiting for
    as long as there are short ones. It lies before the latest start that meets the
    target, since a request past that is served last.

    :param target_s: latest start that meets the target, infinite without one.
    """
    if not work.is_long:
        return now_s
    if target_s > now_s:
        latest_start_s = min(latest_start_s, target_s)
    return now_s + _YIELDING_SHARE * (latest_start_s - now_s)


def _kind(request: CallRequest) -> RequestKind:
    return RequestKind(
        request.route,
        request.method,
        size_class(request.body_length),
        request.workspace,
    )
