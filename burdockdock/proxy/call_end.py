"""Logs and measures the end of each call."""

from tornado.httputil import HTTPHeaders

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event
from burdockdock.proxy.call import Call
from burdockdock.proxy.call_factory import DEFAULT_WORKSPACE
from burdockdock.proxy.context import CallContext


def internal_failure(error: Exception) -> Failure:
    """Return the failure of a call during which this node raised an exception."""
    return Failure(Verdict.MAY_HAVE_RUN, "node_fault", repr(error))


def log_call_end(
    context: CallContext,
    call: Call | Failure,
    headers: HTTPHeaders,
    failure: Failure | None,
    *,
    status: int,
    took_s: float,
) -> None:
    """Log how a call ended and why.

    :param headers: of the request.
    :param failure: None if the backend server's answer was passed on completely.
    :param status: HTTP status sent to the caller, 0 if none was sent.
    :param took_s: seconds until the answer was complete, or until the call ended.
    """
    request = None if isinstance(call, Failure) else call.request
    request_id = headers.get(context.headers.request_id, "")
    log_event(
        "call.ended",
        request=request.request_id if request else request_id,
        route=request.route if request else "",
        service=request.service if request else "",
        workspace=request.workspace if request else "",
        config_version=context.snapshot().version,
        status=status,
        verdict="" if failure is None else failure.verdict.name.lower(),
        reason="" if failure is None else failure.reason,
        detail="" if failure is None else failure.detail,
        allowed_ms=request.time_left_ms if request else 0,
        seconds_s=took_s,
    )


def record_call_latency(
    context: CallContext, call: Call | Failure, started_s: float
) -> None:
    """Record how long a call took."""
    request = None if isinstance(call, Failure) else call.request
    context.metrics.record_latency(
        "call",
        context.clock.monotonic() - started_s,
        workspace=request.workspace if request else DEFAULT_WORKSPACE,
        traffic_class=request.traffic_class if request else "none",
    )
