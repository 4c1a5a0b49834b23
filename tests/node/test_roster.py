"""Tests of the discovery of starting nodes through the platform."""

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
    """Tests of concurrent starts, size limit, stale and malformed entries."""

    @async_test
    async def test_nodes_that_start_concurrently_form_a_connected_graph(self) -> None:
        for seed in range(20):
            platform = FakePlatform()
            rosters = _rosters(platform, 13, zones=3)
            random.Random(seed).shuffle(rosters)
            lists = await asyncio.gather(
                *(_register_and_list(roster) for roster in rosters)
            )
            found = dict(enumerate(lists))
            self.assertTrue(_is_connected(rosters, found), seed)

    @async_test
    async def test_the_roster_does_not_grow_with_the_fleet(self) -> None:
        platform = FakePlatform()
        for roster in _rosters(platform, 100, zones=1):
            await roster.register()
        addresses = await _rosters(platform, 101, zones=1)[-1].addresses()
        self.assertEqual(8, len(addresses))
        self.assertEqual(8, platform.writes)

    @async_test
    async def test_addresses_of_dead_members_are_replaced(self) -> None:
        platform = FakePlatform()
        rosters = _rosters(platform, 8, zones=1)
        for roster in rosters:
            await roster.register()
        live = [_member(i, "z0") for i in range(6, 12)]
        await rosters[0].renew(live)
        found = await rosters[0].addresses()
        self.assertEqual({(m.host, m.port) for m in live}, set(found))
        writes = platform.writes
        await rosters[0].renew(live)
        self.assertEqual(writes, platform.writes)

    @async_test
    async def test_unavailable_platform_is_a_failure_not_an_empty_roster(self) -> None:
        platform = FakePlatform()
        platform.down = True
        roster = _rosters(platform, 1, zones=1)[0]
        self.assertIsInstance(await roster.register(), Failure)
        self.assertIsInstance(await roster.addresses(), Failure)

    @async_test
    async def test_malformed_addresses_are_skipped(self) -> None:
        platform = FakePlatform()
        for i, addresses in enumerate(
            (None, 3, ["x"], [["h", "p"]], [["10.0.0.9", 1], 0])
        ):
            await platform.try_update(
                f"roster/z{i}", expected_version=0, value={"addresses": addresses}
            )
        found = await _rosters(platform, 1, zones=1)[0].addresses()
        self.assertEqual([("10.0.0.9", 1)], found)


async def _register_and_list(roster: Roster) -> list:
    await roster.register()
    return await roster.addresses()


def _is_connected(rosters: list[Roster], found: dict[int, list]) -> bool:
    """Return whether the graph of known addresses is connected."""
    index_by_address = {roster._own_address: i for i, roster in enumerate(rosters)}
    neighbours: dict[int, set[int]] = {i: set() for i in found}
    for i, addresses in found.items():
        for address in addresses:
            neighbours[i].add(index_by_address[address])
            neighbours[index_by_address[address]].add(i)
    reached, queue = {0}, [0]
    while queue:
        for i in neighbours[queue.pop()] - reached:
            reached.add(i)
            queue.append(i)
    return len(reached) == len(rosters)
