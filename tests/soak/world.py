"""The processes of a soak, and what is done to them."""

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from subprocess import DEVNULL, Popen, TimeoutExpired

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import Accepted, accept_over_newest
from burdockdock.configuration.ini import read_sections
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodeHandle, NodePlace, free_port
from tests.soak.backend_program import HOST
from tests.soak.callers import Versions, route_path
from tests.soak.checks import Broken
from tests.soak.lines import Line

_LINES_VARIABLE = "SOAK_LINES"
_STATUS_POLL_S = 0.1
_ZONES = 2
_ALWAYS = (
    "[defaults]\ntimeout_ms = 20000\n[service work]\n"
    "[route always]\npath = /always/\nservice = work\n"
)


class _SoakFleet(LocalFleet):
    """Nodes that reach the platform and each other through lines."""

    platform_line: Line | None = None

    @property
    def platform_url(self) -> str:
        """Address of the line to the platform."""
        return f"http://{HOST}:{self.platform_line.port}"

    def _run(self, name: str, *words: str) -> Popen:
        module = "tests.soak.node_program" if words[0] == "node" else "burdockdock"
        return self.run_module(name, module, *words)

    def run_module(self, name: str, module: str, *words: str) -> Popen:
        """Start a process whose output goes to a file of its name."""
        command = [sys.executable, "-m", module, *words]
        env = {**os.environ, _LINES_VARIABLE: str(self.folder / "lines.json")}
        with (self.folder / f"{name}.log").open("ab") as log:
            return Popen(command, stdin=DEVNULL, stdout=log, stderr=log, env=env)


