"""Builds the answer headers for callers, and the answers that report failures."""

import json
import random
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.coordination.whole_numbers import parse_whole_number
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.authentication import UNKNOWN_KEY
from burdockdock.proxy.call_factory import hop_by_hop_names
from burdockdock.proxy.caller_bounds import BODY_TOO_LARGE, HEAD_TOO_LARGE
from burdockdock.proxy.quota_client import OVER_QUOTA

VERDICT_HEADER = "X-Burdockdock-Verdict"
_STATUS_BY_VERDICT = {
    Verdict.NOT_RUN: 503,
    Verdict.MAY_HAVE_RUN: 502,
    Verdict.RAN: 502,
}
_STATUS_BY_REASON = {
    "deadline_passed": 504,
    "backend_timeout": 504,
    "already_ran": 409,
}
# Refusals that stay the same however often the request is sent, and those that tell a
# caller to send less. The others get 503.
_REFUSAL_STATUSES = {
    "no_route": 404,
    UNKNOWN_KEY: 401,
    BODY_TOO_LARGE: 413,
    HEAD_TOO_LARGE: 431,
    OVER_QUOTA: 429,
}
_REASON_PHRASES = {
    401: "Unauthorized",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
}
_UNAUTHORIZED_STATUS = 401
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Retry-After is drawn from this range, so that callers don't all retry at once.
_RETRY_AFTER_MIN_S = 0.05
_RETRY_AFTER_MAX_S = 0.4


class Refusal(NamedTuple):
    """An answer that reports the verdict and the reason of a failure."""

    head: AnswerHead
    body: bytes


def build_refusal(failure: Failure, rng: random.Random) -> Refusal:
    """Return the answer that reports a failure."""
    status = _status_for(failure)
    verdict = failure.verdict.name.lower()
    body = json.dumps(
        {"verdict": verdict, "reason": failure.reason, "detail": failure.detail}
    ).encode()
    headers: list[tuple[str, str]] = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (VERDICT_HEADER, verdict),
    ]
    if status == _UNAUTHORIZED_STATUS:
        headers.append(("WWW-Authenticate", "ApiKey"))
    elif failure.verdict is Verdict.NOT_RUN:
        after_s = failure.retry_after_s or rng.uniform(
            _RETRY_AFTER_MIN_S, _RETRY_AFTER_MAX_S
        )
        headers.append(("Retry-After", f"{after_s:.3f}"))
    phrase = _REASON_PHRASES.get(status, "Gateway Timeout")
    return Refusal(AnswerHead(status, phrase, tuple(headers)), body)


def _status_for(failure: Failure) -> int:
    """Return an HTTP status that promises no more than the verdict.

    A call that did not run gets 503, unless its route or its key is unknown, it is too
    large, or its workspace is over its quota.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return _REFUSAL_STATUSES.get(failure.reason, 503)
    return _STATUS_BY_REASON.get(failure.reason, _STATUS_BY_VERDICT[failure.verdict])


def answer_body_bytes(headers: HTTPHeaders, method: str, status: int) -> int:
    """Return the length of an answer's body, -1 if the headers don't give it."""
    if method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
        return 0
    length = headers.get("Content-Length", "")
    return parse_whole_number(length, -1)


def answer_headers(head: AnswerHead, method: str) -> HTTPHeaders:
    """Return the headers of an answer that are passed on to the caller."""
    connection_header = next(
        (v for n, v in head.headers if n.lower() == "connection"), ""
    )
    dropped = hop_by_hop_names(connection_header)
    kept = HTTPHeaders()
    for name, value in head.headers:
        if name.lower() not in dropped:
            kept.add(name, value)
    if method == "HEAD" and "Content-Length" not in kept:
        # Without this header, tornado would chunk the answer and write an empty last
        # chunk, which the answer to a HEAD request must not have.
        kept["Transfer-Encoding"] = "chunked"
    return kept
