"""Measures the processor time and the memory of a node's start.

Usage: python -m bench.starts LABEL; results of other labels, such as those of an
earlier release, are kept.
"""

import asyncio
import json
import statistics
from pathlib import Path

import click

from bench.accounting import Usage, usage_of
from burdockdock.standin.local_fleet import LocalFleet, NodePlace

_STARTS = 9
# After a node is ready, in which it finishes what it does at start.
_SETTLE_S = 1.0
_RESULTS_PATH = Path(__file__).parent / "results" / "starts.json"


async def _measure_start(fleet: LocalFleet, name: str) -> Usage:
    """Start one node and return what it used until it had settled."""
    node = fleet.start_node(NodePlace(name, "r", "z"))
    await fleet.wait_ready(members=1)
    await asyncio.sleep(_SETTLE_S)
    usage = usage_of(node.process.pid)
    await asyncio.to_thread(fleet.stop_nodes)
    del fleet.nodes[name]
    return usage


async def _measure() -> dict[str, float]:
    fleet = LocalFleet(mesh="bench")
    try:
        fleet.start_platform()
        usages = [await _measure_start(fleet, f"n{i}") for i in range(_STARTS)]
    finally:
        await asyncio.to_thread(fleet.stop)
    return {
        "starts": _STARTS,
        "cpu_s": statistics.median(usage.cpu_s for usage in usages),
        "resident_bytes": statistics.median(usage.resident_bytes for usage in usages),
    }


@click.command()
@click.argument("label")
def main(label: str) -> None:
    """Measure starts and store the medians under a label."""
    known = json.loads(_RESULTS_PATH.read_text()) if _RESULTS_PATH.exists() else {}
    known[label] = asyncio.run(_measure())
    _RESULTS_PATH.write_text(json.dumps(known, indent=1) + "\n")
    click.echo(json.dumps(known[label]))


if __name__ == "__main__":
    main()
