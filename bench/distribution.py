"""Measures configuration distribution on a fleet of local node processes.

Usage: python -m bench.distribution [NODES ...] [--changes N] [--idle-s S]
"""

import asyncio
import json
import re
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import click
from tornado.curl_httpclient import CurlAsyncHTTPClient

from bench.accounting import Usage, quantile, usage_of
from bench.fleet_config import full_size_sections, with_change
from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import Accepted, accept, read_head
from burdockdock.configuration.model import Sections
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodeHandle, NodePlace

_REGION_COUNT = 5
_ZONE_COUNT = 15
_CHANGE_INTERVAL_S = 2.0
_START_BATCH_SIZE = 16
_START_BATCH_INTERVAL_S = 1.0
_CONVERGENCE_TIMEOUT_S = 90.0
_CONFIG_APPLIED_EVENT = re.compile(r"time_s=(\S+) event=config.applied version=(\d+)")
_RESULTS_DIR = Path(__file__).parent / "results"


class Sample(NamedTuple):
    """All counters at one point in time.

    :param at_s: monotonic time in seconds.
    :param usage: CPU and memory usage by node name.
    :param sent_bytes: control traffic sent, by node name.
    :param received_bytes: control traffic received, by node name.
    :param platform_calls: number of platform calls by kind.
    :param relays: names of the nodes that are relays.
    """

    at_s: float
    usage: dict[str, Usage]
    sent_bytes: dict[str, int]
    received_bytes: dict[str, int]
    platform_calls: dict[str, int]
    relays: set[str]


