"""Tracks durations and failures of the latest calls to a backend server."""

from collections.abc import Callable

from burdockdock.coordination.duration_estimator import DurationEstimator
from burdockdock.gate.model import CallResult
from burdockdock.gate.work_tracker import WorkTracker
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest, GateResults

_LOAD_SHEDDING_STATUSES = frozenset({429, 503})
# Weight of a new result in the moving average of failures, which covers about the
# last ten calls.
_FAILURE_SMOOTHING_FACTOR = 0.1


class ResultTracker:
    """Tracks the duration and success of calls to the backend server.

    :param durations: estimator that gets the durations of successful calls.
    :param work: learns the costs of successful calls.
    :param observe: called with each result.
    """

    def __init__(
        self,
        *,
        durations: DurationEstimator,
        work: WorkTracker,
        metrics: Metrics,
        observe: Callable[[CallResult], None],
    ) -> None:
        self._durations = durations
        self._work = work
        self._metrics = metrics
        self._observe = observe
        self._failed_share = 0.0

    def for_route(self, route: str) -> GateResults:
        """Return the mean duration of a route, and the gate's failures and work."""
        return GateResults(
            self._durations.mean_s(route), self._failed_share, self._work.remaining_s()
        )

    def record(
        self, request: CallRequest, duration_s: float, *, status: int, complete: bool
    ) -> None:
        """Record the result of a call.

        :param duration_s: seconds from sending the request to the end of the call.
        :param status: HTTP status of the answer; 0 if there was none, 503 if the
            request did not run.
        :param complete: whether the whole answer was forwarded.
        """
        shed = status in _LOAD_SHEDDING_STATUSES
        failed = not shed and (not complete or status >= 500)
        failure_sample = 1.0 if failed or shed else 0.0
        self._failed_share += _FAILURE_SMOOTHING_FACTOR * (
            failure_sample - self._failed_share
        )
        if not failed and not shed:
            self._durations.record(request.route, duration_s)
            self._work.record(request, duration_s)
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
                answered=status > 0,
            )
        )
