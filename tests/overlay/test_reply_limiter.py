"""Tests of the limit on concurrent large replies."""

import asyncio

import testtools

from burdockdock.overlay.reply_limiter import Peer, ReplyLimiter
from tests.virtual_time import run_virtually


async def _settle() -> None:
    """Let ready tasks run."""
    for _ in range(5):
        await asyncio.sleep(0)


def _peer(node_id: str, zone: str = "z") -> Peer:
    return Peer(node_id, zone)


async def _full_limiter() -> ReplyLimiter:
    """Return a limiter whose slots are held by "a" and "b"."""
    slots = ReplyLimiter()
    await slots.acquire(_peer("a"))
    await slots.acquire(_peer("b"))
    return slots


class ReplyLimiterTest(testtools.TestCase):
    """Tests of which peers get a slot and which are redirected."""

    def test_peer_without_slot_waits(self) -> None:
        async def check() -> None:
            slots = ReplyLimiter()
            self.assertIsNone(await slots.acquire(_peer("a")))
            self.assertIsNone(await slots.acquire(_peer("b")))
            third = asyncio.ensure_future(slots.acquire(_peer("c")))
            await _settle()
            self.assertFalse(third.done())
            slots.release(_peer("a"), delivered=False)
            self.assertIsNone(await third)

        run_virtually(check())

    def test_new_source_goes_to_last_waiters_of_its_zone(self) -> None:
        async def check() -> None:
            slots = await _full_limiter()
            asked = [_peer("c"), _peer("d", "y"), _peer("e"), _peer("f")]
            waiting = [asyncio.ensure_future(slots.acquire(peer)) for peer in asked]
            await _settle()
            slots.release(_peer("a"), delivered=True)
            await _settle()
            # The first in line gets a slot and two of the same zone the new source.
            self.assertIsNone(waiting[0].result())
            self.assertFalse(waiting[1].done())
            self.assertEqual(["a", "a"], [task.result() for task in waiting[2:]])
            waiting[1].cancel()

        run_virtually(check())

    def test_cancelled_waiter_leaves_the_queue(self) -> None:
        async def check() -> None:
            slots = await _full_limiter()
            third = asyncio.ensure_future(slots.acquire(_peer("c")))
            await _settle()
            third.cancel()
            await _settle()
            self.assertEqual(0, slots.waiting)
            slots.release(_peer("a"), delivered=False)
            self.assertIsNone(await slots.acquire(_peer("d")))

        run_virtually(check())

    def test_waiter_cancelled_with_a_slot_releases_it(self) -> None:
        async def check() -> None:
            slots = await _full_limiter()
            third = asyncio.ensure_future(slots.acquire(_peer("c")))
            await _settle()
            slots.release(_peer("a"), delivered=False)
            third.cancel()
            await _settle()
            self.assertIsNone(await slots.acquire(_peer("d")))

        run_virtually(check())

    def test_waiting_peers_are_limited(self) -> None:
        async def check() -> None:
            slots = ReplyLimiter()
            waiting = [
                asyncio.ensure_future(slots.acquire(_peer(str(i)))) for i in range(100)
            ]
            await _settle()
            refused = [task for task in waiting if task.done() and task.result() == ""]
            self.assertEqual(100 - 2 - slots.waiting, len(refused))
            self.assertEqual(64, slots.waiting)
            for task in waiting:
                task.cancel()

        run_virtually(check())

    def test_cancelled_waiter_gets_no_slot(self) -> None:
        async def check() -> None:
            slots = await _full_limiter()
            third = asyncio.ensure_future(slots.acquire(_peer("c")))
            await _settle()
            third.cancel()
            slots.release(_peer("a"), delivered=True)
            await _settle()
            self.assertIsNone(await slots.acquire(_peer("d")))

        run_virtually(check())