class _FleetBenchmark:
    """Benchmark of a fleet of one size."""

    def __init__(self, nodes: int) -> None:
        self._node_count = nodes
        self._fleet = LocalFleet(mesh="bench")
        self._platform = PlatformClient(
            self._fleet.platform_url, name="bench", clock=SystemClock(), timeout_s=20
        )
        self._sections: Sections = full_size_sections()
        self._accepted_at_s: dict[int, float] = {}

    async def run(self, *, changes: int, idle_s: float) -> dict[str, Any]:
        """Run all measurements and return the results.

        :param changes: number of configuration changes to publish.
        :param idle_s: seconds to measure the idle fleet.
        """
        try:
            return await self._measure(changes, idle_s)
        finally:
            await asyncio.to_thread(self._fleet.stop)

    async def _measure(self, changes: int, idle_s: float) -> dict[str, Any]:
        result: dict[str, Any] = {"nodes": self._node_count}
        result["start_s"] = await self._start_fleet()
        await self._publish_change(0)
        await self._wait_in_force()
        await asyncio.sleep(10)
        _log_progress("idle")
        result["idle"] = await self._measure_usage(asyncio.sleep(idle_s), 0)
        _log_progress("changing")
        result["changing"] = await self._measure_usage(
            self._publish_changes(changes), changes
        )
        result["convergence"] = self._convergence(range(2, changes + 2))
        _log_progress("naive pollers")
        result["naive"] = await self._measure_naive(changes)
        _log_progress("mass restart")
        result["herd"] = await self._measure_mass_restart()
        return result

    async def _start_fleet(self) -> float:
        started_s = time.monotonic()
        self._fleet.start_platform()
        await asyncio.sleep(1)
        for start in range(0, self._node_count, _START_BATCH_SIZE):
            for i in range(start, min(start + _START_BATCH_SIZE, self._node_count)):
                self._fleet.start_node(_node_place(i))
            await asyncio.sleep(_START_BATCH_INTERVAL_S)
        await self._fleet.wait_ready(members=self._node_count, timeout_s=300)
        return time.monotonic() - started_s

    async def _publish_change(self, number: int) -> int:
        self._sections = with_change(self._sections, number)
        head = await read_head(self._platform)
        result = await accept(
            self._platform,
            self._sections,
            base=head,
            author="bench",
            reason="change",
            clock=SystemClock(),
        )
        if not isinstance(result, Accepted):
            raise RuntimeError(result)
        self._accepted_at_s[result.version] = time.time()
        await call_node(self._any_node().operators_url, "/refresh", method="POST")
        return result.version

    async def _publish_changes(self, changes: int) -> None:
        for number in range(1, changes + 1):
            started_s = time.monotonic()
            await self._publish_change(number)
            elapsed_s = time.monotonic() - started_s
            await asyncio.sleep(max(0.0, _CHANGE_INTERVAL_S - elapsed_s))
        await self._wait_in_force()

    async def _wait_in_force(self) -> None:
        version = max(self._accepted_at_s)
        deadline_s = time.monotonic() + _CONVERGENCE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            status = await call_node(self._any_node().operators_url, "/status")
            fleet = (status or {}).get("fleet")
            if fleet and fleet["version"] == version:
                if fleet["applied"] == fleet["total"] == self._node_count:
                    return
            await asyncio.sleep(0.2)
        raise TimeoutError(f"version {version} is not in force everywhere: {fleet}")

    async def _measure_usage(self, work: Any, changes: int) -> dict[str, Any]:
        """Return the resource usage during some work, per node and second."""
        before = await self._sample()
        await work
        after = await self._sample()
        seconds_s = after.at_s - before.at_s
        calls = {
            kind: (count - before.platform_calls.get(kind, 0)) / seconds_s
            for kind, count in after.platform_calls.items()
        }
        return {
            "seconds_s": seconds_s,
            "changes": changes,
            "relays": _usage_between(before, after, after.relays),
            "others": _usage_between(before, after, set(after.usage) - after.relays),
            "platform_calls_per_s": calls,
        }

    async def _sample(self) -> Sample:
        usage, sent, received, relays = {}, {}, {}, set()
        for name, node in self._fleet.nodes.items():
            status = await call_node(node.operators_url, "/status")
            control = status["control_bytes"]
            if status["is_relay"]:
                relays.add(name)
            usage[name] = usage_of(node.process.pid)
            sent[name] = control["datagrams_sent"] + control["sync_sent"]
            received[name] = control["datagrams_received"] + control["sync_received"]
        calls = await self._platform_calls()
        return Sample(time.monotonic(), usage, sent, received, calls, relays)

    async def _platform_calls(self) -> dict[str, int]:
        """Return the number of platform calls by kind, without the benchmark's own."""
        url = f"{self._fleet.platform_url}/calls"
        response = await CurlAsyncHTTPClient().fetch(url)
        totals: dict[str, int] = {}
        for key, count in json.loads(response.body).items():
            client, _, kind = key.partition(" ")
            if client != "bench":
                totals[kind] = totals.get(kind, 0) + count
        return totals

    def _convergence(self, versions: range) -> dict[str, float]:
        """Return statistics of the seconds from acceptance to in force."""
        logs = [node.log_path for node in self._fleet.nodes.values()]
        return _convergence(logs, self._accepted_at_s, versions)

    async def _measure_naive(self, changes: int) -> dict[str, Any]:
        """Measure one naive poller per node against the same platform."""
        pollers = [self._start_poller(i) for i in range(self._node_count)]
        try:
            await asyncio.sleep(10 + self._node_count / 20)
            first = max(self._accepted_at_s) + 1
            before = await self._platform_calls()
            started_s = time.monotonic()
            count = max(3, changes // 4)
            await self._publish_changes(count)
            await asyncio.sleep(5)
            seconds_s = time.monotonic() - started_s
            after = await self._platform_calls()
        finally:
            for process, _ in pollers:
                process.terminate()
            for process, _ in pollers:
                process.wait()
        calls = sum(after.values()) - sum(before.values())
        versions = range(first, first + count)
        logs = [path for _, path in pollers]
        return {
            "convergence": _convergence(logs, self._accepted_at_s, versions),
            "platform_calls_per_s": calls / seconds_s,
        }

    def _start_poller(self, i: int) -> tuple[subprocess.Popen, Path]:
        path = self._fleet.folder / f"poller-{i}.log"
        args = ["-m", "bench.naive_poller", f"poller-{i}", self._fleet.platform_url]
        with path.open("ab") as log:
            return subprocess.Popen([sys.executable, *args], stderr=log), path

    async def _measure_mass_restart(self) -> dict[str, float]:
        """Kill and restart half of the nodes, and wait until the fleet recovers."""
        killed_nodes = list(self._fleet.nodes.values())[self._node_count // 2 :]
        for node in killed_nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in killed_nodes:
            node.process.wait()
        await asyncio.sleep(15)
        started_s = time.monotonic()
        for node in killed_nodes:
            self._fleet.start_node(node.place)
        await self._fleet.wait_ready(
            members=self._node_count, timeout_s=_CONVERGENCE_TIMEOUT_S
        )
        members_s = time.monotonic() - started_s
        await self._wait_in_force()
        return {
            "returned": len(killed_nodes),
            "members_known_s": members_s,
            "in_force_s": time.monotonic() - started_s,
        }

    def _any_node(self) -> NodeHandle:
        return next(iter(self._fleet.nodes.values()))


def _log_progress(message: str) -> None:
    click.echo(f"{time.strftime('%X')} {message}", err=True)


def _node_place(i: int) -> NodePlace:
    zone = i % _ZONE_COUNT
    return NodePlace(f"node-{i:04d}", f"region-{zone % _REGION_COUNT}", f"zone-{zone}")


def _usage_between(before: Sample, after: Sample, names: set[str]) -> dict[str, Any]:
    """Return the usage per second of the named nodes between two samples."""
    if not names:
        return {}
    seconds_s = after.at_s - before.at_s

    def rates(counter: str) -> list[float]:
        old, new = getattr(before, counter), getattr(after, counter)
        return [(new[name] - old[name]) / seconds_s for name in names]

    cpu = [
        (after.usage[name].cpu_s - before.usage[name].cpu_s) / seconds_s
        for name in names
    ]
    return {
        "nodes": len(names),
        "cpu_share": _summarize(cpu),
        "sent_bytes_per_s": _summarize(rates("sent_bytes")),
        "received_bytes_per_s": _summarize(rates("received_bytes")),
        "resident_bytes": _summarize([after.usage[n].resident_bytes for n in names]),
    }


def _summarize(values: list[float]) -> dict[str, float]:
    return {
        "mean": sum(values) / len(values),
        "p99": quantile(values, 0.99),
        "max": max(values),
    }


def _convergence(
    logs: list[Path], accepted_at_s: dict[int, float], versions: range
) -> dict[str, float]:
    """Return statistics of the delays until each version was in force on each node.

    The times are read from the logs. A node that skipped a version counts as having
    applied it with the next one.
    """
    delays: list[float] = []
    last_delays: list[float] = []
    applied = [_read_applied_versions(path) for path in logs]
    for version in versions:
        applied_at_s = [_applied_at_s(times, version) for times in applied]
        delays += [at_s - accepted_at_s[version] for at_s in applied_at_s]
        last_delays.append(max(applied_at_s) - accepted_at_s[version])
    return {
        "p50_s": quantile(delays, 0.5),
        "p99_s": quantile(delays, 0.99),
        "max_s": max(delays),
        "last_node_mean_s": sum(last_delays) / len(last_delays),
        "samples": len(delays),
    }


def _read_applied_versions(path: Path) -> list[tuple[float, int]]:
    return [
        (float(time_s), int(version))
        for time_s, version in _CONFIG_APPLIED_EVENT.findall(path.read_text())
    ]


def _applied_at_s(times: list[tuple[float, int]], version: int) -> float:
    """Return when a version or a newer one was applied, infinity if never."""
    return next((at_s for at_s, applied in times if applied >= version), float("inf"))


@click.command()
@click.argument("nodes", type=int, nargs=-1)
@click.option("--changes", default=20, show_default=True)
@click.option("--idle-s", default=20.0, show_default=True)
@click.option("--name", default="distribution", show_default=True)
def main(nodes: tuple[int, ...], changes: int, idle_s: float, name: str) -> None:
    """Measure fleets of the given sizes and write the results as JSON."""
    results = []
    for count in nodes or (50, 100, 200):
        result = asyncio.run(_FleetBenchmark(count).run(changes=changes, idle_s=idle_s))
        click.echo(json.dumps(result, indent=1))
        results.append(result)
        path = _RESULTS_DIR / f"{name}.json"
        path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
