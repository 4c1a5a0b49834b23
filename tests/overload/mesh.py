"""Two node processes and a backend server, whose memory and descriptors are watched."""

import asyncio
import os
from pathlib import Path
from subprocess import Popen

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import Accepted, accept, read_head
from burdockdock.configuration.ini import read_sections
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodePlace
from tests.support import PATIENCE_S

# The memory and the descriptors of the VM in the settings. A node at rest occupies
# about 60 MB, so that 110 MB leave as little room as 200 MB do in a large fleet.
MEMORY_MB = 110
MAX_FDS = 128
_CONFIG = (
    "[defaults]\ntimeout_ms = 2000\n[service matchdesk]\n"
    "[route all]\npath = /\nservice = matchdesk\n"
)
_SAMPLE_INTERVAL_S = 0.05


class WatchedMesh:
    """A caller's node and a gate's node, with the largest use of each process.

    :param limits: further lines of the ``limits`` section of the settings.
    :param config: further sections of the configuration.
    """

    def __init__(self, *, limits: str = "", config: str = "") -> None:
        self._limits = f"memory_mb = {MEMORY_MB}\n{limits}"
        self._config = _CONFIG + config
        self.fleet = LocalFleet(mesh="overload")
        self.open_fds: dict[str, int] = {}
        self._sampler: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Port of the caller's node for callers."""
        return self.fleet.nodes["callers"].callers_port

    async def start(self) -> None:
        """Start all processes, and wait until the caller's node knows the backend."""
        fleet = self.fleet
        fleet.start_platform()
        for name in ("callers", "gate"):
            fleet.start_node(NodePlace(name, "r", "z"), limits=self._limits)
        await fleet.wait_ready(members=2, timeout_s=PATIENCE_S)
        fleet.start_backend(fleet.nodes["gate"], "matchdesk", "1", slots=8)
        await self._store_config()
        async with asyncio.timeout(PATIENCE_S):
            while not await self._knows_backend():
                await asyncio.sleep(0.1)
        self._sampler = asyncio.create_task(self._sample())

    async def stop(self) -> None:
        """Stop all processes."""
        if self._sampler is not None:
            self._sampler.cancel()
        for node in self.fleet.nodes.values():
            # Draining would wait for the connections that callers leave open.
            node.process.kill()
        await asyncio.to_thread(self.fleet.stop)

    def ended_processes(self) -> list[str]:
        """Return the names of the processes that have ended."""
        processes: dict[str, Popen] = {
            name: node.process for name, node in self.fleet.nodes.items()
        }
        for name, backend in self.fleet.backends.items():
            processes[f"{name}-backend"] = backend.process
        return [n for n, process in processes.items() if process.poll() is not None]

    def peak_memory_mb(self) -> dict[str, float]:
        """Return the largest resident memory of each node (VmHWM)."""
        return {
            name: _status_kb(node.process.pid, "VmHWM") / 1024
            for name, node in self.fleet.nodes.items()
        }

    async def _sample(self) -> None:
        while True:
            for name, node in self.fleet.nodes.items():
                count = len(os.listdir(f"/proc/{node.process.pid}/fd"))
                self.open_fds[name] = max(count, self.open_fds.get(name, 0))
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    async def _store_config(self) -> None:
        platform = PlatformClient(
            self.fleet.platform_url, name="test", clock=SystemClock()
        )
        result = await accept(
            platform,
            read_sections(self._config),
            base=await read_head(platform),
            author="test",
            reason="test",
            clock=SystemClock(),
        )
        assert isinstance(result, Accepted), result
        url = self.fleet.nodes["callers"].operators_url
        await call_node(url, "/refresh", method="POST")

    async def _knows_backend(self) -> bool:
        for node in self.fleet.nodes.values():
            status = await call_node(node.operators_url, "/status")
            if status is None or not status["config_version"]:
                return False
        url = self.fleet.nodes["callers"].operators_url
        services = await call_node(url, "/services")
        return services is not None and "matchdesk" in services["services"]


def _status_kb(pid: int, key: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{key}:"):
            return int(line.split()[1])
    raise AssertionError(f"no {key} for process {pid}")
