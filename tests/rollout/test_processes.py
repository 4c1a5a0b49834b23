"""Test of a faulty rollout on real processes whose owner is killed or paused."""

import asyncio
import re
import signal
from datetime import timedelta

import testtools

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import accept_over_newest
from burdockdock.configuration.ini import read_sections
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformClient
from burdockdock.rollout.model import Phase, Rollout
from burdockdock.rollout.start import read_rollout, start_rollout
from burdockdock.standin.load import LoadRunner
from burdockdock.standin.local_fleet import LocalFleet, NodeHandle, NodePlace
from tests.support import PATIENCE_S, async_test

_CONFIG = (
    "[service matchdesk]\ninitial_version = 1\n[service tripvault]\n"
    "[route all]\npath = /\nservice = matchdesk\n"
)
_OWNED_EVENT = re.compile(r"time_s=(\S+) event=rollout.owned")


def _newest_owner(fleet: LocalFleet) -> NodeHandle | None:
    """Return the node that most recently logged that it owns a rollout."""
    owned = [
        (float(at_s), node.place.name)
        for node in fleet.nodes.values()
        for at_s in _OWNED_EVENT.findall(node.log_path.read_text())
    ]
    return fleet.nodes[max(owned)[1]] if owned else None


class RolloutProcessesTest(testtools.TestCase):
    """Tests of a rollout on a few real processes."""

    @async_test
    async def test_bad_version_is_rolled_back_though_its_owner_is_killed(self) -> None:
        fleet = LocalFleet(mesh="test")
        try:
            await self._run(fleet)
        finally:
            await asyncio.to_thread(fleet.stop)

    async def _run(self, fleet: LocalFleet) -> None:
        fleet.start_platform()
        for i in range(6):
            fleet.start_node(NodePlace(f"node-{i}", "r", f"z{i % 3}"))
        await fleet.wait_ready(members=6, timeout_s=PATIENCE_S)
        for i, version in ((2, "1"), (3, "1"), (4, "2"), (5, "2")):
            node = fleet.nodes[f"node-{i}"]
            options = {"fail_share": 0.9, "fail_after": 10} if version == "2" else {}
            fleet.start_backend(node, "matchdesk", version, **options)
        platform = PlatformClient(fleet.platform_url, name="test", clock=SystemClock())
        await self._apply_config(platform)
        urls = [fleet.nodes[f"node-{i}"].callers_url for i in (2, 3)]
        load = LoadRunner(urls, calls_per_s=150)
        await load.call_until_answered("/x")
        task = asyncio.create_task(load.run())
        await self._start_rollout(platform)
        await self._kill_owner(fleet)
        ended = await self._wait_end(platform)
        self.assertIs(Phase.ROLLED_BACK, ended.phase)
        self.assertIn("failures", ended.history[-1].reason)
        await self._wait_for_outcome_on_all_nodes(fleet)
        load.stop()
        await task

    async def _apply_config(self, platform: PlatformClient) -> None:
        await accept_over_newest(
            platform,
            read_sections(_CONFIG),
            author="test",
            reason="test",
            clock=SystemClock(),
        )

    async def _start_rollout(self, platform: PlatformClient) -> None:
        started = await start_rollout(
            platform,
            service="matchdesk",
            from_version="1",
            to_version="2",
            deadline=SystemClock().now() + timedelta(seconds=60),
            author="test",
            reason="test",
            clock=SystemClock(),
        )
        self.assertIsInstance(started, Rollout)

    async def _kill_owner(self, fleet: LocalFleet) -> None:
        """Kill the owner; if it has a backend server, only pause it instead."""
        async with asyncio.timeout(PATIENCE_S):
            while (owner := _newest_owner(fleet)) is None:
                await asyncio.sleep(0.05)
        if owner.place.name in ("node-0", "node-1"):
            owner.process.send_signal(signal.SIGKILL)
            owner.process.wait()
            fleet.start_node(owner.place)
            return
        # Its backend server is needed: only pause the node until its lease has expired.
        owner.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(6)
        owner.process.send_signal(signal.SIGCONT)

    async def _wait_end(self, platform: PlatformClient) -> Rollout:
        async with asyncio.timeout(2 * PATIENCE_S):
            while True:
                rollout, _ = await read_rollout(platform, "matchdesk")
                if rollout.phase.final:
                    return rollout
                await asyncio.sleep(0.2)

    async def _wait_for_outcome_on_all_nodes(self, fleet: LocalFleet) -> None:
        """Wait until every node reports the outcome."""
        async with asyncio.timeout(PATIENCE_S):
            for node in fleet.nodes.values():
                while await self._phase_at(node) != "rolled_back":
                    await asyncio.sleep(0.1)

    async def _phase_at(self, node: NodeHandle) -> str:
        status = await call_node(node.operators_url, "/status")
        moves = status["moves"] if status else []
        return moves[0]["phase"] if moves else ""
