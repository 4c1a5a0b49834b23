"""Names of the users' platform's headers, and bytes that no header may hold."""

from burdockdock.standin.faulty_answers import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id="Request-Id",
    signature="Response-Signature",
    not_run="Not-Executed",
    expected_instance="Expected-Instance",
    timeout="Deadline-Ms",
    instance_id="Instance-Id",
)
# All but tabs, which values may hold, and line feeds, which end lines.
CONTROL_BYTES = tuple(
    bytes([code]) for code in (*range(32), 127) if code not in (0x09, 0x0A)
)
