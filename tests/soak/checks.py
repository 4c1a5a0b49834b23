"""What must hold, from what callers and backend servers saw."""

from collections import Counter
from typing import NamedTuple

from tests.soak.callers import Seen


class Broken(NamedTuple):
    """A promise that was broken."""

    promise: str
    detail: str


def check_seen(seen: list[Seen], runs: Counter[str], *, planned: bool) -> list[Broken]:
    """Check every request.

    :param runs: how often each request ran, by its id.
    :param planned: whether all that happened was planned work.
    """
    return [
        Broken(promise, f"ran {runs[one.sent.request_id]} times: {told(one)}")
        for one in seen
        for promise in _broken_by(one, runs[one.sent.request_id], planned=planned)
    ]


def _broken_by(one: Seen, ran: int, *, planned: bool) -> list[str]:
    sent = one.sent
    broken = []
    if planned and ran and not (one.status == 200 and one.whole):
        broken.append("a request that was passed on gets its whole answer")
    if one.status == 503 and ran:
        broken.append("a request answered 503 never ran")
    if sent.method == "POST" and ran > 1:
        broken.append("a non-idempotent request runs at most once")
    if one.status == 200 and one.whole and not one.right:
        broken.append("an answer is its request's own")
    if _shows_older(one):
        broken.append("no older configuration shows once a newer one is in force")
    return broken


def _shows_older(one: Seen) -> bool:
    """Tell whether an answer shows a version older than what was acknowledged.

    Version N has the routes N and N - 1.
    """
    route, acknowledged = one.sent.route, one.sent.acknowledged
    if not route:
        return one.status == 404
    if route == acknowledged:
        return one.status == 404 and one.accepted <= route + 1
    return one.status == 200


def told(one: Seen) -> str:
    """Return a request and its end as a line."""
    return str(one._replace(sent=one.sent._replace(body=b"")))
