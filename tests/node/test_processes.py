"""Kills, freezes and outages of real processes, checked at every node."""

import asyncio
import json
import re
import signal
from pathlib import Path

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import Accepted, accept, read_head
from burdockdock.configuration.ini import read_sections
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.load import LoadRunner
from burdockdock.standin.local_fleet import LocalFleet, NodeHandle, NodePlace
from tests.support import PATIENCE_S, async_test

_ZONES = 3
_APPLIED = re.compile(r"event=(node.serving|config.applied) .*?version=(\d+)")


def _config(number: int) -> str:
    return (
        f"[defaults]\ntimeout_ms = {2000 + number}\nretries = 2\n"
        "[service matchdesk]\n[service tripvault]\n"
        "[route profiles]\npath = /profiles\nservice = matchdesk\n"
        "[route confirmations]\npath = /confirmations\nservice = matchdesk\n"
        "[route trips]\npath = /trips\nservice = tripvault\n"
    )


class _Processes:
    """A fleet of processes and the configuration that was accepted last."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.accepted = 0
        self.platform = PlatformClient(
            fleet.platform_url, name="test", clock=SystemClock()
        )

    async def start(self, count: int) -> None:
        """Start the platform and some nodes in three availability zones."""
        self.fleet.start_platform()
        for i in range(count):
            self.fleet.start_node(_place(i))
        await self.fleet.wait_ready(members=count, timeout_s=PATIENCE_S)

    async def change(self, *, nudge: NodeHandle | None = None) -> None:
        """Accept another configuration."""
        head = await read_head(self.platform)
        result = await accept(
            self.platform,
            read_sections(_config(head.version)),
            base=head,
            author="test",
            reason="test",
            clock=SystemClock(),
        )
        assert isinstance(result, Accepted), result
        self.accepted = result.version
        if nudge is not None:
            await call_node(nudge.operators_url, "/refresh", method="POST")

    async def wait_in_force(self) -> None:
        """Wait until every node applies what was accepted."""
        async with asyncio.timeout(PATIENCE_S):
            for node in self.fleet.nodes.values():
                while await self._version_of(node) != self.accepted:
                    await asyncio.sleep(0.1)

    async def switch(self, **switches: object) -> None:
        """Change how the platform fails."""
        url = f"{self.fleet.platform_url}/switches"
        request = HTTPRequest(url, method="POST", body=json.dumps(switches))
        await CurlAsyncHTTPClient().fetch(request)

    async def relays(self) -> list[NodeHandle]:
        """Return the nodes that hold a relay lease."""
        found = []
        for node in self.fleet.nodes.values():
            status = await call_node(node.operators_url, "/status")
            if status is not None and status["is_relay"]:
                found.append(node)
        return found

    def kill(self, node: NodeHandle) -> None:
        """Kill a node without warning."""
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()

    async def _version_of(self, node: NodeHandle) -> int:
        status = await call_node(node.operators_url, "/status")
        return -1 if status is None else status["config_version"]


def _place(i: int) -> NodePlace:
    return NodePlace(f"node-{i}", "r", f"z{i % _ZONES}")


def _lowered_versions(path: Path) -> list[tuple[int, int]]:
    """Return where a log shows a lower version after a higher one.

    Between two runs of a node nothing is kept, but a node must not serve with less
    than what it served with before.
    """
    versions = [int(version) for _, version in _APPLIED.findall(path.read_text())]
    return [
        (before, after)
        for before, after in zip(versions, versions[1:], strict=False)
        if after < before
    ]


class ProcessesTest(testtools.TestCase):
    """Tests of a few real processes."""

    @async_test
    async def test_kills_freezes_and_outages(self) -> None:
        fleet = LocalFleet(mesh="test")
        processes = _Processes(fleet)
        try:
            await processes.start(9)
            await self._run_faults(processes)
            for node in fleet.nodes.values():
                self.assertEqual([], _lowered_versions(node.log_path), node.place)
        finally:
            await asyncio.to_thread(fleet.stop)

    async def _run_faults(self, processes: _Processes) -> None:
        nodes = list(processes.fleet.nodes.values())
        await processes.change(nudge=nodes[0])
        await processes.wait_in_force()
        await self._kill_all_relays_of_a_zone(processes)
        await self._freeze_a_relay(processes)
        await self._return_half_during_an_outage(processes)
        await self._lose_the_heads_answer(processes)

    async def _kill_all_relays_of_a_zone(self, processes: _Processes) -> None:
        relays = await processes.relays()
        zone = relays[0].place.availability_zone
        victims = [r for r in relays if r.place.availability_zone == zone]
        for node in victims:
            processes.kill(node)
        await processes.change()
        for node in victims:
            processes.fleet.start_node(node.place)
        await processes.wait_in_force()

    async def _freeze_a_relay(self, processes: _Processes) -> None:
        """A relay that wakes past its lease brings nothing older back."""
        frozen = (await processes.relays())[0]
        frozen.process.send_signal(signal.SIGSTOP)
        try:
            await processes.change()
            await asyncio.sleep(6)
            await processes.change()
        finally:
            frozen.process.send_signal(signal.SIGCONT)
        await processes.wait_in_force()

    async def _return_half_during_an_outage(self, processes: _Processes) -> None:
        """Nodes that start while the platform is down learn from their peers."""
        nodes = list(processes.fleet.nodes.values())
        seeds = tuple(node.peers_port for node in nodes[:5])
        await processes.switch(down=True)
        for node in nodes[5:]:
            processes.kill(node)
        for node in nodes[5:]:
            processes.fleet.start_node(node.place, seeds=seeds)
        await processes.wait_in_force()
        await processes.switch(down=False)

    async def _lose_the_heads_answer(self, processes: _Processes) -> None:
        await processes.switch(lose_answers=1, lose_key_prefix="config/head")
        await processes.change(nudge=next(iter(processes.fleet.nodes.values())))
        await processes.wait_in_force()

    @async_test
    async def test_rolling_restart_cuts_no_call(self) -> None:
        fleet = LocalFleet(mesh="test")
        processes = _Processes(fleet)
        try:
            await processes.start(5)
            await self._restart_each(processes)
        finally:
            await asyncio.to_thread(fleet.stop)

    async def _restart_each(self, processes: _Processes) -> None:
        fleet = processes.fleet
        for i, service in enumerate(("matchdesk", "tripvault") * 2):
            node = fleet.nodes[f"node-{i + 1}"]
            fleet.start_backend(node, service, "1", latency_ms=20, slots=50)
        await processes.change(nudge=fleet.nodes["node-0"])
        await processes.wait_in_force()
        load = LoadRunner([fleet.nodes["node-0"].callers_url], calls_per_s=60)
        await self._wait_for_services(fleet)
        task = asyncio.create_task(load.run())
        for i in range(1, 5):
            await self._restart(fleet, f"node-{i}", load)
        load.stop()
        await task
        report = load.report
        self.assertGreater(report.calls, 0)
        seen = (report, load.failure_reasons)
        self.assertEqual((report.calls, 0), (report.complete, report.faulty), seen)

    async def _restart(self, fleet: LocalFleet, name: str, load: LoadRunner) -> None:
        node = fleet.nodes[name]
        node.process.terminate()
        status = await asyncio.to_thread(node.process.wait, PATIENCE_S)
        self.assertEqual(0, status)
        fleet.start_node(node.place)
        await self._wait_for_services(fleet)

    async def _wait_for_services(self, fleet: LocalFleet) -> None:
        """Wait until node 0 knows both backend servers of each service again."""
        expected = {"matchdesk": {"1": 2}, "tripvault": {"1": 2}}
        url = fleet.nodes["node-0"].operators_url
        async with asyncio.timeout(PATIENCE_S):
            while (await call_node(url, "/services"))["services"] != expected:
                await asyncio.sleep(0.1)
