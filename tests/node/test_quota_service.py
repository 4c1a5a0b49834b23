"""Tests of single faults in a small fleet that shares quotas, in virtual time."""

import asyncio
import random
from collections.abc import Callable, Iterable
from types import SimpleNamespace

import testtools

from burdockdock.coordination.quota import QuotaLimit
from burdockdock.coordination.verdict import Failure
from tests.node.quota_fleet import Admission, SimulatedFleet, tolerance_used
from tests.virtual_time import run_virtually

_WORKSPACE = "w"
_WARM_UP_S = 3.0


def _run(
    limit: QuotaLimit,
    *,
    requests_per_s: float,
    duration_s: float = 12.0,
    nodes: int = 12,
    seed: int = 1,
    faults: Callable[[SimulatedFleet], None] = lambda fleet: None,
) -> SimulatedFleet:
    """Run a fleet under a load spread over all nodes, and return it afterwards."""
    fleets: list[SimulatedFleet] = []

    async def run() -> None:
        fleet = SimulatedFleet(nodes=nodes, limits={_WORKSPACE: limit}, seed=seed)
        fleets.append(fleet)
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        now_s = 0.0
        while now_s < duration_s:
            now_s += rng.expovariate(requests_per_s)
            node_id = rng.choice(list(fleet.nodes))
            loop.call_at(now_s, fleet.start_request, _WORKSPACE, node_id)
        faults(fleet)
        await asyncio.sleep(duration_s + 1.0)
        fleet.close()

    run_virtually(run())
    return fleets[0]


def _between(
    fleet: SimulatedFleet, start_s: float, end_s: float = 99.0
) -> list[Admission]:
    return [a for a in fleet.admissions if start_s <= a.arrived_s < end_s]


def _admitted(admissions: Iterable[Admission]) -> float:
    results = [a.failure is None for a in admissions]
    return sum(results) / len(results)


def _at(time_s: float, function: Callable[..., object], *arguments: object) -> None:
    asyncio.get_running_loop().call_at(time_s, function, *arguments)


