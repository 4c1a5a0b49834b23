"""What the latest calls showed of a backend server."""

from collections.abc import Callable

from burdockdock.coordination.duration_estimator import DurationEstimator
from burdockdock.gate.model import CallResult
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest, GateResults

_SHED_STATUSES = frozenset({429, 503})
# Weight of one result in the share of failed calls: about the last ten count.
_FAILURE_WEIGHT = 0.1


class LatestResults:
    """Times and failures of the calls that reached the backend server.

    :param durations: kept up to date with the times of calls that ended well.
    :param observe: told each result.
    """

    def __init__(
        self,
        *,
        durations: DurationEstimator,
        metrics: Metrics,
        observe: Callable[[CallResult], None],
    ) -> None:
        self._durations = durations
        self._metrics = metrics
        self._observe = observe
        self._failed_share = 0.0

    def of_route(self, route: str) -> GateResults:
        """Return what callers' nodes need to know."""
        return GateResults(self._durations.mean_s(route), self._failed_share)

    def record(
        self, request: CallRequest, duration_s: float, *, status: int, complete: bool
    ) -> None:
        """Take in how a call ended.

        :param status: of the answer, 0 without one.
        :param complete: whether the whole answer was passed on.
        """
        shed = status in _SHED_STATUSES
        failed = not shed and (not complete or status >= 500)
        wrong = 1.0 if failed or shed else 0.0
        self._failed_share += _FAILURE_WEIGHT * (wrong - self._failed_share)
        if not failed and not shed:
            self._durations.record(request.route, duration_s)
        self._metrics.record_latency(
            "backend",
            duration_s,
            workspace=request.workspace,
            traffic_class=request.traffic_class,
        )
        self._observe(
            CallResult(
                request.route,
                request.workspace,
                request.traffic_class,
                duration_s,
                failed,
                shed,
            )
        )
