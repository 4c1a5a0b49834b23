"""Names of the HTTP headers that callers, nodes and backend servers exchange."""

from typing import NamedTuple


class CallHeaders(NamedTuple):
    """Names of the headers of calls. A header with an empty name is not used.

    :param request_id: id of the request.
    :param caller_sets_request_id: whether the caller sets the request id and the
        backend server repeats it in its answer. Otherwise the node sets it.
    :param timeout: time in milliseconds for which the caller still waits.
    :param workspace: the caller's workspace.
    :param caller_sets_workspace: whether callers may state their workspace themselves
        while the configuration has no workspaces. Otherwise only nodes set the header.
    :param credential: the caller's API key, which is never passed on while the
        configuration has workspaces.
    :param idempotency_key: the caller's key that is the same when it repeats a request.
    :param depth: number of nodes that a chain of calls has passed through.
    :param caller_service: service beside the node at which the call entered the mesh.
    :param expected_instance: id of the only instance that may run the request.
    :param not_run: in an answer, states that the request was not run.
    :param signature: in an answer, shows that it comes from the backend server.
    """

    request_id: str = "X-Burdockdock-Request-Id"
    caller_sets_request_id: bool = False
    timeout: str = "X-Burdockdock-Timeout-Ms"
    workspace: str = "X-Tenant"
    caller_sets_workspace: bool = True
    credential: str = "X-Burdockdock-Key"
    idempotency_key: str = "Idempotency-Key"
    depth: str = "X-Burdockdock-Depth"
    caller_service: str = ""
    expected_instance: str = ""
    not_run: str = ""
    signature: str = ""


# The headers that Burdockdock defines itself; a platform may define others.
OWN_HEADERS = CallHeaders()
