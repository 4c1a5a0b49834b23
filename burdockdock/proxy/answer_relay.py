"""Waits for the answer of one attempt, and relays it to the caller."""

import asyncio

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.metrics import Metrics
from burdockdock.protocol.answer_heads import check_answer_head
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.attempt_results import DEADLINE_PASSED, log_aborted_answer
from burdockdock.proxy.attempts import Attempt
from burdockdock.proxy.call import Call, Caller
from burdockdock.proxy.remote_call import RemoteCall

# Grace period after the deadline in which the remote node can still report that it
# ended the answer.
_ANSWER_END_GRACE_S = 0.25


async def wait_for_head(
    remote: RemoteCall, call: Call, *, clock: Clock
) -> AnswerHead | Failure:
    """Wait for the head of an answer until the call's deadline.

    A gate checks it, but one of an earlier release passes on malformed heads.
    """
    left_s = call.deadline_s - clock.monotonic()
    try:
        async with asyncio.timeout(left_s):
            head = await remote.head()
    except TimeoutError:
        return Failure(Verdict.MAY_HAVE_RUN, DEADLINE_PASSED)
    if isinstance(head, Failure):
        return head
    malformed = check_answer_head(head)
    return head if malformed is None else malformed


async def relay_answer(
    attempt: Attempt,
    call: Call,
    head: AnswerHead,
    caller: Caller,
    *,
    clock: Clock,
    metrics: Metrics,
) -> int:
    """Relay an answer; abort it visibly if the rest does not arrive.

    :returns: how many bytes of its body came after its head.
    """
    # A part of a body stays in the window until the caller's connection takes it.
    body = attempt.remote.take_body() if head.end else b""
    size_bytes = len(body)
    await caller.send_head(head, body)
    while True:
        chunk = await _next_chunk(attempt.remote, call, clock)
        if isinstance(chunk, Failure):
            metrics.count("answers_broken_off", label=chunk.reason)
            log_aborted_answer(
                call.request,
                attempt.member.node_id,
                chunk,
                left_ms=call.time_left_ms(clock.monotonic()),
            )
            caller.abort()
            return size_bytes
        if chunk is None:
            caller.finish()
            return size_bytes
        size_bytes += len(chunk)
        await caller.send_body(chunk)


async def _next_chunk(
    remote: RemoteCall, call: Call, clock: Clock
) -> bytes | Failure | None:
    """Wait for the next chunk of an answer; its node ends it by the deadline."""
    if remote.body_arrived:
        return await remote.read_body()
    left_s = call.deadline_s - clock.monotonic()
    try:
        async with asyncio.timeout(max(0.0, left_s) + _ANSWER_END_GRACE_S):
            return await remote.read_body()
    except TimeoutError:
        return Failure(Verdict.RAN, "answer_stopped")
