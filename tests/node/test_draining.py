"""Tests of the graceful shutdown of a node."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.shutdown import ShutdownLimit
from burdockdock.node import draining
from burdockdock.node.draining import DrainTiming, drain, drain_timing
from tests.support import async_test

_TIMING = DrainTiming(
    notice_s=0.0, answer_timeout_s=29.0, shutdown_timeout_s=30.0, calls_timeout_s=30.0
)


class _FakeGate:
    """Records whether the gate was asked to drain."""

    def __init__(self) -> None:
        self.draining = False
        self.running = 0
        self.idle = asyncio.Event()

    def limit_to_shutdown(self, limit: ShutdownLimit) -> None:
        """Refuse calls that may take longer than the node runs."""

    def start_draining(self) -> None:
        """Refuse new calls."""
        self.draining = True

    async def wait_idle(self) -> None:
        """Wait until no call runs."""
        await self.idle.wait()


class _FakeCallerServer:
    """Fake of the HTTP server for callers."""

    def stop(self) -> None:
        """Accept no new connections."""


def _context(*, open_calls: int) -> SimpleNamespace:
    return SimpleNamespace(
        open_calls=open_calls, draining=False, refusing=False, may_wait=True
    )


async def _no_pending_answers() -> None:
    """Act as if all answers had been delivered."""


def _start_drain(
    context: SimpleNamespace,
    gate: _FakeGate,
    *,
    finish: Callable[[], Awaitable[None]] = _no_pending_answers,
    timing: DrainTiming = _TIMING,
) -> asyncio.Task[None]:
    """Start a graceful shutdown in the background."""
    draining_coroutine = drain(
        context,
        gate,
        _FakeCallerServer(),
        finish=finish,
        timing=timing,
        clock=SystemClock(),
    )
    return asyncio.create_task(draining_coroutine)


class DrainTest(testtools.TestCase):
    """Tests of when a node serves, finishes and refuses calls during a drain."""

    def setUp(self) -> None:
        super().setUp()
        # Disable the timer, so that only the end of the last call starts refusals.
        self.patch(draining, "_KEEPALIVE_CALLS_S", 1e6)

    @async_test
    async def test_refuses_calls_after_the_last_call_ended(self) -> None:
        context, gate = _context(open_calls=1), _FakeGate()
        drain_task = _start_drain(context, gate)
        gate.idle.set()
        await asyncio.sleep(0.1)
        self.assertFalse(context.refusing)
        context.open_calls = 0
        async with asyncio.timeout(20):
            await drain_task
        self.assertTrue(context.refusing)

    @async_test
    async def test_serves_keepalive_calls_until_the_last_call_ended(self) -> None:
        context, gate = _context(open_calls=0), _FakeGate()
        drain_task = _start_drain(context, gate)
        await asyncio.sleep(0.1)
        self.assertEqual((True, False), (context.draining, context.refusing))
        self.assertTrue(gate.draining)
        gate.idle.set()
        async with asyncio.timeout(20):
            await drain_task

    @async_test
    async def test_waits_for_answers_to_other_nodes(self) -> None:
        context, gate = _context(open_calls=0), _FakeGate()
        delivered = asyncio.Event()
        drain_task = _start_drain(context, gate, finish=delivered.wait)
        gate.idle.set()
        await asyncio.sleep(0.2)
        self.assertFalse(drain_task.done())
        delivered.set()
        async with asyncio.timeout(20):
            await drain_task

    @async_test
    async def test_unreachable_peer_does_not_block_the_shutdown(self) -> None:
        context, gate = _context(open_calls=0), _FakeGate()
        gate.idle.set()
        timing = _TIMING._replace(shutdown_timeout_s=0.3)
        drain_task = _start_drain(
            context, gate, finish=asyncio.Event().wait, timing=timing
        )
        async with asyncio.timeout(20):
            await drain_task
        self.assertTrue(context.refusing)

    @async_test
    async def test_answer_deadline_is_before_the_close(self) -> None:
        context, gate = _context(open_calls=0), _FakeGate()
        gate.idle.set()
        clock = SystemClock()
        before_s = clock.monotonic()
        await _start_drain(context, gate)
        self.assertTrue(
            before_s
            < context.shutdown.answer_by_s
            < before_s + _TIMING.shutdown_timeout_s
        )

    @async_test
    async def test_calls_do_not_queue_after_the_notice(self) -> None:
        context, gate = _context(open_calls=0), _FakeGate()
        drain_task = _start_drain(context, gate)
        self.assertTrue(context.may_wait)
        await asyncio.sleep(0.1)
        self.assertFalse(context.may_wait)
        gate.idle.set()
        await drain_task

    def test_notice_leaves_time_for_calls_in_a_short_grace_period(self) -> None:
        settings = SimpleNamespace(
            readiness=("h", 1), grace_period_s=3.0, drain_timeout_s=60.0
        )
        timing = drain_timing(settings)
        self.assertTrue(
            timing.notice_s < timing.answer_timeout_s < timing.shutdown_timeout_s < 3.0
        )
