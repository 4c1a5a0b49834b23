"""Measures the CPU time and memory that a large fleet costs one node.

Runs in one process, without a network.

Usage: python -m bench.members
"""

import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from bench.accounting import fit_line
from bench.fleet_config import full_size_sections
from burdockdock.clock import ManualClock
from burdockdock.configuration.delta import ConfigDocument
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record
from burdockdock.coordination.tree import children, entry_nodes
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.protocol import encode
from burdockdock.protocol.members import pack_member
from burdockdock.proxy.endpoints import Endpoints

_FLEET_SIZES = (1_500, 3_000, 6_000, 12_000)
_ZONE_COUNT = 15
_MEMBERS_PER_SERVICE = 6.3
_RESULTS_DIR = Path(__file__).parent / "results"


def _member(i: int) -> Member:
    zone = i % _ZONE_COUNT
    return Member(
        node_id=f"node-{i:05d}",
        host=f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}",
        port=7000,
        region=f"region-{zone % 5}",
        availability_zone=f"zone-{zone}",
        incarnation=1_700_000_000_000 + i,
        ready=True,
        service=f"service-{int(i / _MEMBERS_PER_SERVICE):04d}",
        service_version="1",
        slots=10,
    )


def _allocated_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that Python allocates for the object that a function builds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size_bytes


def _mean_cpu_s(action: Callable[[], Any], *, repeats: int) -> float:
    started_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started_s) / repeats


def _build_view(count: int) -> tuple[MembershipTable, MemberRanking, Endpoints]:
    """Return one node's membership table, ranking and endpoint index of a fleet."""
    table = MembershipTable(_member(0), clock=ManualClock())
    ranking = MemberRanking(table)
    endpoints = Endpoints(table, weights_of=lambda _: {}, rng=random.Random(1))
    for i in range(1, count):
        table.merge(_member(i))
    for salt in ("first", "second"):
        for zone in ranking.zones():
            ranking.in_zone(salt, zone)
    return table, ranking, endpoints


def _measure_fleet(count: int) -> dict[str, float]:
    """Return the cost of a fleet of one size."""
    started_s = time.process_time()
    table, ranking, endpoints = _build_view(count)
    merge_s = (time.process_time() - started_s) / count

    def change_and_rank() -> None:
        """Do what a node does to forward a change of one member."""
        table.update_own()
        order = ranking.in_zone("first", "zone-0")
        children(order, 0)
        children(ranking.in_zone("second", "zone-0"), 0)
        ranking.in_zone("reporter", "zone-0")

    def start_spread() -> None:
        """Do what the origin of a message does after a change."""
        table.update_own()
        for salt in ("first", "second"):
            entry_nodes(ranking.in_zone(salt, zone) for zone in ranking.zones())

    change_s = _mean_cpu_s(change_and_rank, repeats=10)
    origin_s = _mean_cpu_s(start_spread, repeats=5)
    endpoint_s = _mean_cpu_s(lambda: endpoints.for_call("service-0000"), repeats=1000)
    return {
        "members": count,
        "memory_bytes": _allocated_bytes(lambda: _build_view(count)),
        "merge_s": merge_s,
        "change_s": change_s,
        "origin_s": origin_s,
        "endpoint_lookup_s": endpoint_s,
        "member_wire_bytes": len(
            encode("ping", mesh="m", members=[pack_member(_member(1))])
        )
        - len(encode("ping", mesh="m")),
    }


def _measure_config(services: int) -> dict[str, float]:
    """Return the cost of a configuration of one size."""
    sections = full_size_sections(services=services)
    full_document = ConfigDocument(1, sections).encode()
    state = ConfigState("node")
    started_s = time.process_time()
    state.accept(Record(CONFIG_KEY, 1, full_document))
    whole_s = time.process_time() - started_s
    other = ConfigState("other")
    other.accept(Record(CONFIG_KEY, 1, full_document))
    delta_s, delta_bytes = _measure_deltas(state, other, sections)
    return {
        "services": services,
        "memory_bytes": _allocated_bytes(lambda: _build_config_state(full_document)),
        "whole_bytes": len(full_document),
        "whole_s": whole_s,
        "delta_s": delta_s,
        "delta_bytes": delta_bytes,
    }


def _build_config_state(full_document: bytes) -> ConfigState:
    state = ConfigState("node")
    state.accept(Record(CONFIG_KEY, 1, full_document))
    return state


def _measure_deltas(
    origin: ConfigState, receiver: ConfigState, sections: dict[str, dict[str, str]]
) -> tuple[float, int]:
    cpu_s = 0.0
    for version in range(2, 12):
        name = f"service service-{version:04d}"
        sections = {**sections, name: {"timeout_ms": str(version)}}
        document = ConfigDocument(version, sections, "operator", "a small change")
        origin.accept(Record(CONFIG_KEY, version, document.encode()))
        data = origin.codec.encode_delta(version - 1)
        started_s = time.process_time()
        record = receiver.codec.apply_delta(Record(CONFIG_KEY, version, data))
        receiver.accept(record)
        receiver.codec.encode_delta(version - 1)
        cpu_s += time.process_time() - started_s
    return cpu_s / 10, len(data)


@click.command()
def main() -> None:
    """Measure each size and write the results and fitted slopes as JSON."""
    members = [_measure_fleet(count) for count in _FLEET_SIZES]
    configs = [_measure_config(count) for count in (475, 950, 1_900)]
    slopes = {
        name: fit_line([(row["members"], row[name]) for row in members])._asdict()
        for name in ("memory_bytes", "change_s", "origin_s")
    }
    slopes |= {
        f"config_{name}": fit_line(
            [(row["services"], row[name]) for row in configs]
        )._asdict()
        for name in ("memory_bytes", "whole_s", "delta_s")
    }
    result = {"members": members, "configs": configs, "slopes": slopes}
    (_RESULTS_DIR / "members.json").write_text(json.dumps(result, indent=1) + "\n")
    click.echo(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
