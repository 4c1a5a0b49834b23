"""Tests of node processes under kills, freezes and platform outages."""

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
_APPLIED_EVENT = re.compile(r"event=(node.serving|config.applied) .*?version=(\d+)")


def _config(number: int) -> str:
    return (
        f"[defaults]\ntimeout_ms = {2000 + number}\nretries = 2\n"
        "[service matchdesk]\n[service tripvault]\n"
        "[route profiles]\npath = /profiles\nservice = matchdesk\n"
        "[route confirmations]\npath = /confirmations\nservice = matchdesk\n"
        "[route trips]\npath = /trips\nservice = tripvault\n"
    )


class _ProcessFleet:
    """A fleet of node processes and the version of its newest configuration."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.accepted_version = 0
        self.platform = PlatformClient(
            fleet.platform_url, name="test", clock=SystemClock()
        )

    async def start(self, count: int) -> None:
        """Start the platform and some nodes in three availability zones."""
        self.fleet.start_platform()
        for i in range(count):
            self.fleet.start_node(_place(i))
        await self.fleet.wait_ready(members=count, timeout_s=PATIENCE_S)

    async def store_config(self, *, refreshed_node: NodeHandle | None = None) -> None:
        """Store a new configuration version.

        :param refreshed_node: node that is asked to read the platform at once.
        """
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
        self.accepted_version = result.version
        if refreshed_node is not None:
            await call_node(refreshed_node.operators_url, "/refresh", method="POST")

    async def wait_applied(self) -> None:
        """Wait until every node applies the newest version."""
        async with asyncio.timeout(PATIENCE_S):
            for node in self.fleet.nodes.values():
                while await self._version_of(node) != self.accepted_version:
                    await asyncio.sleep(0.1)

    async def set_faults(self, **faults: object) -> None:
        """Set the faults that the platform injects."""
        url = f"{self.fleet.platform_url}/switches"
        request = HTTPRequest(url, method="POST", body=json.dumps(faults))
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
        """Kill a node with SIGKILL."""
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()

    async def _version_of(self, node: NodeHandle) -> int:
        status = await call_node(node.operators_url, "/status")
        return -1 if status is None else status["config_version"]


def _place(i: int) -> NodePlace:
    return NodePlace(f"node-{i}", "r", f"z{i % _ZONES}")


def _version_regressions(path: Path) -> list[tuple[int, int]]:
    """Return pairs of versions in a log where a lower one follows a higher one.

    A node keeps no state across a restart, but it must never serve an older version
    than before.
    """
    versions = [int(version) for _, version in _APPLIED_EVENT.findall(path.read_text())]
    return [
        (before, after)
        for before, after in zip(versions, versions[1:], strict=False)
        if after < before
    ]


class ProcessesTest(testtools.TestCase):
    """Tests of fleets of real processes."""

    @async_test
    async def test_kills_freezes_and_outages(self) -> None:
        fleet = LocalFleet(mesh="test")
        processes = _ProcessFleet(fleet)
        try:
            await processes.start(9)
            await self._run_faults(processes)
            for node in fleet.nodes.values():
                self.assertEqual([], _version_regressions(node.log_path), node.place)
        finally:
            await asyncio.to_thread(fleet.stop)

    async def _run_faults(self, processes: _ProcessFleet) -> None:
        nodes = list(processes.fleet.nodes.values())
        await processes.store_config(refreshed_node=nodes[0])
        await processes.wait_applied()
        await self._kill_all_relays_of_a_zone(processes)
        await self._freeze_a_relay(processes)
        await self._restart_nodes_during_an_outage(processes)
        await self._lose_answer_for_config_head(processes)

    async def _kill_all_relays_of_a_zone(self, processes: _ProcessFleet) -> None:
        relays = await processes.relays()
        zone = relays[0].place.availability_zone
        killed = [r for r in relays if r.place.availability_zone == zone]
        for node in killed:
            processes.kill(node)
        await processes.store_config()
        for node in killed:
            processes.fleet.start_node(node.place)
        await processes.wait_applied()

    async def _freeze_a_relay(self, processes: _ProcessFleet) -> None:
        """Resume a relay after its lease has expired; no old version may return."""
        frozen = (await processes.relays())[0]
        frozen.process.send_signal(signal.SIGSTOP)
        try:
            await processes.store_config()
            await asyncio.sleep(6)
            await processes.store_config()
        finally:
            frozen.process.send_signal(signal.SIGCONT)
        await processes.wait_applied()

    async def _restart_nodes_during_an_outage(self, processes: _ProcessFleet) -> None:
        """Restart nodes during a platform outage; they sync from their peers."""
        nodes = list(processes.fleet.nodes.values())
        seeds = tuple(node.peers_port for node in nodes[:5])
        await processes.set_faults(down=True)
        for node in nodes[5:]:
            processes.kill(node)
        for node in nodes[5:]:
            processes.fleet.start_node(node.place, seeds=seeds)
        await processes.wait_applied()
        await processes.set_faults(down=False)

    async def _lose_answer_for_config_head(self, processes: _ProcessFleet) -> None:
        await processes.set_faults(lose_answers=1, lose_key_prefix="config/head")
        await processes.store_config(
            refreshed_node=next(iter(processes.fleet.nodes.values()))
        )
        await processes.wait_applied()

    @async_test
    async def test_rolling_restart_fails_no_call(self) -> None:
        fleet = LocalFleet(mesh="test")
        processes = _ProcessFleet(fleet)
        try:
            await processes.start(5)
            await self._run_rolling_restart(processes)
        finally:
            await asyncio.to_thread(fleet.stop)

    async def _run_rolling_restart(self, processes: _ProcessFleet) -> None:
        fleet = processes.fleet
        for i, service in enumerate(("matchdesk", "tripvault") * 2):
            node = fleet.nodes[f"node-{i + 1}"]
            fleet.start_backend(node, service, "1", latency_ms=20, slots=50)
        await processes.store_config(refreshed_node=fleet.nodes["node-0"])
        await processes.wait_applied()
        load = LoadRunner([fleet.nodes["node-0"].callers_url], calls_per_s=60)
        await self._wait_for_services(fleet)
        task = asyncio.create_task(load.run())
        for i in range(1, 5):
            await self._restart(fleet, f"node-{i}", load)
        load.stop()
        await task
        report = load.report
        self.assertGreater(report.calls, 0)
        details = (report, load.failure_reasons)
        self.assertEqual((report.calls, 0), (report.complete, report.faulty), details)

    async def _restart(self, fleet: LocalFleet, name: str, load: LoadRunner) -> None:
        node = fleet.nodes[name]
        node.process.terminate()
        status = await asyncio.to_thread(node.process.wait, PATIENCE_S)
        self.assertEqual(0, status)
        fleet.start_node(node.place)
        await self._wait_for_services(fleet)

    async def _wait_for_services(self, fleet: LocalFleet) -> None:
        """Wait until node 0 knows both backend servers of each service."""
        expected = {"matchdesk": {"1": 2}, "tripvault": {"1": 2}}
        url = fleet.nodes["node-0"].operators_url
        async with asyncio.timeout(PATIENCE_S):
            while (await call_node(url, "/services"))["services"] != expected:
                await asyncio.sleep(0.1)
