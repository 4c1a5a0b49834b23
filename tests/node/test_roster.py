"""Tests of how starting nodes find each other through the platform."""

import asyncio
import random

import testtools

from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure
from burdockdock.node.roster import Roster
from tests.support import FakePlatform, async_test


def _member(i: int, zone: str) -> Member:
    return Member(f"n{i}", f"10.0.0.{i}", 7000, "r", zone, 1)


def _rosters(platform: FakePlatform, count: int, *, zones: int) -> list[Roster]:
    return [
        Roster(platform, own=_member(i, f"z{i % zones}"), rng=random.Random(i))
        for i in range(count)
    ]


class RosterTest(testtools.TestCase):
    """Tests of an empty store, many starts at once, and entries of the dead."""

    @async_test
    async def test_all_that_start_at_once_are_connected(self) -> None:
        for seed in range(20):
            platform = FakePlatform()
            rosters = _rosters(platform, 13, zones=3)
            random.Random(seed).shuffle(rosters)
            lists = await asyncio.gather(*(_start(roster) for roster in rosters))
            found = dict(enumerate(lists))
            self.assertTrue(_is_connected(rosters, found), seed)

    @async_test
    async def test_the_roster_does_not_grow_with_the_fleet(self) -> None:
        platform = FakePlatform()
        for roster in _rosters(platform, 100, zones=1):
            await roster.enter()
        addresses = await _rosters(platform, 101, zones=1)[-1].addresses()
        self.assertEqual(8, len(addresses))
        self.assertEqual(8, platform.writes)

    @async_test
    async def test_addresses_of_the_dead_are_replaced_by_live_ones(self) -> None:
        platform = FakePlatform()
        rosters = _rosters(platform, 8, zones=1)
        for roster in rosters:
            await roster.enter()
        live = [_member(i, "z0") for i in range(6, 12)]
        await rosters[0].renew(live)
        found = await rosters[0].addresses()
        self.assertEqual({(m.host, m.port) for m in live}, set(found))
        writes = platform.writes
        await rosters[0].renew(live)
        self.assertEqual(writes, platform.writes)

    @async_test
    async def test_a_store_that_is_away_is_a_failure_not_an_empty_roster(self) -> None:
        platform = FakePlatform()
        platform.down = True
        roster = _rosters(platform, 1, zones=1)[0]
        self.assertIsInstance(await roster.enter(), Failure)
        self.assertIsInstance(await roster.addresses(), Failure)

    @async_test
    async def test_entries_that_are_no_addresses_are_left_out(self) -> None:
        platform = FakePlatform()
        for i, odd in enumerate((None, 3, ["x"], [["h", "p"]], [["10.0.0.9", 1], 0])):
            await platform.try_update(
                f"roster/z{i}", expected_version=0, value={"addresses": odd}
            )
        found = await _rosters(platform, 1, zones=1)[0].addresses()
        self.assertEqual([("10.0.0.9", 1)], found)


async def _start(roster: Roster) -> list:
    await roster.enter()
    return await roster.addresses()


def _is_connected(rosters: list[Roster], found: dict[int, list]) -> bool:
    """Tell whether knowing each other leads from every node to every other."""
    places = {roster._own: i for i, roster in enumerate(rosters)}
    neighbours: dict[int, set[int]] = {i: set() for i in found}
    for i, addresses in found.items():
        for address in addresses:
            neighbours[i].add(places[address])
            neighbours[places[address]].add(i)
    seen, queue = {0}, [0]
    while queue:
        for i in neighbours[queue.pop()] - seen:
            seen.add(i)
            queue.append(i)
    return len(seen) == len(rosters)
