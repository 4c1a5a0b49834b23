"""Measures the cost of choosing a backend server as its service grows, in one process.

Usage: python -m bench.placement
"""

import json
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import click

from bench.accounting import fit_line
from burdockdock.clock import ManualClock, SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.balancer import LARGE_ANSWER_PENALTIES, Balancer
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.placement import CrossingTerms
from burdockdock.rollout.default_weights import default_weights

_MEMBER_COUNTS = (8, 36, 64, 512, 4_096)
_ZONE_COUNT = 3
_SERVICE = "service"
_ROUND_COUNT = 5
_ROUND_DURATION_S = 0.1
_RESULTS_DIR = Path(__file__).parent / "results"


class _Caller(NamedTuple):
    """The endpoint index and the balancer of a calling node."""

    endpoints: Endpoints
    balancer: Balancer


def _member(i: int, *, version: str) -> Member:
    return Member(
        node_id=f"node-{i:05d}",
        host="127.0.0.1",
        port=7000,
        region="region",
        availability_zone=f"zone-{i % _ZONE_COUNT}",
        incarnation=1,
        ready=True,
        service=_SERVICE,
        service_version=version,
        slots=3,
    )


def _caller(count: int, *, new_share: float = 0.0, weight: float = 0.0) -> _Caller:
    """Return a calling node that knows a service.

    :param count: number of members of the service.
    :param new_share: share of the members that run a new version.
    :param weight: traffic weight of the new version, 0 before its rollout.
    """
    own = _member(0, version="1")
    table = MembershipTable(own, clock=ManualClock())

    def weights_of(service: str) -> dict[str, float]:
        if weight:
            return {"1": 1.0 - weight, "2": weight}
        return default_weights(endpoints.slots(service))

    endpoints = Endpoints(
        table,
        weights_of=weights_of,
        rng=random.Random(1),
        new_version_of=lambda _: "2" if weight else "",
    )
    balancer = Balancer(
        availability_zone=own.availability_zone,
        region=own.region,
        clock=SystemClock(),
        rng=random.Random(2),
        node_id=own.node_id,
    )
    rng = random.Random(3)
    for i in range(1, count):
        table.merge(_member(i, version="2" if i < count * new_share else "1"))
    for member in table:
        results = GateResults(rng.uniform(0.1, 0.3))
        balancer.record_gate_state(member.node_id, rng.randrange(4), results)
    return _Caller(endpoints, balancer)


def _min_cost_us(action: Callable[[], Any]) -> float:
    """Return the CPU time of one run in microseconds, the minimum of several rounds."""
    return min(_round_cost_us(action) for _ in range(_ROUND_COUNT))


def _round_cost_us(action: Callable[[], Any]) -> float:
    runs = 0
    started_s = time.process_time()
    cpu_s = 0.0
    while cpu_s < _ROUND_DURATION_S:
        action()
        runs += 1
        cpu_s = time.process_time() - started_s
    return cpu_s / runs * 1e6


def _pick_action(caller: _Caller, **options: Any) -> Callable[[], Member | None]:
    def pick() -> Member | None:
        members = caller.endpoints.for_call(_SERVICE)
        return caller.balancer.pick(members, **options)

    return pick


def _pick_by_zone_action(caller: _Caller, **options: Any) -> Callable[[], Any]:
    terms = CrossingTerms(cost_s=0.4, time_left_s=0.6)

    def pick() -> Any:
        members = caller.endpoints.for_call(_SERVICE)
        return caller.balancer.pick_by_zone(members, terms=terms, **options)

    return pick


def _with_ejected_members(caller: _Caller, count: int) -> _Caller:
    """Fail calls until 40 % of the members are ejected."""
    for i in range(int(count * 0.4)):
        for _ in range(5):
            caller.balancer.started(f"node-{i:05d}")
            caller.balancer.finished(f"node-{i:05d}", failed=True)
    return caller


def _measure(count: int) -> dict[str, float]:
    """Return the cost of one choice in a service of this size, in microseconds."""
    one_version = _caller(count)
    ids = [m.node_id for m in one_version.endpoints.members_of(_SERVICE)]
    two_versions = _caller(count, new_share=0.25)
    rollout = _caller(count, new_share=0.5, weight=0.1)
    cases = {
        "plain": _pick_action(one_version),
        "large_answer": _pick_action(one_version, penalties=LARGE_ANSWER_PENALTIES),
        "three_full": _pick_action(one_version, excluded=frozenset(ids[:3])),
        "two_versions": _pick_action(two_versions),
        "rollout": _pick_action(rollout),
        "zone_cost": _pick_by_zone_action(one_version),
        "zone_cost_three_full": _pick_by_zone_action(
            one_version, excluded=frozenset(ids[:3])
        ),
        "callers_key": lambda: one_version.endpoints.member_for_key(_SERVICE, "key"),
    }
    costs = {f"{name}_us": _min_cost_us(run) for name, run in cases.items()}
    # Ejections last only seconds, so the members are ejected right before measuring.
    with_ejected = _with_ejected_members(_caller(count), count)
    costs["ejected_us"] = _min_cost_us(_pick_action(with_ejected))
    return {"members": count, **costs}


@click.command()
def main() -> None:
    """Measure each service size and write costs and slopes as JSON."""
    rows = [_measure(count) for count in _MEMBER_COUNTS]
    slopes = {
        name: fit_line([(row["members"], row[name]) for row in rows])._asdict()
        for name in rows[0]
        if name != "members"
    }
    result = {"rows": rows, "slopes": slopes}
    (_RESULTS_DIR / "placement.json").write_text(json.dumps(result, indent=1) + "\n")
    click.echo(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
