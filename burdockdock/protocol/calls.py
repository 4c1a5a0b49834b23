"""Converts between the messages of a call and their typed forms."""

from typing import NamedTuple

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.codec import Message, frame

# Largest value of the message's field.
_MAX_REMAINING_US = 2**32 - 1
Headers = tuple[tuple[str, str], ...]


class GateResults(NamedTuple):
    """Statistics of a gate's latest calls, sent with each answer and failure.

    :param service_s: mean duration in seconds of calls of the same route, 0 if
        unknown.
    :param failed_share: share of the gate's latest calls that failed, from 0 to 1.
    :param remaining_s: expected seconds of a slot that the calls running and queued at
        the gate still need, 0 if unknown.
    """

    service_s: float = 0.0
    failed_share: float = 0.0
    remaining_s: float = 0.0


class CallRequest(NamedTuple):
    """A request, as sent from the caller's node to the backend server's node.

    :param request_id: the same for all attempts of one request.
    :param workspace: workspace of the caller; field ``tenant`` of the message.
    :param time_left_ms: milliseconds until the deadline.
    :param idempotent: whether the request may safely run more than once.
    :param target: path and query of the request.
    :param body_length: length of the whole body in bytes, -1 if unknown.
    :param body: the first bytes of the body.
    :param end: whether ``body`` is the whole body.
    :param priority: lower values are served first.
    :param queue_length: highest number of calls that may wait for the backend server.
    :param target_left_ms: milliseconds until the answer loses value, negative if that
        time has passed, 0 if the answer never loses value.
    :param key_id: number of the API key among those of the workspace.
    :param authenticated_version: configuration version by which the caller's node
        found the workspace by its key, 0 if the workspace is not authenticated.
    """

    request_id: str
    workspace: str
    traffic_class: str
    route: str
    service: str
    time_left_ms: int
    idempotent: bool
    method: str
    target: str
    headers: Headers
    body_length: int = 0
    body: bytes = b""
    end: bool = True
    priority: int = 0
    queue_length: int = 32
    target_left_ms: int = 0
    key_id: int = 0
    authenticated_version: int = 0


class AnswerHead(NamedTuple):
    """Status, headers and first body bytes of a backend server's answer.

    :param reason: reason phrase of the HTTP status line.
    :param end: whether ``body`` is the whole body.
    :param load: number of calls running and waiting at the backend server's node.
    :param results: statistics of that node's latest calls.
    """

    status: int
    reason: str
    headers: Headers
    body: bytes = b""
    end: bool = False
    load: int = 0
    results: GateResults = GateResults()


def frame_call_start(call_id: int, request: CallRequest) -> bytes:
    """Return the frame that starts a call."""
    return frame(
        "callStart",
        callId=call_id,
        requestId=request.request_id,
        # The message field is named ``tenant``.
        tenant=request.workspace,
        trafficClass=request.traffic_class,
        route=request.route,
        service=request.service,
        timeLeftMs=request.time_left_ms,
        idempotent=request.idempotent,
        method=request.method,
        target=request.target,
        headers=_pack_headers(request.headers),
        bodyLength=request.body_length,
        body=request.body,
        end=request.end,
        priority=request.priority,
        queueLength=request.queue_length,
        targetLeftMs=request.target_left_ms,
        keyId=request.key_id,
        authenticatedVersion=request.authenticated_version,
    )


def read_call_start(message: Message) -> CallRequest:
    """Read the request from a ``callStart`` message."""
    start = message.callStart
    return CallRequest(
        request_id=start.requestId,
        workspace=start.tenant,
        traffic_class=start.trafficClass,
        route=start.route,
        service=start.service,
        time_left_ms=start.timeLeftMs,
        idempotent=start.idempotent,
        method=start.method,
        target=start.target,
        headers=_unpack_headers(start.headers),
        body_length=start.bodyLength,
        body=start.body,
        end=start.end,
        priority=start.priority,
        queue_length=start.queueLength,
        target_left_ms=start.targetLeftMs,
        key_id=start.keyId,
        authenticated_version=start.authenticatedVersion,
    )


def frame_answer_head(call_id: int, head: AnswerHead) -> bytes:
    """Return the frame that starts an answer."""
    return frame(
        "answerHead",
        callId=call_id,
        status=head.status,
        reason=head.reason,
        headers=_pack_headers(head.headers),
        body=head.body,
        end=head.end,
        load=head.load,
        **_pack_results(head.results),
    )


def read_answer_head(message: Message) -> AnswerHead:
    """Read the start of an answer from an ``answerHead`` message."""
    head = message.answerHead
    return AnswerHead(
        status=head.status,
        reason=head.reason,
        headers=_unpack_headers(head.headers),
        body=head.body,
        end=head.end,
        load=head.load,
        results=_unpack_results(head),
    )


def frame_failure(
    call_id: int,
    failure: Failure,
    *,
    load: int,
    results: GateResults | None = None,
) -> bytes:
    """Return the frame that ends a call without an answer."""
    return frame(
        "callFailed",
        callId=call_id,
        verdict=int(failure.verdict),
        reason=failure.reason,
        detail=failure.detail,
        load=load,
        **_pack_results(results or GateResults()),
    )


def read_failure(message: Message) -> Failure:
    """Read from a ``callFailed`` message why a call got no answer."""
    failed = message.callFailed
    return Failure(Verdict(failed.verdict), failed.reason, failed.detail)


def read_failure_results(message: Message) -> GateResults:
    """Read the gate's call statistics from a ``callFailed`` message."""
    return _unpack_results(message.callFailed)


def _pack_results(results: GateResults) -> dict[str, int]:
    return {
        "serviceUs": int(results.service_s * 1_000_000),
        "failedPermille": int(results.failed_share * 1000),
        "remainingUs": min(int(results.remaining_s * 1_000_000), _MAX_REMAINING_US),
    }


def _unpack_results(packed: Message) -> GateResults:
    return GateResults(
        packed.serviceUs / 1_000_000,
        packed.failedPermille / 1000,
        packed.remainingUs / 1_000_000,
    )


def _pack_headers(headers: Headers) -> str:
    """Join headers into one text, one a line; values contain no line feed."""
    return "\n".join(f"{name}:{value}" for name, value in headers)


def _unpack_headers(text: str) -> Headers:
    if not text:
        return ()
    lines = text.split("\n")
    return tuple((name, value) for name, _, value in (s.partition(":") for s in lines))
