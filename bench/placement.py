"""Measures the CPU time of choosing a backend server, by the size of its service.

Runs in one process, without a network.

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
from burdockdock.proxy.balancer import LARGE_ANSWERS, Balancer
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.rollout.default_weights import default_weights

_SERVICE_SIZES = (8, 64, 512, 4_096)
_ZONE_COUNT = 3
_SERVICE = "service"
_ROUND_COUNT = 5
_ROUND_DURATION_S = 0.1
_RESULTS_DIR = Path(__file__).parent / "results"


class _Caller(NamedTuple):
    """A calling node's view of one service, and its load balancer."""

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


def _build_caller(
    count: int, *, new_share: float = 0.0, weight: float = 0.0
) -> _Caller:
    """Return a caller of a service.

    :param count: number of members in the service.
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
        balancer.tell_load(member.node_id, rng.randrange(4), results)
    return _Caller(endpoints, balancer)


def _min_cpu_us(action: Callable[[], Any]) -> float:
    """Return the CPU time of one run in microseconds, the minimum of several rounds."""
    return min(_mean_cpu_us(action) for _ in range(_ROUND_COUNT))


def _mean_cpu_us(action: Callable[[], Any]) -> float:
    runs = 0
    started_s = time.process_time()
    spent_s = 0.0
    while spent_s < _ROUND_DURATION_S:
        action()
        runs += 1
        spent_s = time.process_time() - started_s
    return spent_s / runs * 1e6


def _pick_action(caller: _Caller, **options: Any) -> Callable[[], Member | None]:
    def pick() -> Member | None:
        members = caller.endpoints.for_call(_SERVICE)
        return caller.balancer.pick(members, **options)

    return pick


def _eject_members(caller: _Caller, count: int) -> _Caller:
    """Let calls to 40% of the members fail until the balancer ejects them."""
    for i in range(int(count * 0.4)):
        for _ in range(5):
            caller.balancer.started(f"node-{i:05d}")
            caller.balancer.finished(f"node-{i:05d}", failed=True)
    return caller


def _measure(count: int) -> dict[str, float]:
    """Return the CPU time of one choice in a service of ``count`` members, by case."""
    plain = _build_caller(count)
    ids = [m.node_id for m in plain.endpoints.of_service(_SERVICE)]
    two_versions = _build_caller(count, new_share=0.25)
    rollout = _build_caller(count, new_share=0.5, weight=0.1)
    cases = {
        "plain": _pick_action(plain),
        "large_answer": _pick_action(plain, distances=LARGE_ANSWERS),
        "three_full": _pick_action(plain, excluded=frozenset(ids[:3])),
        "two_versions": _pick_action(two_versions),
        "rollout": _pick_action(rollout),
        "callers_key": lambda: plain.endpoints.home_of(_SERVICE, "key"),
    }
    costs = {f"{name}_us": _min_cpu_us(run) for name, run in cases.items()}
    # Measured right after the ejections, which last only a few seconds.
    with_ejected = _eject_members(_build_caller(count), count)
    costs["ejected_us"] = _min_cpu_us(_pick_action(with_ejected))
    return {"members": count, **costs}


@click.command()
def main() -> None:
    """Measure each size and write the results and fitted slopes as JSON."""
    rows = [_measure(count) for count in _SERVICE_SIZES]
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
