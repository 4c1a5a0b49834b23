"""Names of the users' platform's headers, for faulty backend servers in tests."""

from burdockdock.standin.faulty_answers import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id="Request-Id",
    signature="Response-Signature",
    not_run="Not-Executed",
    expected_instance="Expected-Instance",
    timeout="Deadline-Ms",
    instance_id="Instance-Id",
)
