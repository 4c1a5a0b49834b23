"""Headers of requests to a backend server, and which of its answers are believed."""

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.curl_client import BackendHead
from burdockdock.gate.headers import CallHeaders
from burdockdock.protocol.calls import CallRequest

_CURL_DEFAULT_HEADERS = ("Accept", "User-Agent", "Expect")
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_MISDIRECTED = 421


def check_answer(
    names: CallHeaders, request: CallRequest, head: BackendHead
) -> Failure | None:
    """Return why an answer is not the backend server's answer to this request."""
    values = {name.lower(): value for name, value in head.headers}
    echoed = values.get(names.request_id.lower())
    if names.callers_request_id and echoed not in (None, request.request_id):
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


def curl_headers(request: CallRequest) -> list[str]:
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
