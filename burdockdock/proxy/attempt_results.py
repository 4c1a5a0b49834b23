"""Classifies and logs the results of a call's attempts."""

from burdockdock.coordination.verdict import KEY_REVOKED, Failure, Verdict
from burdockdock.gate.model import (
    BACKEND_COLD,
    KEPT_CONNECTION_ENDED,
    ZONE_EVACUATED,
)
from burdockdock.logs import log_event
from burdockdock.protocol.calls import AnswerHead, CallRequest
from burdockdock.proxy.attempts import BACKEND_REFUSED, QUEUE_FULL
from burdockdock.proxy.authentication import (
    CONFIGURATION_BEHIND,
    UNKNOWN_KEY,
    WORKSPACE_CHANGED,
)

DEADLINE_PASSED = "deadline_passed"
PEER_TOO_SLOW = "peer_too_slow"
_LOAD_SHEDDING_STATUSES = frozenset({429, 503})
# Statuses by which callers take a request for one that did not and will not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_REFUSAL_WITHOUT_PROOF = "refusal_without_proof"
# Reasons that don't count against a member's health: load, lack of time, planned stops,
# outdated routing, revoked keys and a kept connection that was dead.
_NON_FAULT_REASONS = frozenset(
    {
        QUEUE_FULL,
        "tenant_queue_full",
        "queue_timeout",
        "too_late_to_wait",
        "too_many_calls",
        "withdrawn",
        "draining",
        DEADLINE_PASSED,
        "too_little_time",
        "backend_leaving",
        "not_here",
        "version_stopped",
        PEER_TOO_SLOW,
        BACKEND_REFUSED,
        KEPT_CONNECTION_ENDED,
        ZONE_EVACUATED,
        BACKEND_COLD,
        _REFUSAL_WITHOUT_PROOF,
        KEY_REVOKED,
        UNKNOWN_KEY,
        WORKSPACE_CHANGED,
        CONFIGURATION_BEHIND,
    }
)


def is_backend_fault(result: AnswerHead | Failure) -> bool:
    """Return whether a result counts as a failure in the member's health."""
    if isinstance(result, Failure):
        return result.reason not in _NON_FAULT_REASONS
    return result.status >= 500 and result.status not in _LOAD_SHEDDING_STATUSES


def unproved_refusal(
    head: AnswerHead, *, earlier_may_have_run: bool, signature: str
) -> Failure | None:
    """Return the failure that replaces an answer that would promise too much.

    A refusal says nothing of the attempts before it, one of which may have run the
    request. Only one that is signed is known to be the backend server's own answer.

    :param earlier_may_have_run: whether an earlier attempt may have run the request.
    :param signature: name of the header that signs answers, empty if none does.
    :returns: None if the answer may be passed on.
    """
    if not earlier_may_have_run or head.status not in _NOT_RUN_STATUSES:
        return None
    if signature and any(n.lower() == signature.lower() for n, _ in head.headers):
        return None
    detail = f"status {head.status}"
    return Failure(Verdict.MAY_HAVE_RUN, _REFUSAL_WITHOUT_PROOF, detail)


def log_failed_attempt(
    request: CallRequest, node_id: str, failure: Failure, *, left_ms: int
) -> None:
    """Log why an attempt at a node failed.

    :param left_ms: time until the call's deadline.
    """
    log_event(
        "call.attempt_failed",
        request=request.request_id,
        service=request.service,
        node_tried=node_id,
        verdict=failure.verdict.name.lower(),
        reason=failure.reason,
        detail=failure.detail,
        left_ms=left_ms,
    )


def log_aborted_answer(
    request: CallRequest, node_id: str, failure: Failure, *, left_ms: int
) -> None:
    """Log why an answer that had begun was aborted.

    :param left_ms: time until the call's deadline.
    """
    log_event(
        "call.answer_broken_off",
        request=request.request_id,
        service=request.service,
        node_tried=node_id,
        reason=failure.reason,
        detail=failure.detail,
        left_ms=left_ms,
    )
