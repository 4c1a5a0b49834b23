"""Graceful shutdown of a node: finish the calls in flight, refuse the others."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.shutdown import ShutdownLimit
from burdockdock.gate.gate import Gate
from burdockdock.logs import log_event
from burdockdock.node.settings import NodeSettings
from burdockdock.proxy.context import CallContext
from burdockdock.proxy.listener import CallerServer

# Time for the membership change to reach the other nodes.
_GOSSIP_NOTICE_S = 1.0
# A client that polls readiness once a second stops sending calls after two failures.
_READINESS_NOTICE_S = 3.0
# How long before the end of the notice calls are refused unless they can use all of
# their time before the node stops. It covers a signal that is handled late.
_WHOLE_TIME_LEAD_S = 0.5
# How long calls on open keep-alive connections are still served after the listener
# has stopped accepting new connections.
_KEEPALIVE_CALLS_S = 1.0
# Part of the grace period that is reserved for closing all connections.
_CLOSE_RESERVE_S = 0.5
# Time between the deadline of the last answers and the close, for their delivery.
_ANSWER_DELIVERY_S = 0.4
_OPEN_CALLS_POLL_S = 0.02
# Largest share of a short grace period that the notice may use.
_MAX_NOTICE_SHARE = 0.6
# Enough to send the largest flow-control window of answers over a slow link to a peer.
_PEER_ANSWERS_TIMEOUT_S = 1.5
# Wait for the refusals of calls that arrive while the node is about to close.
_LATE_REFUSALS_WAIT_S = 0.05


class DrainTiming(NamedTuple):
    """Phases of a graceful shutdown, in seconds.

    :param notice_s: time until callers and nodes know about the shutdown; calls still
        arrive and are served.
    :param answer_timeout_s: time from the stop signal until every call is answered.
    :param shutdown_timeout_s: time from the stop signal until connections are closed.
    :param calls_timeout_s: longest time the remaining calls may take after the notice.
    """

    notice_s: float
    answer_timeout_s: float
    shutdown_timeout_s: float
    calls_timeout_s: float


def drain_timing(settings: NodeSettings) -> DrainTiming:
    """Return the shutdown phases for a node's settings."""
    readiness_served = settings.readiness[1] > 0
    shutdown_timeout_s = (settings.grace_period_s or float("inf")) - _CLOSE_RESERVE_S
    notice_s = _READINESS_NOTICE_S if readiness_served else _GOSSIP_NOTICE_S
    return DrainTiming(
        notice_s=min(notice_s, shutdown_timeout_s * _MAX_NOTICE_SHARE),
        answer_timeout_s=shutdown_timeout_s - _ANSWER_DELIVERY_S,
        shutdown_timeout_s=shutdown_timeout_s,
        calls_timeout_s=settings.drain_timeout_s,
    )


async def drain(
    context: CallContext,
    gate: Gate,
    caller_server: CallerServer,
    *,
    finish: Callable[[], Awaitable[None]],
    timing: DrainTiming,
    clock: Clock,
) -> None:
    """Ask callers to use other nodes, then finish the calls in flight.

    :param caller_server: HTTP server that accepts callers' connections.
    :param finish: waits until the answers to other nodes' calls are delivered.
    """
    started_s = clock.monotonic()
    log_event("node.draining", calls=context.open_calls)
    context.shutdown = ShutdownLimit(
        whole_time_from_s=started_s + timing.notice_s - _WHOLE_TIME_LEAD_S,
        answer_by_s=started_s + timing.answer_timeout_s,
    )
    context.draining = True
    gate.limit_to_shutdown(
        context.shutdown._replace(whole_time_from_s=started_s + _GOSSIP_NOTICE_S)
    )
    await asyncio.sleep(timing.notice_s)
    caller_server.stop()
    gate.start_draining()
    context.may_wait = False
    loop = asyncio.get_running_loop()
    loop.call_later(_KEEPALIVE_CALLS_S, _start_refusing, context)
    remaining_s = timing.shutdown_timeout_s - (clock.monotonic() - started_s)
    timeout_s = max(0.0, min(timing.calls_timeout_s, remaining_s))
    try:
        async with asyncio.timeout(timeout_s):
            await gate.wait_idle()
            await _wait_for_answers(context)
            # The close would cut off a call that is read from now on, so it is refused
            # and not forwarded.
            _start_refusing(context)
            await asyncio.sleep(_LATE_REFUSALS_WAIT_S)
            await _wait_for_answers(context)
            await _finish_peer_answers(finish)
    except TimeoutError:
        _start_refusing(context)
        log_event(
            "node.drain_timeout", calls=context.open_calls, gate_calls=gate.running
        )


async def _finish_peer_answers(finish: Callable[[], Awaitable[None]]) -> None:
    """Deliver answers to other nodes; an unreachable node can't block the shutdown."""
    try:
        async with asyncio.timeout(_PEER_ANSWERS_TIMEOUT_S):
            await finish()
    except TimeoutError:
        log_event("node.answers_not_taken", waited_s=_PEER_ANSWERS_TIMEOUT_S)


async def _wait_for_answers(context: CallContext) -> None:
    while context.open_calls:
        await asyncio.sleep(_OPEN_CALLS_POLL_S)


def _start_refusing(context: CallContext) -> None:
    context.refusing = True
