"""Checks a caller's request against the limits of the configuration."""

from tornado.httputil import HTTPHeaders

from burdockdock.configuration.model import CallerLimits
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.coordination.whole_numbers import parse_whole_number

BODY_TOO_LARGE = "body_too_large"
HEAD_TOO_LARGE = "head_too_large"
NO_MEMORY = "caller_memory"
# A connection is closed only after this much more than its time-out, so that a caller
# that uses all of it meets no closed connection.
TIMEOUT_MARGIN = 1.25


def refusal_of_head(
    limits: CallerLimits, headers: HTTPHeaders, *, head_bytes: int
) -> Failure | None:
    """Return why a request is refused before its body is read, None if it isn't.

    :param head_bytes: size of the request's head.
    """
    if limits.max_header_bytes and head_bytes > limits.max_header_bytes:
        detail = f"{head_bytes} bytes, more than {limits.max_header_bytes}"
        return Failure(Verdict.NOT_RUN, HEAD_TOO_LARGE, detail)
    announced_bytes = parse_whole_number(headers.get("Content-Length"), 0)
    return refusal_of_body(limits, announced_bytes)


def refusal_of_body(limits: CallerLimits, size_bytes: int) -> Failure | None:
    """Return why a request with so many bytes of body is refused, None if it isn't."""
    if limits.max_body_bytes and size_bytes > limits.max_body_bytes:
        detail = f"{size_bytes} bytes, more than {limits.max_body_bytes}"
        return Failure(Verdict.NOT_RUN, BODY_TOO_LARGE, detail)
    return None