class World:
    """Runs a platform, nodes and their backend servers.

    ``broken`` holds what went wrong at processes and in waiting.

    :param grace_s: the nodes' grace time.
    :param patience_s: how much longer a process may take before it is killed.
    """

    def __init__(self, folder: Path, grace_s: float, patience_s: float) -> None:
        self.folder = folder
        self.versions = Versions()
        self.broken: list[Broken] = []
        self.lines: dict[str, Line] = {}
        self._limits = f"grace_period = {grace_s:g}s"
        self._stop_s = grace_s + patience_s
        self._fleet = _SoakFleet(mesh="soak", folder=folder)
        self._backends: dict[str, Popen] = {}
        self._backend_ports: dict[str, int] = {}
        self._paused_until_s: dict[str, float] = {}
        port = self._fleet._platform_port
        self._platform = PlatformClient(
            f"http://{HOST}:{port}", name="soak", clock=SystemClock()
        )
        self.lines["platform"] = self._fleet.platform_line = Line(port)

    @property
    def nodes(self) -> dict[str, NodeHandle]:
        """The nodes by name."""
        return self._fleet.nodes

    def note(self, text: str) -> None:
        """Write down what is done."""
        with (self.folder / "events.txt").open("a") as events:
            events.write(f"{time.time():.3f} {text}\n")

    async def start(self, count: int) -> None:
        """Start everything, the first configuration in force."""
        (self.folder / "lines.json").write_text("{}")
        await self.lines["platform"].start()
        self._fleet.start_platform()
        while not await self.change_config():
            await asyncio.sleep(_STATUS_POLL_S)
        for i in range(count):
            place = NodePlace(f"n{i}", "r", f"z{i % _ZONES}")
            node = self._fleet.start_node(place, limits=self._limits)
            self.lines[place.name] = Line(node.peers_port)
            await self.lines[place.name].start()
        ports = {str(n.peers_port): self.lines[k].port for k, n in self.nodes.items()}
        (self.folder / "lines.json").write_text(json.dumps(ports))
        await self._fleet.wait_ready(members=count)
        for name in self.nodes:
            self._backend_ports[name] = free_port()
            self.start_backend(name)
        await self.wait_in_force()

    def start_node(self, name: str) -> None:
        """Start a node again; its neighbours' addresses are known to it."""
        self.note(f"start {name}")
        others = [n.peers_port for key, n in self.nodes.items() if key != name]
        self._fleet.start_node(
            self.nodes[name].place, seeds=tuple(others[:2]), limits=self._limits
        )

    def start_backend(self, name: str) -> None:
        """Start the backend server beside a node."""
        self._backends[name] = self._fleet.run_module(
            f"{name}-backend",
            "tests.soak.backend_program",
            str(self._backend_ports[name]),
            self.nodes[name].operators_url,
            str(self.folder / f"{name}.ran"),
        )

    async def stop_node(self, name: str) -> None:
        """Stop a node by its signal, and see that it is gone in its grace time."""
        self.note(f"SIGTERM {name}")
        process, signalled_s = self.nodes[name].process, time.monotonic()
        process.send_signal(signal.SIGTERM)
        gone = await _is_gone(process, self._stop_s)
        if not gone and signalled_s > self._paused_until_s.get(name, 0.0):
            self.broken.append(Broken("a stopped process ends in its grace time", name))
        self.kill_node(name)
        self.note(f"gone {name} status {process.returncode}")

    async def stop_backend(self, name: str) -> None:
        """Stop a backend server, which says first that it leaves."""
        self.note(f"SIGTERM backend of {name}")
        self._backends[name].terminate()
        await _is_gone(self._backends[name], self._stop_s)

    def kill_node(self, name: str) -> None:
        """Kill a node, unless it has ended."""
        self._kill(self.nodes[name].process, name)

    def kill_backend(self, name: str) -> None:
        """Kill the backend server beside a node, unless it has ended."""
        self._kill(self._backends[name], f"backend of {name}")

    async def signal_node(
        self, name: str, number: signal.Signals, *, after_s: float = 0.0
    ) -> None:
        """Send a signal to the process that runs now, unless it ends before."""
        process = self.nodes[name].process
        await asyncio.sleep(after_s)
        if process.poll() is None:
            self.note(f"{number.name} {name}")
            process.send_signal(number)

    async def pause(self, name: str, seconds_s: float) -> None:
        """Let a node stand still."""
        until_s = time.monotonic() + seconds_s
        self._paused_until_s[name] = max(until_s, self._paused_until_s.get(name, 0.0))
        await self.signal_node(name, signal.SIGSTOP)
        await self.signal_node(name, signal.SIGCONT, after_s=seconds_s)

    async def change_config(self) -> bool:
        """Accept the next configuration; return whether the platform took it."""
        number = self.versions.accepted + 1
        result = await accept_over_newest(
            self._platform,
            read_sections(_ALWAYS + _routes(number)),
            author="soak",
            reason="soak",
            clock=SystemClock(),
        )
        if isinstance(result, Accepted):
            self.versions.accepted = number
            self._store_version = result.version
            self.note(f"accepted {number} as {result.version}")
        return isinstance(result, Accepted)

    async def wait_in_force(self) -> None:
        """Wait until each node says that it applies what was accepted last."""
        number = self.versions.accepted
        for name in self.nodes:
            while await self._version_of(name) < self._store_version:
                await asyncio.sleep(_STATUS_POLL_S)
        self.versions.acknowledged = number
        self.note(f"acknowledged {number}")

    async def stop(self) -> None:
        """Stop the nodes, then end every process."""
        await asyncio.gather(*(self.stop_node(name) for name in self.nodes))
        self.kill_all()

    def kill_all(self) -> None:
        """Kill what is left."""
        nodes = [node.process for node in self.nodes.values()]
        for process in [*nodes, *self._backends.values(), self._fleet.platform]:
            self._kill(process, "what is left")
        for line in self.lines.values():
            line.close()

    def runs(self) -> Counter[str]:
        """Return how often each request ran, by its id."""
        return Counter(
            key
            for path in self.folder.glob("*.ran")
            for key in path.read_text().split()
        )

    def _kill(self, process: Popen, name: str) -> None:
        if process.poll() is None:
            self.note(f"SIGKILL {name}")
            process.kill()
            process.wait()

    async def _version_of(self, name: str) -> int:
        status = await call_node(self.nodes[name].operators_url, "/status")
        return -1 if status is None else status["config_version"]


async def _is_gone(process: Popen, patience_s: float) -> bool:
    try:
        await asyncio.to_thread(process.wait, patience_s)
    except TimeoutExpired:
        return False
    return True


def _routes(number: int) -> str:
    """Return the routes of a version: its own and the one before."""
    return "".join(
        f"[route v{n}]\npath = {route_path(n)}\nservice = work\n"
        for n in (number - 1, number)
        if n
    )
