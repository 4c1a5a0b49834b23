"""Names of the HTTP headers that the platform's callers and backend servers use."""

from burdockdock.gate.headers import CallHeaders

HEADERS = CallHeaders(
    request_id="Request-Id",
    caller_sets_request_id=True,
    timeout="Deadline-Ms",
    workspace="Tenant",
    caller_sets_workspace=False,
    credential="Credential",
    # The platform has no such header: every attempt of a client has its own id.
    idempotency_key="",
    depth="",
    caller_service="Caller-Service",
    expected_instance="Expected-Instance",
    not_run="Not-Executed",
    signature="Response-Signature",
)
