"""What is written down of how a call ended."""

from tornado.httputil import HTTPHeaders

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event
from burdockdock.proxy.call import Call
from burdockdock.proxy.call_factory import DEFAULT_WORKSPACE
from burdockdock.proxy.context import CallContext


def faulted(error: Exception) -> Failure:
    """Return what a fault of this node means for a call."""
    return Failure(Verdict.MAY_HAVE_RUN, "node_fault", repr(error))


def log_end(
    context: CallContext,
    call: Call | Failure,
    headers: HTTPHeaders,
    failure: Failure | None,
    *,
    status: int,
    took_s: float,
) -> None:
    """Write down how a call ended and what decided it.

    :param headers: those of the request.
    :param failure: None after a whole answer of the backend server.
    :param status: as told to the caller, 0 without one.
    :param took_s: seconds until the answer was whole, or until the call's end.
    """
    request = None if isinstance(call, Failure) else call.request
    request_id = headers.get(context.headers.request_id, "")
    log_event(
        "call.ended",
        request=request.request_id if request else request_id,
        route=request.route if request else "",
        service=request.service if request else "",
        config_version=context.snapshot().version,
        status=status,
        verdict="" if failure is None else failure.verdict.name.lower(),
        reason="" if failure is None else failure.reason,
        detail="" if failure is None else failure.detail,
        allowed_ms=request.time_left_ms if request else 0,
        seconds_s=took_s,
    )


def record_latency(
    context: CallContext, call: Call | Failure, started_s: float
) -> None:
    """Record what a call took."""
    request = None if isinstance(call, Failure) else call.request
    context.metrics.record_latency(
        "call",
        context.clock.monotonic() - started_s,
        workspace=request.workspace if request else DEFAULT_WORKSPACE,
        traffic_class=request.traffic_class if request else "none",
    )
