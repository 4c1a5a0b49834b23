"""Tests of standbys that watch the platform in place of relays that fell silent."""

import asyncio

import testtools

from tests.node.relay_fleet import RelayFleet
from tests.virtual_time import run_virtually

# From the acceptance of a version until every node has to apply it.
_APPLY_LIMIT_S = 2.0
# Left for spreading the version, and for applying it.
_SPREAD_S = 0.5
_FLEET_SIZES = (13, 19, 60, 300)
# The detector of failures has replaced relays that were killed by then.
_REPLACED_S = 6.0


class RelayBeatsTest(testtools.TestCase):
    """Tests of takeovers, and of what they cost the platform."""

    def test_version_is_read_in_time_after_all_relays_were_killed(self) -> None:
        # Guards against calm nodes on an older version while the relays are down.
        for count in _FLEET_SIZES:
            for seed in range(8):
                run_virtually(self._kill_relays(count, seed))

    async def _kill_relays(self, count: int, seed: int) -> None:
        fleet = RelayFleet(count, seed=seed)
        await asyncio.sleep(fleet.rng.uniform(10, 20))
        fleet.kill(fleet.relays)
        await asyncio.sleep(fleet.rng.choice((0.0, 0.3, 0.7, 1.5)))
        await self._check_read_in_time(fleet)
        self.assertLessEqual(len(fleet.stand_ins), 6)
        fleet.close()

    def test_version_is_read_in_time_after_half_a_fleet_was_killed(self) -> None:
        for count in _FLEET_SIZES:
            for seed in range(8):
                run_virtually(self._kill_half(count, seed))

    async def _kill_half(self, count: int, seed: int) -> None:
        fleet = RelayFleet(count, seed=seed)
        await asyncio.sleep(fleet.rng.uniform(10, 20))
        killed = fleet.rng.sample(range(count), int(0.55 * count))
        fleet.kill(killed + fleet.relays)
        if any(node.is_running for node in fleet.nodes.values()):
            await self._check_read_in_time(fleet)
        fleet.close()

    def test_version_is_read_in_time_when_successors_are_killed_too(self) -> None:
        for seed in range(8):
            run_virtually(self._kill_in_series(seed))

    async def _kill_in_series(self, seed: int) -> None:
        fleet = RelayFleet(19, seed=seed)
        await asyncio.sleep(10)
        fleet.kill(fleet.relays)
        for _ in range(3):
            while not fleet.stand_ins:
                await asyncio.sleep(0.01)
            await asyncio.sleep(fleet.rng.uniform(0.0, 0.5))
            fleet.kill(fleet.stand_ins)
        await self._check_read_in_time(fleet)
        fleet.close()

    def test_relays_whose_messages_are_lost_are_replaced(self) -> None:
        run_virtually(self._mute_relays())

    async def _mute_relays(self) -> None:
        fleet = RelayFleet(13)
        await asyncio.sleep(10)
        fleet.muted.update(fleet.relays)
        await asyncio.sleep(_APPLY_LIMIT_S - _SPREAD_S)
        self.assertTrue(fleet.stand_ins)
        fleet.muted.clear()
        await asyncio.sleep(_REPLACED_S)
        self.assertEqual([], fleet.stand_ins)
        fleet.close()

    def test_standbys_that_cannot_reach_the_platform_hold_no_other_up(self) -> None:
        for seed in range(8):
            run_virtually(self._cut_first_standbys_off(seed))

    async def _cut_first_standbys_off(self, seed: int) -> None:
        fleet = RelayFleet(60, seed=seed)
        await asyncio.sleep(fleet.rng.uniform(10, 20))
        fleet.cut_off.update(fleet.standbys[:4])
        fleet.kill(fleet.relays)
        await self._check_read_in_time(fleet)
        fleet.close()

    def test_no_more_calls_than_before_on_lossy_links(self) -> None:
        # Guards against standbys that watch for good because single beats are lost.
        for count in _FLEET_SIZES:
            calls_per_s = []
            for loss in (0.0, 0.3):
                run_virtually(self._count_calls(count, loss, calls_per_s))
            quiet, lossy = calls_per_s
            self.assertLessEqual(lossy, 1.1 * quiet)

    async def _count_calls(
        self, count: int, loss: float, calls_per_s: list[float]
    ) -> None:
        fleet = RelayFleet(count)
        fleet.loss = loss
        await asyncio.sleep(10)
        calls_before = fleet.store.call_count
        await asyncio.sleep(60)
        calls_per_s.append((fleet.store.call_count - calls_before) / 60)
        fleet.close()

    def test_few_nodes_ask_a_store_that_is_away(self) -> None:
        for count in _FLEET_SIZES:
            run_virtually(self._lose_the_store(count))

    async def _lose_the_store(self, count: int) -> None:
        fleet = RelayFleet(count)
        await asyncio.sleep(10)
        fleet.store.is_away = True
        await asyncio.sleep(20)
        self.assertEqual([], fleet.stand_ins)
        lost = [node.membership.own.platform_lost for node in fleet.nodes.values()]
        self.assertLessEqual(sum(lost), 20)
        fleet.store.is_away = False
        await self._check_read_in_time(fleet)
        fleet.close()

    async def _check_read_in_time(self, fleet: RelayFleet) -> None:
        fleet.store.put()
        accepted_s = asyncio.get_running_loop().time()
        await asyncio.sleep(_REPLACED_S)
        read_s = fleet.read_s.get(fleet.store.version, float("inf"))
        self.assertLessEqual(read_s - accepted_s, _APPLY_LIMIT_S - _SPREAD_S)
