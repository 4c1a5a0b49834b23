"""Builds requests to a backend server."""

from burdockdock.gate.headers import CallHeaders
from burdockdock.gate.model import BackendServer
from burdockdock.gate.transfer import BackendRequest
from burdockdock.protocol.calls import CallRequest, Headers

# Headers that libcurl adds to a request unless they are set or disabled.
_CURL_DEFAULT_HEADERS = ("Accept", "User-Agent", "Expect")
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_MIN_TIMEOUT_S = 0.001


def backend_request(
    names: CallHeaders,
    request: CallRequest,
    backend: BackendServer,
    *,
    time_left_s: float,
    needs_fresh_connection: bool,
) -> BackendRequest:
    """Build the HTTP request to the backend server.

    :param names: names of the headers that the backend server uses.
    :param time_left_s: seconds until the call's deadline.
    :param needs_fresh_connection: whether a kept connection may be dead or may have
        carried the request before.
    """
    timeout_ms = int(max(_MIN_TIMEOUT_S, time_left_s) * 1000)
    headers = _curl_headers(request._replace(headers=_passed_headers(names, request)))
    headers.append(f"{names.timeout}: {timeout_ms}")
    if not names.caller_sets_request_id:
        headers.append(f"{names.request_id}: {request.request_id}")
    if names.expected_instance and backend.instance_id:
        headers.append(f"{names.expected_instance}: {backend.instance_id}")
    return BackendRequest(
        method=request.method,
        url=f"http://{backend.host}:{backend.port}{request.target}",
        headers=headers,
        body_length=request.body_length,
        timeout_ms=timeout_ms,
        fresh_connection=needs_fresh_connection or not request.idempotent,
    )


def _passed_headers(names: CallHeaders, request: CallRequest) -> Headers:
    """Return the headers of a request with the workspace that its key gave it.

    The caller's node has dropped what its caller sent in these headers; a node of an
    earlier release has not.
    """
    authenticated = request.authenticated_version > 0
    if names.caller_sets_workspace and not authenticated:
        return request.headers
    dropped = {names.workspace.lower(), names.credential.lower()}
    kept = tuple(h for h in request.headers if h[0].lower() not in dropped)
    if not authenticated:
        return kept
    # The bytes of headers are latin-1 characters here.
    return (*kept, (names.workspace, request.workspace.encode().decode("latin-1")))


def _curl_headers(request: CallRequest) -> list[str]:
    """Return the request's headers, with libcurl's default headers disabled."""
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
