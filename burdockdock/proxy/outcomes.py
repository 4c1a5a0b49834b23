"""What became of a call whose connection to another node broke."""

import asyncio

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.attempts import Attempt
from burdockdock.proxy.call import Call
from burdockdock.proxy.peer_link import PeerLinks

_OUTCOME_INTERVAL_S = 0.02
_ANSWER_LOST = "answer_lost"


async def settle(
    attempt: Attempt,
    call: Call,
    failure: Failure,
    *,
    links: PeerLinks,
    clock: Clock,
) -> Failure:
    """Find out what became of a call whose connection broke."""
    if failure.reason != "peer_connection_broken" or call.request.idempotent:
        return failure
    while (left_ms := call.left_ms(clock.monotonic())) > 0:
        outcome = await _ask_outcome(attempt, call, left_ms, links)
        if outcome is None:
            return failure
        if outcome.reason != "running":
            return _as_told_to_caller(outcome)
        await asyncio.sleep(_OUTCOME_INTERVAL_S)
    return failure


async def _ask_outcome(
    attempt: Attempt, call: Call, left_ms: int, links: PeerLinks
) -> Failure | None:
    """Ask the same incarnation of a node; another one knows nothing."""
    try:
        async with asyncio.timeout(left_ms / 1000):
            member = attempt.member
            link = await links.get(member.host, member.port)
            if isinstance(link, Failure) or link.peer != attempt.link.peer:
                return None
            outcome = await link.query_outcome(
                call.request.request_id, time_left_ms=left_ms
            )
    except TimeoutError:
        return None
    return None if outcome.reason == "peer_connection_broken" else outcome


def _as_told_to_caller(outcome: Failure) -> Failure:
    if outcome.verdict is Verdict.RAN:
        return Failure(Verdict.RAN, _ANSWER_LOST, "the request ran, its answer is lost")
    return outcome
