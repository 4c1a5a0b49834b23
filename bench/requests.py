"""Measures what two nodes add to a call, compared with direct calls in the same run.

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
from burdockdock.gate.curl_client import CurlClient
from burdockdock.gate.transfer import BackendRequest
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodePlace

_CONFIG_TEXT = "[service work]\n[route all]\npath = /\nservice = work\n"
_DURATION_S = 8.0
_RESULTS_DIR = Path(__file__).parent / "results"


class CallPath(NamedTuple):
    """A path of calls to the backend server, direct or through nodes."""

    name: str
    url: str
    method: str


async def _one_call(client: CurlClient, path: CallPath) -> float:
    """Make one call and return its duration in seconds."""
    started_s = time.perf_counter()
    transfer = client.start(
        BackendRequest(
            method=path.method,
            url=f"{path.url}/bytes/200",
            headers=["X-Tenant: bench", "Content-Length: 0"],
            body_length=0,
            timeout_ms=10_000,
            fresh_connection=False,
        )
    )
    head = await transfer.head()
    size_bytes = 0
    while isinstance(chunk := await transfer.read_body(), bytes):
        size_bytes += len(chunk)
    duration_s = time.perf_counter() - started_s
    if getattr(head, "status", 0) != 200 or size_bytes != 200:
        raise RuntimeError(f"{path}: {head}, {size_bytes} bytes")
    return duration_s


async def _measure(
    client: CurlClient, paths: list[CallPath], calls_per_s: float
) -> dict[str, list[float]]:
    """Return the latencies of calls at a constant mean rate, in seconds.

    The paths take turns, so that all are exposed to the same noise.

    :param calls_per_s: calls per second on each path.
    """
    rng = random.Random(1)
    tasks: list[tuple[CallPath, asyncio.Task[float]]] = []
    end_s = time.monotonic() + _DURATION_S
    next_s = time.monotonic()
    turn = 0
    while time.monotonic() < end_s:
        path = paths[turn % len(paths)]
        turn += 1
        tasks.append((path, asyncio.create_task(_one_call(client, path))))
        next_s += rng.expovariate(calls_per_s * len(paths))
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
    latencies: dict[str, list[float]] = {path.name: [] for path in paths}
    for path, task in tasks:
        latencies[path.name].append(await task)
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
        read_sections(_CONFIG_TEXT),
        author="bench",
        reason="bench",
        clock=SystemClock(),
    )
    await asyncio.sleep(3)
    client = CurlClient()
    paths = [
        CallPath("direct GET", backend.url, "GET"),
        CallPath("two nodes GET", nodes[0].callers_url, "GET"),
        CallPath("one node GET", nodes[1].callers_url, "GET"),
        CallPath("two nodes POST", nodes[0].callers_url, "POST"),
    ]
    results = []
    for calls_per_s in rates:
        before = [usage_of(node.process.pid).cpu_s for node in nodes]
        latencies = await _measure(client, paths, calls_per_s)
        after = [usage_of(node.process.pid).cpu_s for node in nodes]
        results.append(_summary(calls_per_s, latencies, before, after))
        click.echo(json.dumps(results[-1], indent=1))
    return results


def _summary(
    calls_per_s: float,
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
    two_node_calls = len(latencies["two nodes GET"]) + len(latencies["two nodes POST"])
    one_node_calls = len(latencies["one node GET"])
    return {
        "calls_per_s_each_way": calls_per_s,
        "ways": rows,
        "proxy_cpu_ms_per_call": (after[0] - before[0]) / two_node_calls * 1000,
        "gate_cpu_ms_per_call": (after[1] - before[1])
        / (two_node_calls + 2 * one_node_calls)
        * 1000,
        "curl": pycurl.version,
    }


@click.command()
@click.argument("rates", type=float, nargs=-1)
def main(rates: tuple[float, ...]) -> None:
    """Measure at these rates, in calls per second on each path."""
    results = asyncio.run(_run(rates or (19.0, 76.0, 152.0)))
    (_RESULTS_DIR / "requests.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
