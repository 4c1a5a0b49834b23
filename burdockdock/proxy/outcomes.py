"""Finds out what happened to a call whose connection to another node broke."""

import asyncio

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.attempts import Attempt
from burdockdock.proxy.call import Call
from burdockdock.proxy.peer_link import PeerLinks

_OUTCOME_POLL_INTERVAL_S = 0.02
_ANSWER_LOST = "answer_lost"


async def resolve_outcome(
    attempt: Attempt,
    call: Call,
    failure: Failure,
    *,
    links: PeerLinks,
    clock: Clock,
) -> Failure:
    """Ask the node of a failed attempt whether the call ran.

    Only after a broken connection and for a call that must not run twice; any other
    failure is returned as it is.
    """
    if failure.reason != "peer_connection_broken" or call.request.idempotent:
        return failure
    while (time_left_ms := call.time_left_ms(clock.monotonic())) > 0:
        outcome = await _query_outcome(attempt, call, time_left_ms, links)
        if outcome is None:
            return failure
        if outcome.reason != "running":
            return _failure_for_caller(outcome)
        await asyncio.sleep(_OUTCOME_POLL_INTERVAL_S)
    return failure


async def _query_outcome(
    attempt: Attempt, call: Call, time_left_ms: int, links: PeerLinks
) -> Failure | None:
    """Query the same incarnation of a node; another one remembers no calls."""
    try:
        async with asyncio.timeout(time_left_ms / 1000):
            member = attempt.member
            link = await links.get(member.host, member.port)
            if isinstance(link, Failure) or link.peer != attempt.link.peer:
                return None
            outcome = await link.query_outcome(
                call.request.request_id, time_left_ms=time_left_ms
            )
    except TimeoutError:
        return None
    return None if outcome.reason == "peer_connection_broken" else outcome


def _failure_for_caller(outcome: Failure) -> Failure:
    if outcome.verdict is Verdict.RAN:
        return Failure(Verdict.RAN, _ANSWER_LOST, "the request ran, its answer is lost")
    return outcome
