"""The graceful stop of a node: no call is cut, and none is taken that can't end."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.httpserver import HTTPServer

from burdockdock.clock import Clock
from burdockdock.gate.gate import Gate
from burdockdock.logs import log_event
from burdockdock.node.settings import NodeSettings
from burdockdock.proxy.context import CallContext

# What other nodes need to hear of it.
_LEAVE_SPREAD_S = 1.0
# Those who ask for readiness once a second send no new calls after two misses.
_LEAVE_READINESS_S = 3.0
# Calls that arrive on kept connections are still taken for this long.
_LAST_CALLS_S = 1.0
# What closing takes, before the kill.
_CLOSE_S = 0.5
# What the last answers take on their way, before the close.
_LAST_ANSWERS_S = 0.4
_POLL_S = 0.02
# Where the grace time is short, the share of it that the notice takes.
_MOST_OF_NOTICE = 0.6
# What the largest window of answers takes on a slow way to another node.
_FINISH_S = 1.5
# Calls that crossed the close still get their refusals within this.
_LAST_REFUSALS_S = 0.05


class DrainTiming(NamedTuple):
    """Times of a graceful stop.

    :param notice_s: until everyone knows; calls still arrive and are served.
    :param answer_s: from the stop signal until every call has its answer.
    :param longest_s: from the stop signal to the close.
    :param last_calls_s: how long the calls left may take after the notice.
    """

    notice_s: float
    answer_s: float
    longest_s: float
    last_calls_s: float


def drain_timing(settings: NodeSettings) -> DrainTiming:
    """Return the times for a node's settings."""
    asked = settings.readiness[1] > 0
    longest_s = (settings.grace_period_s or float("inf")) - _CLOSE_S
    notice_s = _LEAVE_READINESS_S if asked else _LEAVE_SPREAD_S
    return DrainTiming(
        notice_s=min(notice_s, longest_s * _MOST_OF_NOTICE),
        answer_s=longest_s - _LAST_ANSWERS_S,
        longest_s=longest_s,
        last_calls_s=settings.drain_timeout_s,
    )


async def drain(
    context: CallContext,
    gate: Gate,
    callers: HTTPServer,
    *,
    finish: Callable[[], Awaitable[None]],
    timing: DrainTiming,
    clock: Clock,
) -> None:
    """Send callers elsewhere, then finish the calls that this node has.

    :param callers: the server that takes callers' connections.
    :param finish: waits until other nodes have the answers to their calls.
    """
    started_s = clock.monotonic()
    log_event("node.draining", calls=context.open_calls)
    context.answer_by_s = started_s + timing.answer_s
    context.draining = True
    await asyncio.sleep(timing.notice_s)
    callers.stop()
    gate.start_draining()
    context.may_wait = False
    loop = asyncio.get_running_loop()
    loop.call_later(_LAST_CALLS_S, _refuse_calls, context)
    left_s = timing.longest_s - (clock.monotonic() - started_s)
    timeout_s = max(0.0, min(timing.last_calls_s, left_s))
    try:
        async with asyncio.timeout(timeout_s):
            await gate.wait_idle()
            await _wait_for_answers(context)
            # A call that is read from now on would be cut by the close: it gets its
            # refusal, and is passed on to nobody.
            _refuse_calls(context)
            await asyncio.sleep(_LAST_REFUSALS_S)
            await _wait_for_answers(context)
            await _finish_in_time(finish)
    except TimeoutError:
        _refuse_calls(context)
        log_event(
            "node.drain_timeout", calls=context.open_calls, gate_calls=gate.running
        )


async def _finish_in_time(finish: Callable[[], Awaitable[None]]) -> None:
    """Let other nodes take their answers; one that is gone holds nobody up."""
    try:
        async with asyncio.timeout(_FINISH_S):
            await finish()
    except TimeoutError:
        log_event("node.answers_not_taken", waited_s=_FINISH_S)


async def _wait_for_answers(context: CallContext) -> None:
    while context.open_calls:
        await asyncio.sleep(_POLL_S)


def _refuse_calls(context: CallContext) -> None:
    context.refusing = True
