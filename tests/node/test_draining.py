"""Tests of the graceful stop of a node."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import testtools

from burdockdock.clock import SystemClock
from burdockdock.node import draining
from burdockdock.node.draining import DrainTiming, drain, drain_timing
from tests.support import async_test

_TIMING = DrainTiming(notice_s=0.0, answer_s=29.0, longest_s=30.0, last_calls_s=30.0)


class _Gate:
    """Notes what a stopping node tells its gate."""

    def __init__(self) -> None:
        self.draining = False
        self.running = 0
        self.idle = asyncio.Event()

    def start_draining(self) -> None:
        """Refuse new calls."""
        self.draining = True

    async def wait_idle(self) -> None:
        """Wait until no call runs."""
        await self.idle.wait()


class _Callers:
    """The server that takes callers' connections."""

    def stop(self) -> None:
        """Take no new connections."""


def _context(*, open_calls: int) -> SimpleNamespace:
    return SimpleNamespace(
        open_calls=open_calls, draining=False, refusing=False, may_wait=True
    )


async def _nothing_left() -> None:
    """Stand for answers that have all arrived."""


def _stopping(
    context: SimpleNamespace,
    gate: _Gate,
    *,
    finish: Callable[[], Awaitable[None]] = _nothing_left,
    timing: DrainTiming = _TIMING,
) -> asyncio.Task[None]:
    """Begin a graceful stop."""
    stop = drain(
        context, gate, _Callers(), finish=finish, timing=timing, clock=SystemClock()
    )
    return asyncio.create_task(stop)


class DrainTest(testtools.TestCase):
    """Tests of the order in which calls are served, finished and refused."""

    def setUp(self) -> None:
        super().setUp()
        # Only the end of the last call may begin the refusals.
        self.patch(draining, "_LAST_CALLS_S", 1e6)

    @async_test
    async def test_no_call_is_passed_on_once_the_last_one_ended(self) -> None:
        context, gate = _context(open_calls=1), _Gate()
        stopping = _stopping(context, gate)
        gate.idle.set()
        await asyncio.sleep(0.1)
        self.assertFalse(context.refusing)
        context.open_calls = 0
        async with asyncio.timeout(20):
            await stopping
        self.assertTrue(context.refusing)

    @async_test
    async def test_calls_on_kept_connections_are_served_until_then(self) -> None:
        context, gate = _context(open_calls=0), _Gate()
        stopping = _stopping(context, gate)
        await asyncio.sleep(0.1)
        self.assertEqual((True, False), (context.draining, context.refusing))
        self.assertTrue(gate.draining)
        gate.idle.set()
        async with asyncio.timeout(20):
            await stopping

    @async_test
    async def test_answers_to_other_nodes_have_left_before_the_close(self) -> None:
        context, gate = _context(open_calls=0), _Gate()
        left = asyncio.Event()
        stopping = _stopping(context, gate, finish=left.wait)
        gate.idle.set()
        await asyncio.sleep(0.2)
        self.assertFalse(stopping.done())
        left.set()
        async with asyncio.timeout(20):
            await stopping

    @async_test
    async def test_a_receiver_that_takes_nothing_does_not_hold_the_stop(self) -> None:
        context, gate = _context(open_calls=0), _Gate()
        gate.idle.set()
        timing = _TIMING._replace(longest_s=0.3)
        stopping = _stopping(context, gate, finish=asyncio.Event().wait, timing=timing)
        async with asyncio.timeout(20):
            await stopping
        self.assertTrue(context.refusing)

    @async_test
    async def test_calls_get_their_answers_before_the_close(self) -> None:
        context, gate = _context(open_calls=0), _Gate()
        gate.idle.set()
        clock = SystemClock()
        before_s = clock.monotonic()
        await _stopping(context, gate)
        self.assertTrue(before_s < context.answer_by_s < before_s + _TIMING.longest_s)

    @async_test
    async def test_calls_after_the_notice_take_a_free_slot_or_none(self) -> None:
        context, gate = _context(open_calls=0), _Gate()
        stopping = _stopping(context, gate)
        self.assertTrue(context.may_wait)
        await asyncio.sleep(0.1)
        self.assertFalse(context.may_wait)
        gate.idle.set()
        await stopping

    def test_the_notice_leaves_time_to_end_calls_in_a_short_grace_time(self) -> None:
        settings = SimpleNamespace(
            readiness=("h", 1), grace_period_s=3.0, drain_timeout_s=60.0
        )
        timing = drain_timing(settings)
        self.assertTrue(timing.notice_s < timing.answer_s < timing.longest_s < 3.0)