class QuotaServiceTest(testtools.TestCase):
    """Tests of what callers get, and of the bound."""

    def _assert_within_bound(self, fleet: SimulatedFleet) -> None:
        used, _, ended_s = tolerance_used(fleet.admissions, fleet.limits, fleet.bounds)
        self.assertLessEqual(used, 1, ended_s)

    def test_a_thin_workspace_is_not_hoarded(self) -> None:
        """Guards against nodes that hold tokens which others need."""
        limit = QuotaLimit(2.0, 6.0)
        fleet = _run(limit, requests_per_s=1.2, nodes=80, duration_s=40.0)
        self.assertGreaterEqual(_admitted(_between(fleet, _WARM_UP_S)), 0.95)
        self._assert_within_bound(fleet)

    def test_a_hot_workspace_asks_a_few_times_a_second(self) -> None:
        """Guards against a datagram for each refused request."""
        fleet = _run(QuotaLimit(60.0, 30.0), requests_per_s=1200, duration_s=8.0)
        asks = sum(node.counters["quota_asks"] for node in fleet.nodes.values())
        self.assertLess(asks / 12 / 8.0, 10)
        self.assertGreaterEqual(
            sum(a.failure is None for a in _between(fleet, _WARM_UP_S)), 0.95 * 5 * 60
        )
        self._assert_within_bound(fleet)

    def test_refusals_are_immediate(self) -> None:
        """Guards against callers over the quota that are held."""
        fleet = _run(QuotaLimit(60.0, 30.0), requests_per_s=600, duration_s=6.0)
        waits = sorted(
            a.ended_s - a.arrived_s for a in fleet.admissions if a.failure is not None
        )
        self.assertEqual(0, waits[len(waits) // 2])
        self.assertLess(waits[-1], 0.2)

    def test_a_lowered_limit_holds(self) -> None:
        """Guards against tokens and bursts of the older version."""
        low = QuotaLimit(20.0, 5.0)

        def lower(fleet: SimulatedFleet) -> None:
            _at(6.0, fleet.limits.update, {_WORKSPACE: low})

        fleet = _run(QuotaLimit(100.0, 100.0), requests_per_s=300, faults=lower)
        later = _between(fleet, 6.3)
        used, _, _ = tolerance_used(later, {_WORKSPACE: low}, fleet.bounds)
        self.assertLessEqual(used, 1)

    def test_a_raised_limit_is_used(self) -> None:
        """Guards against a bucket that keeps the rate at which it was made."""
        high = QuotaLimit(100.0, 20.0)

        def rise(fleet: SimulatedFleet) -> None:
            _at(6.0, fleet.limits.update, {_WORKSPACE: high})

        fleet = _run(QuotaLimit(10.0, 5.0), requests_per_s=60, faults=rise)
        self.assertGreaterEqual(_admitted(_between(fleet, 7.0)), 0.95)

    def test_a_planned_stop_of_the_grantor_costs_little(self) -> None:
        """Guards against refusals at each upgrade."""

        def leave(fleet: SimulatedFleet) -> None:
            grantor = fleet.grantor_of(_WORKSPACE)
            _at(5.0, fleet.leave, grantor)
            _at(6.0, fleet.kill, grantor)

        fleet = _run(QuotaLimit(100.0, 50.0), requests_per_s=60, faults=leave)
        self.assertGreaterEqual(_admitted(_between(fleet, 5.0, 8.0)), 0.95)
        self._assert_within_bound(fleet)

    def test_the_deputy_grants_while_the_grantor_is_dead(self) -> None:
        """Guards against refusals until a dead grantor is found, some 6 s later."""

        def kill(fleet: SimulatedFleet) -> None:
            _at(5.0, fleet.kill, fleet.grantor_of(_WORKSPACE))

        fleet = _run(QuotaLimit(100.0, 50.0), requests_per_s=60, faults=kill)
        self.assertGreaterEqual(_admitted(_between(fleet, 5.0, 11.0)), 0.5)
        self._assert_within_bound(fleet)

    def test_a_grantor_that_was_stopped_starts_without_tokens(self) -> None:
        """Guards against a full bucket beside what others granted meanwhile."""

        def stop(fleet: SimulatedFleet) -> None:
            node = fleet.nodes[fleet.grantor_of(_WORKSPACE)]
            _at(5.0, node.task.cancel)

        limit = QuotaLimit(10.0, 50.0)
        fleet = _run(limit, requests_per_s=1, duration_s=4.0, faults=stop)
        node = fleet.nodes[fleet.grantor_of(_WORKSPACE)]

        async def ask_later() -> None:
            await asyncio.sleep(9.0)
            self.assertIsInstance(await node.service.client.admit(_WORKSPACE), Failure)

        run_virtually(ask_later())

    def test_workspaces_without_a_limit_are_not_kept(self) -> None:
        """Guards against memory for each name that a datagram has, or a limit had."""
        kept: list[tuple[set[str], set[str]]] = []

        def note(fleet: SimulatedFleet) -> None:
            service = fleet.nodes[fleet.grantor_of(_WORKSPACE)].service
            kept.append((set(service._grantors), set(service._grantor.workspaces)))

        def ask(fleet: SimulatedFleet) -> None:
            node = fleet.nodes[fleet.grantor_of(_WORKSPACE)]
            for number in range(20):
                message = SimpleNamespace(
                    workspace=f"x{number}", nodeId="a0", number=number, count=1
                )
                node.handlers["quotaRequest"](message, ("a0", 7000))
            note(fleet)

        def fault(fleet: SimulatedFleet) -> None:
            _at(2.0, ask, fleet)
            _at(3.0, fleet.limits.clear)
            _at(3.9, note, fleet)

        _run(QuotaLimit(60.0, 30.0), requests_per_s=60, duration_s=4.0, faults=fault)
        self.assertEqual([({"w"}, {"w"}), (set(), set())], kept)

    def test_a_small_part_with_the_grantor_is_cut_off(self) -> None:
        """Guards against a part that suspects others slowly and grants the whole rate.

        Also guards against floors that grow as the other part takes members for dead.
        """
        for others in (1, 5):

            def cut(fleet: SimulatedFleet, others: int = others) -> None:
                grantor = fleet.grantor_of(_WORKSPACE)
                rest = sorted(set(fleet.nodes) - {grantor})
                _at(4.0, fleet.cut, [grantor, *rest[:others]])

            limit = QuotaLimit(100.0, 0.0)
            fleet = _run(limit, requests_per_s=400, duration_s=18.0, faults=cut, seed=5)
            self._assert_within_bound(fleet)

    def test_parts_that_meet_again_share_one_bucket(self) -> None:
        """Guards against two grantors after a partition has healed."""

        def cut(fleet: SimulatedFleet) -> None:
            _at(4.0, fleet.cut, [n for n in fleet.nodes if n[0] == "a"])
            _at(16.0, fleet.heal)

        limit = QuotaLimit(100.0, 0.0)
        fleet = _run(limit, requests_per_s=400, duration_s=26.0, faults=cut)
        self._assert_within_bound(fleet)
        admitted = sum(a.failure is None for a in _between(fleet, 21.0, 26.0))
        self.assertGreaterEqual(admitted, 0.95 * 5 * 100)
