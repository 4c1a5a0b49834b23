"""Measures pipelined requests on one connection to a caller's node.

Usage: python -m bench.pipelining

For each depth, callers send that many requests at once on one connection and read all
answers before they send the next ones. Prints the time to the last answer and the
processor time of the node a request.
"""

import asyncio
import json
import statistics
import time
from pathlib import Path
from typing import Any, NamedTuple

import click

from bench.accounting import usage_of
from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import accept_over_newest
from burdockdock.configuration.ini import read_sections
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodeHandle, NodePlace

_CONFIG_TEXT = "[service work]\n[route all]\npath = /\nservice = work\n"
_HOST = "127.0.0.1"
_REQUEST = b"GET /bytes/200 HTTP/1.1\r\nHost: a\r\n\r\n"
_SLOW_RUN_MS = 100
_FAST_RUN_MS = 2
_DEPTHS = (1, 2, 4, 8)
_SLOW_ROUNDS = 10
_FAST_CALLS = 4000
_RESULTS_DIR = Path(__file__).parent / "results"


class _Timing(NamedTuple):
    """Results at one depth.

    :param last_answer_ms: median time from the requests to their last answer.
    :param cpu_ms: processor time of the node for one request.
    """

    depth: int
    last_answer_ms: float
    cpu_ms: float


async def _read_answer(reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if not head.startswith(b"http/1.1 200"):
        raise RuntimeError(head.decode("latin-1"))
    length = next(
        line for line in head.split(b"\r\n") if line.startswith(b"content-length:")
    )
    await reader.readexactly(int(length.partition(b":")[2]))


async def _measure(node: NodeHandle, depth: int, rounds: int) -> _Timing:
    """Send ``depth`` requests at once, for a number of rounds."""
    reader, writer = await asyncio.open_connection(_HOST, node.callers_port)
    cpu_s = usage_of(node.process.pid).cpu_s
    durations_s = []
    for _ in range(rounds):
        started_s = time.perf_counter()
        writer.write(_REQUEST * depth)
        for _ in range(depth):
            await _read_answer(reader)
        durations_s.append(time.perf_counter() - started_s)
    cpu_s = usage_of(node.process.pid).cpu_s - cpu_s
    writer.close()
    return _Timing(
        depth,
        statistics.median(durations_s) * 1000,
        cpu_s / (rounds * depth) * 1000,
    )


async def _run_with(latency_ms: int) -> list[_Timing]:
    fleet = LocalFleet(mesh="bench")
    try:
        fleet.start_platform()
        nodes = [fleet.start_node(NodePlace(f"n{i}", "r", f"z{i}")) for i in range(2)]
        fleet.start_backend(nodes[1], "work", "1", slots=64, latency_ms=latency_ms)
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
        timings = []
        for depth in _DEPTHS:
            is_slow = latency_ms == _SLOW_RUN_MS
            rounds = _SLOW_ROUNDS if is_slow else _FAST_CALLS // depth
            timings.append(await _measure(nodes[0], depth, rounds))
        return timings
    finally:
        await asyncio.to_thread(fleet.stop)


async def _run() -> list[dict[str, Any]]:
    results = []
    for latency_ms in (_SLOW_RUN_MS, _FAST_RUN_MS):
        for timing in await _run_with(latency_ms):
            results.append({"run_ms": latency_ms, **timing._asdict()})
            click.echo(json.dumps(results[-1]))
    return results


@click.command()
def main() -> None:
    """Measure the time to the last answer and the processor time, by depth."""
    results = asyncio.run(_run())
    (_RESULTS_DIR / "pipelining.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
