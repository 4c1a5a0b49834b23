"""Headers by which callers, nodes and backend servers understand each other."""

from typing import NamedTuple


class CallHeaders(NamedTuple):
    """Names of the headers of calls; an empty name is not used.

    :param request_id: the request's id.
    :param caller_sets_request_id: whether the caller gives that id, and the backend
        server repeats it in its answer.
    :param timeout: milliseconds that the caller still waits.
    :param workspace: the caller's workspace, which callers name as their tenant.
    :param idempotency_key: the caller's own key for repetitions of a request.
    :param depth: how many nodes a chain of calls passed.
    :param caller_service: the service beside whose node the call began.
    :param expected_instance: the one instance that may run the request.
    :param not_run: in an answer, that the backend server did not run the request.
    :param signature: in an answer, that the backend server made it.
    """

    request_id: str = "X-Burdockdock-Request-Id"
    caller_sets_request_id: bool = False
    timeout: str = "X-Burdockdock-Timeout-Ms"
    workspace: str = "X-Tenant"
    idempotency_key: str = "Idempotency-Key"
    depth: str = "X-Burdockdock-Depth"
    caller_service: str = ""
    expected_instance: str = ""
    not_run: str = ""
    signature: str = ""


OWN_HEADERS = CallHeaders()
