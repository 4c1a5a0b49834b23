"""Invariants of the soak test, checked on its recorded requests."""

from collections import Counter
from typing import NamedTuple

from tests.soak.callers import Seen


class Violation(NamedTuple):
    """An invariant that did not hold."""

    invariant: str
    detail: str


def find_violations(
    seen: list[Seen], run_counts: Counter[str], *, planned: bool
) -> list[Violation]:
    """Check the outcome of every request.

    :param seen: outcomes as the callers saw them.
    :param run_counts: number of times that backend servers ran each request, by its id.
    :param planned: whether the soak did only planned work and injected no faults.
    """
    return [
        Violation(
            invariant, f"ran {run_counts[call.sent.request_id]} times: {describe(call)}"
        )
        for call in seen
        for invariant in _violated_invariants(
            call, run_counts[call.sent.request_id], planned=planned
        )
    ]


def _violated_invariants(call: Seen, run_count: int, *, planned: bool) -> list[str]:
    sent = call.sent
    violated = []
    if planned and run_count and not (call.status == 200 and call.whole):
        violated.append("a request that was passed on gets its whole answer")
    if call.status == 503 and run_count:
        violated.append("a request answered 503 never ran")
    if sent.method == "POST" and run_count > 1:
        violated.append("a non-idempotent request runs at most once")
    if call.status == 200 and call.whole and not call.right:
        violated.append("an answer is its request's own")
    if _shows_older_version(call):
        violated.append("no older configuration shows once a newer one is in force")
    return violated


def _shows_older_version(call: Seen) -> bool:
    """Return whether a node answered from a version older than the acknowledged one.

    Version N has only the routes N and N - 1, and the route that every version has.
    """
    route, acknowledged = call.sent.route, call.sent.acknowledged
    if not route:
        return call.status == 404
    if route == acknowledged:
        return call.status == 404 and call.accepted <= route + 1
    return call.status == 200


def describe(call: Seen) -> str:
    """Return a line that describes a call, without its request body."""
    return str(call._replace(sent=call.sent._replace(body=b"")))
