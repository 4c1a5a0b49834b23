"""Measures the spread of configuration on real processes of this machine.

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

_REGIONS = 5
_ZONES = 15
_CHANGE_INTERVAL_S = 2.0
_START_BATCH = 16
_START_BATCH_S = 1.0
_PATIENCE_S = 90.0
_APPLIED = re.compile(r"time_s=(\S+) event=config.applied version=(\d+)")
_RESULTS = Path(__file__).parent / "results"


class Sample(NamedTuple):
    """All counters at one moment."""

    at_s: float
    usage: dict[str, Usage]
    sent_bytes: dict[str, int]
    received_bytes: dict[str, int]
    platform_calls: dict[str, int]
    relays: set[str]


class _Bench:
    """One size of fleet."""

    def __init__(self, nodes: int) -> None:
        self._count = nodes
        self._fleet = LocalFleet(mesh="bench")
        self._platform = PlatformClient(
            self._fleet.platform_url, name="bench", clock=SystemClock(), timeout_s=20
        )
        self._sections: Sections = full_size_sections()
        self._accepted_at_s: dict[int, float] = {}

    async def run(self, *, changes: int, idle_s: float) -> dict[str, Any]:
        """Measure and return the figures."""
        try:
            return await self._measure(changes, idle_s)
        finally:
            await asyncio.to_thread(self._fleet.stop)

    async def _measure(self, changes: int, idle_s: float) -> dict[str, Any]:
        result: dict[str, Any] = {"nodes": self._count}
        result["start_s"] = await self._start()
        await self._change(0)
        await self._wait_in_force()
        await asyncio.sleep(10)
        _say("idle")
        result["idle"] = await self._window(asyncio.sleep(idle_s), 0)
        _say("changing")
        result["changing"] = await self._window(self._run_changes(changes), changes)
        result["convergence"] = self._convergence(range(2, changes + 2))
        _say("naive version")
        result["naive"] = await self._measure_naive(changes)
        _say("herd")
        result["herd"] = await self._herd()
        return result

    async def _start(self) -> float:
        started_s = time.monotonic()
        self._fleet.start_platform()
        await asyncio.sleep(1)
        for start in range(0, self._count, _START_BATCH):
            for i in range(start, min(start + _START_BATCH, self._count)):
                self._fleet.start_node(_place(i))
            await asyncio.sleep(_START_BATCH_S)
        await self._fleet.wait_ready(members=self._count, timeout_s=300)
        return time.monotonic() - started_s

    async def _change(self, number: int) -> int:
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

    async def _run_changes(self, changes: int) -> None:
        for number in range(1, changes + 1):
            started_s = time.monotonic()
            await self._change(number)
            spent_s = time.monotonic() - started_s
            await asyncio.sleep(max(0.0, _CHANGE_INTERVAL_S - spent_s))
        await self._wait_in_force()

    async def _wait_in_force(self) -> None:
        version = max(self._accepted_at_s)
        give_up_at_s = time.monotonic() + _PATIENCE_S
        while time.monotonic() < give_up_at_s:
            status = await call_node(self._any_node().operators_url, "/status")
            fleet = (status or {}).get("fleet")
            if fleet and fleet["version"] == version:
                if fleet["applied"] == fleet["total"] == self._count:
                    return
            await asyncio.sleep(0.2)
        raise TimeoutError(f"version {version} is not in force everywhere: {fleet}")

    async def _window(self, work: Any, changes: int) -> dict[str, Any]:
        """Return the use of everything during some work, a node and second."""
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
            "relays": _use(before, after, after.relays),
            "others": _use(before, after, set(after.usage) - after.relays),
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
        """Return the platform's count of calls by kind, the bench's left out."""
        url = f"{self._fleet.platform_url}/calls"
        response = await CurlAsyncHTTPClient().fetch(url)
        totals: dict[str, int] = {}
        for key, count in json.loads(response.body).items():
            client, _, kind = key.partition(" ")
            if client != "bench":
                totals[kind] = totals.get(kind, 0) + count
        return totals

    def _convergence(self, versions: range) -> dict[str, float]:
        """Return the seconds from acceptance to in force, over nodes and versions."""
        logs = [node.log_path for node in self._fleet.nodes.values()]
        return _convergence(logs, self._accepted_at_s, versions)

    async def _measure_naive(self, changes: int) -> dict[str, Any]:
        """Run as many naive pollers beside the same platform and sources."""
        pollers = [self._start_poller(i) for i in range(self._count)]
        try:
            await asyncio.sleep(10 + self._count / 20)
            first = max(self._accepted_at_s) + 1
            before = await self._platform_calls()
            started_s = time.monotonic()
            count = max(3, changes // 4)
            await self._run_changes(count)
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
        words = ["-m", "bench.naive_poller", f"poller-{i}", self._fleet.platform_url]
        with path.open("ab") as log:
            return subprocess.Popen([sys.executable, *words], stderr=log), path

    async def _herd(self) -> dict[str, float]:
        """Kill half of the nodes, start them again, and wait until all is well."""
        victims = list(self._fleet.nodes.values())[self._count // 2 :]
        for node in victims:
            node.process.send_signal(signal.SIGKILL)
        for node in victims:
            node.process.wait()
        await asyncio.sleep(15)
        started_s = time.monotonic()
        for node in victims:
            self._fleet.start_node(node.place)
        await self._fleet.wait_ready(members=self._count, timeout_s=_PATIENCE_S)
        members_s = time.monotonic() - started_s
        await self._wait_in_force()
        return {
            "returned": len(victims),
            "members_known_s": members_s,
            "in_force_s": time.monotonic() - started_s,
        }

    def _any_node(self) -> NodeHandle:
        return next(iter(self._fleet.nodes.values()))


def _say(line: str) -> None:
    click.echo(f"{time.strftime('%X')} {line}", err=True)


def _place(i: int) -> NodePlace:
    zone = i % _ZONES
    return NodePlace(f"node-{i:04d}", f"region-{zone % _REGIONS}", f"zone-{zone}")


def _use(before: Sample, after: Sample, names: set[str]) -> dict[str, Any]:
    """Return what each of some nodes used a second between two samples."""
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
        "cpu_share": _summary(cpu),
        "sent_bytes_per_s": _summary(rates("sent_bytes")),
        "received_bytes_per_s": _summary(rates("received_bytes")),
        "resident_bytes": _summary([after.usage[n].resident_bytes for n in names]),
    }


def _summary(values: list[float]) -> dict[str, float]:
    return {
        "mean": sum(values) / len(values),
        "p99": quantile(values, 0.99),
        "max": max(values),
    }


def _convergence(
    logs: list[Path], accepted_at_s: dict[int, float], versions: range
) -> dict[str, float]:
    """Read from the logs when each version came into force on each node.

    A node that skipped a version applied it with the next one.
    """
    delays: list[float] = []
    last_delays: list[float] = []
    applied = [_read_applied(path) for path in logs]
    for version in versions:
        found = [_first_at_least(times, version) for times in applied]
        delays += [at_s - accepted_at_s[version] for at_s in found]
        last_delays.append(max(found) - accepted_at_s[version])
    return {
        "p50_s": quantile(delays, 0.5),
        "p99_s": quantile(delays, 0.99),
        "max_s": max(delays),
        "last_node_mean_s": sum(last_delays) / len(last_delays),
        "samples": len(delays),
    }


def _read_applied(path: Path) -> list[tuple[float, int]]:
    return [(float(t), int(v)) for t, v in _APPLIED.findall(path.read_text())]


def _first_at_least(times: list[tuple[float, int]], version: int) -> float:
    return next((at_s for at_s, applied in times if applied >= version), float("inf"))


@click.command()
@click.argument("nodes", type=int, nargs=-1)
@click.option("--changes", default=20, show_default=True)
@click.option("--idle-s", default=20.0, show_default=True)
@click.option("--name", default="distribution", show_default=True)
def main(nodes: tuple[int, ...], changes: int, idle_s: float, name: str) -> None:
    """Measure fleets of these sizes and write the figures as JSON."""
    results = []
    for count in nodes or (50, 100, 200):
        result = asyncio.run(_Bench(count).run(changes=changes, idle_s=idle_s))
        click.echo(json.dumps(result, indent=1))
        results.append(result)
        path = _RESULTS / f"{name}.json"
        path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
