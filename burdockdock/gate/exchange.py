"""Headers of requests to a backend server, and which of its answers are believed."""

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead
from burdockdock.gate.curl_client import BackendRequest
from burdockdock.gate.headers import CallHeaders
from burdockdock.gate.model import BackendServer
from burdockdock.protocol.calls import CallRequest

_CURL_DEFAULT_HEADERS = ("Accept", "User-Agent", "Expect")
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_MISDIRECTED = 421
_SHORTEST_S = 0.001


def check_answer(
    names: CallHeaders, request: CallRequest, head: BackendHead
) -> Failure | None:
    """Return why an answer is not the backend server's answer to this request."""
    values = {name.lower(): value for name, value in head.headers}
    echoed = values.get(names.request_id.lower())
    if names.caller_sets_request_id and echoed not in (None, request.request_id):
        return Failure(Verdict.MAY_HAVE_RUN, "other_requests_answer", echoed)
    if names.not_run and names.not_run.lower() in values:
        return Failure(Verdict.NOT_RUN, "backend_refused", f"status {head.status}")
    if names.expected_instance and head.status == _MISDIRECTED:
        return Failure(Verdict.NOT_RUN, "other_instance")
    if not names.signature or not 200 <= head.status < 300:
        return None
    if names.signature.lower() not in values or "content-encoding" in values:
        return Failure(Verdict.MAY_HAVE_RUN, "not_the_backends_answer")
    return None


def backend_request(
    names: CallHeaders,
    request: CallRequest,
    backend: BackendServer,
    *,
    left_s: float,
    resend_allowed: bool,
) -> BackendRequest:
    """Make the request to the backend server.

    :param left_s: seconds until the call's deadline.
    :param resend_allowed: let libcurl resend whatever the request's kind.
    """
    left_ms = int(max(_SHORTEST_S, left_s) * 1000)
    headers = _curl_headers(request)
    headers.append(f"{names.timeout}: {left_ms}")
    if not names.caller_sets_request_id:
        headers.append(f"{names.request_id}: {request.request_id}")
    if names.expected_instance and backend.instance_id:
        headers.append(f"{names.expected_instance}: {backend.instance_id}")
    return BackendRequest(
        method=request.method,
        url=f"http://{backend.host}:{backend.port}{request.target}",
        headers=headers,
        body_length=request.body_length,
        timeout_ms=left_ms,
        fresh_connection=not request.idempotent,
        resend_allowed=resend_allowed or _may_be_resent(request),
    )


def _may_be_resent(request: CallRequest) -> bool:
    """Tell whether libcurl may send again on finding a kept connection dead."""
    return request.idempotent and not request.body_length


def _curl_headers(request: CallRequest) -> list[str]:
    """Return the request's headers, and none of those that libcurl would add."""
    headers = [
        f"{name}: {value}" if value else f"{name};" for name, value in request.headers
    ]
    present = {name.lower() for name, _ in request.headers}
    for name in _CURL_DEFAULT_HEADERS:
        if name.lower() not in present:
            headers.append(f"{name}:")
    if not request.body_length and request.method in _METHODS_WITH_BODY:
        headers.append("Content-Length: 0")
    return headers
