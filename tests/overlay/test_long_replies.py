"""Tests of the places for long replies."""

import asyncio

import testtools

from burdockdock.overlay.long_replies import LongReplies, Peer
from tests.virtual_time import run_virtually


async def _settle() -> None:
    """Let tasks that can go on do so."""
    for _ in range(5):
        await asyncio.sleep(0)


def _peer(node_id: str, zone: str = "z") -> Peer:
    return Peer(node_id, zone)


async def _taken_places() -> LongReplies:
    """Return places that "a" and "b" hold."""
    places = LongReplies()
    await places.begin(_peer("a"))
    await places.begin(_peer("b"))
    return places


class LongRepliesTest(testtools.TestCase):
    """Tests of who gets a place, and who is sent on."""

    def test_who_finds_no_place_waits_for_one(self) -> None:
        async def check() -> None:
            places = LongReplies()
            self.assertIsNone(await places.begin(_peer("a")))
            self.assertIsNone(await places.begin(_peer("b")))
            third = asyncio.ensure_future(places.begin(_peer("c")))
            await _settle()
            self.assertFalse(third.done())
            places.end(_peer("a"), taken=False)
            self.assertIsNone(await third)

        run_virtually(check())

    def test_who_has_its_reply_is_named_to_those_who_wait_longest_yet(self) -> None:
        async def check() -> None:
            places = await _taken_places()
            asked = [_peer("c"), _peer("d", "y"), _peer("e"), _peer("f")]
            waiting = [asyncio.ensure_future(places.begin(peer)) for peer in asked]
            await _settle()
            places.end(_peer("a"), taken=True)
            await _settle()
            # The first in line gets the place, two of the same zone the new source.
            self.assertIsNone(waiting[0].result())
            self.assertFalse(waiting[1].done())
            self.assertEqual(["a", "a"], [task.result() for task in waiting[2:]])
            waiting[1].cancel()

        run_virtually(check())

    def test_a_waiter_that_gives_up_leaves_no_place_taken(self) -> None:
        async def check() -> None:
            places = await _taken_places()
            third = asyncio.ensure_future(places.begin(_peer("c")))
            await _settle()
            third.cancel()
            await _settle()
            self.assertEqual(0, places.waiting)
            places.end(_peer("a"), taken=False)
            self.assertIsNone(await places.begin(_peer("d")))

        run_virtually(check())

    def test_a_waiter_that_gives_up_with_its_place_gives_it_back(self) -> None:
        async def check() -> None:
            places = await _taken_places()
            third = asyncio.ensure_future(places.begin(_peer("c")))
            await _settle()
            places.end(_peer("a"), taken=False)
            third.cancel()
            await _settle()
            self.assertIsNone(await places.begin(_peer("d")))

        run_virtually(check())

    def test_those_who_wait_are_bounded(self) -> None:
        async def check() -> None:
            places = LongReplies()
            waiting = [
                asyncio.ensure_future(places.begin(_peer(str(i)))) for i in range(100)
            ]
            await _settle()
            refused = [task for task in waiting if task.done() and task.result() == ""]
            self.assertEqual(100 - 2 - places.waiting, len(refused))
            self.assertEqual(64, places.waiting)
            for task in waiting:
                task.cancel()

        run_virtually(check())

    def test_a_place_goes_past_a_waiter_that_is_being_cancelled(self) -> None:
        async def check() -> None:
            places = await _taken_places()
            third = asyncio.ensure_future(places.begin(_peer("c")))
            await _settle()
            third.cancel()
            places.end(_peer("a"), taken=True)
            await _settle()
            self.assertIsNone(await places.begin(_peer("d")))

        run_virtually(check())
