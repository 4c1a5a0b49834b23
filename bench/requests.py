"""Measures what the two nodes add to a call, beside direct calls in the same run.

Usage: python -m bench.requests [RATE ...]
"""

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Any, NamedTuple

import click
import pycurl

from bench.accounting import quantile, usage_of
from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import accept_over_newest
from burdockdock.configuration.ini import read_sections
from burdockdock.gate.curl_client import BackendRequest, CurlClient
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodePlace

_CONFIG = "[service work]\n[route all]\npath = /\nservice = work\n"
_SECONDS = 8.0
_RESULTS = Path(__file__).parent / "results"


class Way(NamedTuple):
    """A way to the backend server."""

    name: str
    url: str
    method: str


async def _one_call(client: CurlClient, way: Way) -> float:
    """Make one call and return its seconds."""
    started_s = time.perf_counter()
    transfer = client.start(
        BackendRequest(
            method=way.method,
            url=f"{way.url}/bytes/200",
            headers=["X-Tenant: bench", "Content-Length: 0"],
            body_length=0,
            timeout_ms=10_000,
            fresh_connection=False,
        )
    )
    head = await transfer.head()
    size_bytes = 0
    while isinstance(piece := await transfer.read_body(), bytes):
        size_bytes += len(piece)
    seconds_s = time.perf_counter() - started_s
    if getattr(head, "status", 0) != 200 or size_bytes != 200:
        raise RuntimeError(f"{way}: {head}, {size_bytes} bytes")
    return seconds_s


async def _measure(
    client: CurlClient, ways: list[Way], rate: float
) -> dict[str, list[float]]:
    """Call at a rate, each way in its turn, so that all meet the same noise."""
    rng = random.Random(1)
    tasks: list[tuple[Way, asyncio.Task[float]]] = []
    end_s = time.monotonic() + _SECONDS
    next_s = time.monotonic()
    turn = 0
    while time.monotonic() < end_s:
        way = ways[turn % len(ways)]
        turn += 1
        tasks.append((way, asyncio.create_task(_one_call(client, way))))
        next_s += rng.expovariate(rate * len(ways))
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
    latencies: dict[str, list[float]] = {way.name: [] for way in ways}
    for way, task in tasks:
        latencies[way.name].append(await task)
    return latencies


async def _run(rates: tuple[float, ...]) -> list[dict[str, Any]]:
    fleet = LocalFleet(mesh="bench")
    try:
        return await _run_fleet(fleet, rates)
    finally:
        await asyncio.to_thread(fleet.stop)


async def _run_fleet(
    fleet: LocalFleet, rates: tuple[float, ...]
) -> list[dict[str, Any]]:
    fleet.start_platform()
    nodes = [fleet.start_node(NodePlace(f"n{i}", "r", f"z{i}")) for i in range(2)]
    backend = fleet.start_backend(nodes[1], "work", "1", slots=64, latency_ms=2)
    await fleet.wait_ready(members=2)
    platform = PlatformClient(fleet.platform_url, name="bench", clock=SystemClock())
    await accept_over_newest(
        platform,
        read_sections(_CONFIG),
        author="bench",
        reason="bench",
        clock=SystemClock(),
    )
    await asyncio.sleep(3)
    client = CurlClient()
    ways = [
        Way("direct GET", backend.url, "GET"),
        Way("two nodes GET", nodes[0].callers_url, "GET"),
        Way("one node GET", nodes[1].callers_url, "GET"),
        Way("two nodes POST", nodes[0].callers_url, "POST"),
    ]
    results = []
    for rate in rates:
        before = [usage_of(node.process.pid).cpu_s for node in nodes]
        latencies = await _measure(client, ways, rate)
        after = [usage_of(node.process.pid).cpu_s for node in nodes]
        results.append(_summary(rate, latencies, before, after))
        click.echo(json.dumps(results[-1], indent=1))
    return results


def _summary(
    rate: float,
    latencies: dict[str, list[float]],
    before: list[float],
    after: list[float],
) -> dict[str, Any]:
    direct = latencies["direct GET"]
    rows = {}
    for name, values in latencies.items():
        rows[name] = {
            "calls": len(values),
            "p50_ms": quantile(values, 0.5) * 1000,
            "p99_ms": quantile(values, 0.99) * 1000,
            "added_p50_ms": (quantile(values, 0.5) - quantile(direct, 0.5)) * 1000,
            "added_p99_ms": (quantile(values, 0.99) - quantile(direct, 0.99)) * 1000,
            "ratio_p50": quantile(values, 0.5) / quantile(direct, 0.5),
            "ratio_p99": quantile(values, 0.99) / quantile(direct, 0.99),
        }
    two = len(latencies["two nodes GET"]) + len(latencies["two nodes POST"])
    one = len(latencies["one node GET"])
    return {
        "calls_per_s_each_way": rate,
        "ways": rows,
        "proxy_cpu_ms_per_call": (after[0] - before[0]) / two * 1000,
        "gate_cpu_ms_per_call": (after[1] - before[1]) / (two + 2 * one) * 1000,
        "curl": pycurl.version,
    }


@click.command()
@click.argument("rates", type=float, nargs=-1)
def main(rates: tuple[float, ...]) -> None:
    """Measure at these rates of calls a second and way."""
    results = asyncio.run(_run(rates or (19.0, 76.0, 152.0)))
    (_RESULTS / "requests.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
