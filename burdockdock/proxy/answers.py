"""What callers are told: heads of answers, and refusals with their verdict."""

import json
import random
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call_factory import hop_names

VERDICT_HEADER = "X-Burdockdock-Verdict"
_STATUS_OF_VERDICT = {
    Verdict.NOT_RUN: 503,
    Verdict.MAY_HAVE_RUN: 502,
    Verdict.RAN: 502,
}
_STATUS_OF_REASON = {
    "deadline_passed": 504,
    "backend_timeout": 504,
    "no_route": 404,
    "already_ran": 409,
}
_REASON_PHRASES = {
    404: "Not Found",
    409: "Conflict",
    502: "Bad Gateway",
    503: "Service Unavailable",
}
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Callers come back spread over this span.
_RETRY_AFTER_MIN_S = 0.05
_RETRY_AFTER_MAX_S = 0.4


class Refusal(NamedTuple):
    """An answer that tells the verdict and the reason."""

    head: AnswerHead
    body: bytes


def refusal_of(failure: Failure, rng: random.Random) -> Refusal:
    """Return the answer that tells a failure."""
    status = _status_of(failure)
    verdict = failure.verdict.name.lower()
    body = json.dumps(
        {"verdict": verdict, "reason": failure.reason, "detail": failure.detail}
    ).encode()
    headers: list[tuple[str, str]] = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (VERDICT_HEADER, verdict),
    ]
    if failure.verdict is Verdict.NOT_RUN:
        after_s = rng.uniform(_RETRY_AFTER_MIN_S, _RETRY_AFTER_MAX_S)
        headers.append(("Retry-After", f"{after_s:.3f}"))
    phrase = _REASON_PHRASES.get(status, "Gateway Timeout")
    return Refusal(AnswerHead(status, phrase, tuple(headers)), body)


def _status_of(failure: Failure) -> int:
    """Return the status that promises no more than the verdict does."""
    if failure.verdict is Verdict.NOT_RUN and failure.reason != "no_route":
        return 503
    return _STATUS_OF_REASON.get(failure.reason, _STATUS_OF_VERDICT[failure.verdict])


def body_bytes(headers: HTTPHeaders, method: str, status: int) -> int:
    """Return the bytes of an answer's body, -1 where its head does not tell them."""
    if method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
        return 0
    length = headers.get("Content-Length", "")
    return int(length) if length.isascii() and length.isdecimal() else -1


def answer_headers(head: AnswerHead, method: str) -> HTTPHeaders:
    """Return the headers that go on to the caller."""
    named = next((v for n, v in head.headers if n.lower() == "connection"), "")
    dropped = hop_names(named)
    kept = HTTPHeaders()
    for name, value in head.headers:
        if name.lower() not in dropped:
            kept.add(name, value)
    if method == "HEAD" and "Content-Length" not in kept:
        # Tornado would end the answer with an empty chunk.
        kept["Transfer-Encoding"] = "chunked"
    return kept
