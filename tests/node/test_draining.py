"""Tests of the graceful stop of a node."""

import asyncio
from types import SimpleNamespace

import testtools

from burdockdock.clock import SystemClock
from burdockdock.node import draining
from burdockdock.node.draining import DrainTiming, drain
from tests.support import async_test

_TIMING = DrainTiming(notice_s=0.0, longest_s=30.0, last_calls_s=30.0)


class _Gate:
    """Notes what a stopping node tells its gate."""

    def __init__(self) -> None:
        self.draining = False
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
    return SimpleNamespace(open_calls=open_calls, draining=False, refusing=False)


class DrainTest(testtools.TestCase):
    """Tests of the order in which calls are served, finished and refused."""

    def setUp(self) -> None:
        super().setUp()
        # Only the end of the last call may begin the refusals.
        self.patch(draining, "_LAST_CALLS_S", 1e6)

    @async_test
    async def test_no_call_is_passed_on_once_the_last_one_ended(self) -> None:
        context, gate = _context(open_calls=1), _Gate()
        stopping = asyncio.create_task(
            drain(context, gate, _Callers(), timing=_TIMING, clock=SystemClock())
        )
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
        stopping = asyncio.create_task(
            drain(context, gate, _Callers(), timing=_TIMING, clock=SystemClock())
        )
        await asyncio.sleep(0.1)
        self.assertEqual((True, False), (context.draining, context.refusing))
        self.assertTrue(gate.draining)
        gate.idle.set()
        async with asyncio.timeout(20):
            await stopping
