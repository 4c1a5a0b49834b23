"""Scenarios of quotas over a whole fleet in virtual time.

``python -m tests.node.quota_scenarios --seeds 1-5`` runs all of them, longer than CI.
"""

import argparse
import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.coordination.quota import QuotaLimit
from tests.node.quota_fleet import (
    ZONES,
    SimulatedFleet,
    admitted_share,
    tolerance_used,
)
from tests.virtual_time import run_virtually

NODES = 83
WORKSPACES = 86
HOT = "w0"
_USUAL_SHARE = 0.6
_HOT_FACTOR = 6
_HOT_FROM_S = 2.0
_HOT_ZONE_S = 2.0
# Buckets start empty, since other nodes may have granted tokens before.
_WARM_UP_S = 2.0


class Outcome(NamedTuple):
    """What a run showed.

    :param tolerance_used: by the worst window, at most 1 within the bound.
    :param admitted: requests admitted, as a share of those inside their quotas.
    :param hot_admitted: the same of the hot workspace alone.
    :param asks_per_s: datagrams sent per node and second.
    """

    seed: int
    tolerance_used: float
    worst_workspace: str
    admitted: float
    hot_admitted: float
    asks_per_s: float
    requests: int


Faults = Callable[[SimulatedFleet, random.Random], None]


def skewed_limits(burst_s: float) -> dict[str, QuotaLimit]:
    """Return limits from 180 to 5 requests per second.

    :param burst_s: seconds of the rate that the burst is worth.
    """
    rates = [round(180 / (i + 1) ** 0.8, 1) for i in range(WORKSPACES)]
    return {f"w{i}": QuotaLimit(r, round(r * burst_s)) for i, r in enumerate(rates)}


def no_faults(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Leave the fleet alone."""


def kills(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Kill four nodes, which come back three seconds later."""
    for i, node_id in enumerate(rng.sample(list(fleet.nodes), 4)):
        _at(3.0 + i, fleet.kill, node_id)
        _at(6.0 + i, fleet.restart, node_id)


def grantor_killed(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Kill the node that grants the hot workspace's tokens."""
    node_id = fleet.grantor_of(HOT)
    _at(4.0, fleet.kill, node_id)
    _at(12.0, fleet.restart, node_id)


def grantor_leaves(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Stop the hot workspace's grantor in a planned way."""
    node_id = fleet.grantor_of(HOT)
    _at(4.0, fleet.leave, node_id)
    _at(5.0, fleet.kill, node_id)


def few_cut_off(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Cut the hot workspace's grantor off, with so few that the others see no part."""
    others = rng.sample(list(fleet.nodes), 6)
    _at(4.0, fleet.cut, {fleet.grantor_of(HOT), *others})
    _at(14.0, fleet.heal)


def zone_cut_off(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Cut a zone off, and connect it again."""
    zone = rng.choice(ZONES)
    _at(4.0, fleet.cut, [n for n in fleet.nodes if n[0] == zone])
    _at(14.0, fleet.heal)


def half_cut_off(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Cut half of the fleet off, and connect it again."""
    _at(4.0, fleet.cut, rng.sample(list(fleet.nodes), NODES // 2))
    _at(14.0, fleet.heal)


def grantor_cut_off(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Cut the hot workspace's grantor off, with a few others."""
    others = rng.sample(list(fleet.nodes), 9)
    _at(4.0, fleet.cut, {fleet.grantor_of(HOT), *others})
    _at(14.0, fleet.heal)


SCENARIOS: dict[str, Faults] = {
    "no_faults": no_faults,
    "kills": kills,
    "grantor_killed": grantor_killed,
    "grantor_leaves": grantor_leaves,
    "zone_cut_off": zone_cut_off,
    "half_cut_off": half_cut_off,
    "grantor_cut_off": grantor_cut_off,
    "few_cut_off": few_cut_off,
}


def run_scenario(
    faults: Faults, *, seed: int, duration_s: float, burst_s: float, moves: bool = True
) -> Outcome:
    """Run a scenario in virtual time.

    :param moves: whether all of the hot workspace's load comes from one zone at a time.
    """
    outcomes: list[Outcome] = []

    async def run() -> None:
        limits = skewed_limits(burst_s)
        fleet = SimulatedFleet(nodes=NODES, limits=limits, seed=seed)
        rng = random.Random(seed)
        _schedule_load(fleet, rng, duration_s, moves)
        faults(fleet, rng)
        await asyncio.sleep(duration_s + 1.0)
        fleet.close()
        outcomes.append(_judge(fleet, seed, duration_s))

    run_virtually(run())
    return outcomes[0]


def _schedule_load(
    fleet: SimulatedFleet, rng: random.Random, duration_s: float, moves: bool
) -> None:
    """Schedule requests of all workspaces, at 0.6 of their quotas but one."""
    ids = list(fleet.nodes)
    for workspace, limit in fleet.limits.items():
        weights = [rng.expovariate(1) for _ in ids]
        now_s = 0.0
        while now_s < duration_s:
            is_hot = workspace == HOT and now_s > _HOT_FROM_S
            factor = _HOT_FACTOR if is_hot else 1
            now_s += rng.expovariate(_USUAL_SHARE * limit.rate_per_s * factor)
            node_id = rng.choices(ids, weights)[0]
            if is_hot and moves:
                zone = ZONES[int(now_s / _HOT_ZONE_S) % 3]
                node_id = rng.choice([i for i in ids if i[0] == zone])
            _at(now_s, fleet.start_request, workspace, node_id)


def _judge(fleet: SimulatedFleet, seed: int, duration_s: float) -> Outcome:
    used, workspace, _ = tolerance_used(fleet.admissions, fleet.limits, fleet.bounds)
    shares = admitted_share(fleet.admissions, fleet.limits, since_s=_WARM_UP_S)
    hot, hot_inside = shares[HOT]
    # More than the quota in one workspace doesn't make up for less in another.
    admitted = sum(min(a, inside) for a, inside in shares.values())
    sent = sum(node.sent for node in fleet.nodes.values())
    return Outcome(
        seed,
        used,
        workspace,
        admitted / sum(inside for _, inside in shares.values()),
        hot / hot_inside,
        sent / NODES / duration_s,
        len(fleet.admissions),
    )


def _at(time_s: float, function: Callable[..., object], *arguments: object) -> None:
    asyncio.get_running_loop().call_at(time_s, function, *arguments)


def main() -> None:
    """Run all scenarios with several seeds, and print what they showed."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=22.0)
    parser.add_argument("--bursts", default="0,0.5,2")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    for name, faults in SCENARIOS.items():
        for seed in range(int(first), int(last or first) + 1):
            for burst_s in map(float, arguments.bursts.split(",")):
                outcome = run_scenario(
                    faults,
                    seed=seed,
                    duration_s=arguments.seconds,
                    burst_s=burst_s,
                    moves=seed % 2 == 0,
                )
                print(name, f"burst_s={burst_s}", *_fields(outcome), flush=True)


def _fields(outcome: Outcome) -> list[str]:
    return [
        f"{name}={value:.3f}" if isinstance(value, float) else f"{name}={value}"
        for name, value in outcome._asdict().items()
    ]


if __name__ == "__main__":
    main()
