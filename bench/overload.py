"""Measures goodput under overload, and the effect of a noisy workspace on a quiet one.

Usage: python -m bench.overload
"""

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Any, NamedTuple

import click

from bench.accounting import quantile
from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import accept_over_newest
from burdockdock.configuration.ini import read_sections
from burdockdock.gate.curl_client import CurlClient
from burdockdock.gate.transfer import BackendRequest
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodePlace

_CONFIG = (
    "[defaults]\nretries = 0\nqueue_length = 16\n"
    "[service work]\n[route all]\npath = /\nservice = work\n"
)
_SLOTS_PER_BACKEND = 8
_LATENCY_MS = 100.0
_DEADLINE_MS = 500
_CAPACITY_PER_S = 2 * _SLOTS_PER_BACKEND * 1000 / _LATENCY_MS
# Offered load as a multiple of the capacity.
_LOAD_FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0)
_LOAD_DURATION_S = 8.0
_RESULTS_DIR = Path(__file__).parent / "results"


class Outcome(NamedTuple):
    """Outcome of one call as its caller sees it."""

    workspace: str
    status: int
    verdict: str
    latency_s: float


async def _call(client: CurlClient, url: str, workspace: str, number: int) -> Outcome:
    started_s = time.perf_counter()
    transfer = client.start(
        BackendRequest(
            method="POST",
            url=f"{url}/call/{number}",
            headers=[
                f"X-Tenant: {workspace}",
                f"X-Burdockdock-Timeout-Ms: {_DEADLINE_MS}",
                f"X-Test-Id: {workspace}-{number}",
                "Content-Length: 0",
            ],
            body_length=0,
            timeout_ms=10_000,
            fresh_connection=False,
        )
    )
    head = await transfer.head()
    while isinstance(await transfer.read_body(), bytes):
        pass
    latency_s = time.perf_counter() - started_s
    headers = dict(getattr(head, "headers", ()))
    verdict = headers.get("X-Burdockdock-Verdict", "")
    return Outcome(workspace, getattr(head, "status", 0), verdict, latency_s)


async def _generate_load(
    client: CurlClient, url: str, rates: dict[str, float], seed: int
) -> list[Outcome]:
    """Generate an open-loop load, whose rates do not depend on the answers.

    :param rates: calls per second of each workspace.
    :returns: the outcomes of all calls.
    """
    rng = random.Random(seed)
    total_rate_per_s = sum(rates.values())
    tasks = []
    next_call_s = time.monotonic()
    end_s = next_call_s + _LOAD_DURATION_S
    while next_call_s < end_s:
        workspace = rng.choices(list(rates), weights=list(rates.values()))[0]
        number = seed * 100_000 + len(tasks)
        tasks.append(asyncio.create_task(_call(client, url, workspace, number)))
        next_call_s += rng.expovariate(total_rate_per_s)
        await asyncio.sleep(max(0.0, next_call_s - time.monotonic()))
    return list(await asyncio.gather(*tasks))


def _summarize(outcomes: list[Outcome]) -> dict[str, Any]:
    latencies_s = [o.latency_s for o in outcomes if o.status == 200]
    in_time_s = [s for s in latencies_s if s <= _DEADLINE_MS / 1000]
    return {
        "calls": len(outcomes),
        "goodput_per_s": len(in_time_s) / _LOAD_DURATION_S,
        "not_run": sum(o.verdict == "not_run" for o in outcomes),
        "may_have_run": sum(o.verdict == "may_have_run" for o in outcomes),
        "good_p50_ms": quantile(latencies_s, 0.5) * 1000 if latencies_s else None,
        "good_p99_ms": quantile(latencies_s, 0.99) * 1000 if latencies_s else None,
    }


async def _run() -> dict[str, Any]:
    fleet = LocalFleet(mesh="bench")
    try:
        return await _run_fleet(fleet)
    finally:
        await asyncio.to_thread(fleet.stop)


async def _run_fleet(fleet: LocalFleet) -> dict[str, Any]:
    fleet.start_platform()
    nodes = [fleet.start_node(NodePlace(f"n{i}", "r", f"z{i}")) for i in range(3)]
    for node in nodes[1:]:
        fleet.start_backend(
            node, "work", "1", slots=_SLOTS_PER_BACKEND, latency_ms=_LATENCY_MS
        )
    await fleet.wait_ready(members=3)
    platform = PlatformClient(fleet.platform_url, name="bench", clock=SystemClock())
    await accept_over_newest(
        platform,
        read_sections(_CONFIG),
        author="bench",
        reason="bench",
        clock=SystemClock(),
    )
    await asyncio.sleep(3)
    client, url = CurlClient(), nodes[0].callers_url
    result: dict[str, Any] = {"capacity_per_s": _CAPACITY_PER_S, "loads": {}}
    for i, load in enumerate(_LOAD_FACTORS):
        outcomes = await _generate_load(
            client, url, {"one": load * _CAPACITY_PER_S}, i + 1
        )
        result["loads"][str(load)] = _summarize(outcomes)
    rates = {"noisy": 2.0 * _CAPACITY_PER_S, "quiet": 0.1 * _CAPACITY_PER_S}
    outcomes = await _generate_load(client, url, rates, 9)
    result["tenants"] = {
        workspace: _summarize([o for o in outcomes if o.workspace == workspace])
        for workspace in rates
    }
    return result


@click.command()
def main() -> None:
    """Run the benchmark and write its results as JSON."""
    result = asyncio.run(_run())
    (_RESULTS_DIR / "overload.json").write_text(json.dumps(result, indent=1) + "\n")
    click.echo(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
