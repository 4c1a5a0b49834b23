"""Tests of the order in which queued requests of different length get slots."""

import asyncio

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.limiter import SlotLimiter
from tests.support import async_test


class YieldingTest(testtools.TestCase):
    """Tests of long requests, which let others go first for a while."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.limiter = SlotLimiter(slots=1, clock=self.clock)
        self.served: list[str] = []

    async def _queue(self, name: str, **options: object) -> asyncio.Task:
        async def run() -> None:
            await self.limiter.acquire(workspace=name, deadline_s=60.0, **options)
            self.served.append(name)

        task = asyncio.create_task(run())
        await asyncio.sleep(0)
        return task

    async def _serve(self, tasks: list[asyncio.Task]) -> list[str]:
        """Release slots until all have been served, and return the order."""
        running = "first"
        for _ in tasks:
            self.limiter.release(running)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            running = self.served[-1]
        await asyncio.gather(*tasks)
        return self.served

    @async_test
    async def test_long_request_lets_short_ones_go_first(self) -> None:
        await self.limiter.acquire(workspace="first", deadline_s=60.0)
        tasks = [
            await self._queue("long", yields_until_s=5.0),
            await self._queue("short"),
        ]
        self.assertEqual(["short", "long"], await self._serve(tasks))

    @async_test
    async def test_long_request_that_waited_keeps_its_turn(self) -> None:
        # Guards against long requests that starve while short ones keep coming.
        await self.limiter.acquire(workspace="first", deadline_s=60.0)
        tasks = [
            await self._queue("long", yields_until_s=5.0),
            await self._queue("short"),
        ]
        self.clock.advance(6.0)
        self.assertEqual(["long", "short"], await self._serve(tasks))

    @async_test
    async def test_long_request_goes_before_lower_priorities(self) -> None:
        await self.limiter.acquire(workspace="first", deadline_s=60.0)
        tasks = [
            await self._queue("short", priority=2),
            await self._queue("long", priority=1, yields_until_s=5.0),
        ]
        self.assertEqual(["long", "short"], await self._serve(tasks))
