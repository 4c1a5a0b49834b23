"""Measures how soon a whole fleet applies a version that adds 1,200 routes.

The overlay parts of the nodes run over simulated links in virtual time.
Usage: python -m bench.long_versions [NODES ...] [--mbit-per-s M] [--small-versions N]
"""

import json
import time
import zlib
from pathlib import Path
from typing import Any

import click

from tests.overlay.links import LinkSpeed
from tests.overlay.long_version import (
    DistributionResult,
    distribute_long_version,
    long_delta,
)

_RESULTS_DIR = Path(__file__).parent / "results"


def _row(nodes: int, result: DistributionResult, delta_bytes: int) -> dict[str, Any]:
    times_s = sorted(result.long_s)
    return {
        "nodes": nodes,
        "first_s": times_s[0],
        "median_s": times_s[len(times_s) // 2],
        "last_s": times_s[-1],
        "newest_last_s": max(result.newest_s),
        "late": result.late_count,
        "fetches": result.fetches,
        "busiest_bytes": result.busiest_bytes,
        "busiest_deltas": result.busiest_bytes / delta_bytes,
    }


@click.command()
@click.argument("nodes", type=int, nargs=-1)
@click.option("--mbit-per-s", default=10.0, show_default=True)
@click.option("--small-versions", default=0, show_default=True)
@click.option("--name", default="long_versions", show_default=True)
def main(
    nodes: tuple[int, ...], mbit_per_s: float, small_versions: int, name: str
) -> None:
    """Measure fleets of the given sizes and write the results as JSON."""
    link = LinkSpeed(mbit_per_s * 1e6, mbit_per_s * 1e6)
    delta_bytes = len(zlib.compress(long_delta()))
    rows = []
    for count in nodes or (13, 83, 300):
        started_s = time.monotonic()
        result = distribute_long_version([link] * count, small_versions=small_versions)
        click.echo(f"{count} nodes: {result} ({time.monotonic() - started_s:.0f} s)")
        rows.append(_row(count, result, delta_bytes))
    (_RESULTS_DIR / f"{name}.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
