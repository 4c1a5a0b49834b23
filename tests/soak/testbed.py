"""The processes of a soak test, and the actions on them."""

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from subprocess import DEVNULL, Popen, TimeoutExpired

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import (
    Accepted,
    Head,
    accept_over_newest,
    read_head,
)
from burdockdock.configuration.ini import read_sections
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodeHandle, NodePlace, free_port
from tests.soak.backend_program import HOST
from tests.soak.callers import ConfigVersions, route_path
from tests.soak.checks import Violation
from tests.soak.fault_proxy import FaultProxy

_PROXY_PORTS_VARIABLE = "SOAK_PROXY_PORTS"
_POLL_INTERVAL_S = 0.1
_ZONE_COUNT = 2
_BASE_CONFIG = (
    "[defaults]\ntimeout_ms = 20000\n[service work]\n"
    "[route always]\npath = /always/\nservice = work\n"
)


class _ProxiedFleet(LocalFleet):
    """A fleet whose nodes reach the platform and each other through proxies."""

    platform_proxy: FaultProxy | None = None

    @property
    def platform_url(self) -> str:
        """URL of the proxy in front of the platform."""
        return f"http://{HOST}:{self.platform_proxy.port}"

    def _run(self, name: str, *args: str) -> Popen:
        module = "tests.soak.node_program" if args[0] == "node" else "burdockdock"
        return self.run_module(name, module, *args)

    def run_module(self, name: str, module: str, *args: str) -> Popen:
        """Start a Python module as a process that logs to ``<name>.log``."""
        command = [sys.executable, "-m", module, *args]
        env = {
            **os.environ,
            _PROXY_PORTS_VARIABLE: str(self.folder / "proxy-ports.json"),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            return Popen(command, stdin=DEVNULL, stdout=log, stderr=log, env=env)


class Testbed:
    """Runs a platform, nodes and one backend server beside each node.

    ``violations`` holds the invariants that the processes violated.

    :param folder: directory for logs and records.
    :param grace_period_s: grace period of the nodes in seconds.
    :param stop_margin_s: seconds beyond the grace period after which a process that was
        told to stop is killed.
    """

    def __init__(
        self, folder: Path, grace_period_s: float, stop_margin_s: float
    ) -> None:
        self.folder = folder
        self.versions = ConfigVersions()
        self.violations: list[Violation] = []
        self.proxies: dict[str, FaultProxy] = {}
        self._limits = f"grace_period = {grace_period_s:g}s"
        self._stop_timeout_s = grace_period_s + stop_margin_s
        self._fleet = _ProxiedFleet(mesh="soak", folder=folder)
        self._backends: dict[str, Popen] = {}
        self._backend_ports: dict[str, int] = {}
        self._paused_until_s: dict[str, float] = {}
        port = self._fleet._platform_port
        self._platform = PlatformClient(
            f"http://{HOST}:{port}", name="soak", clock=SystemClock()
        )
        self._platform_address = f"http://{HOST}:{port}"
        self._publish_lock = asyncio.Lock()
        self.proxies["platform"] = self._fleet.platform_proxy = FaultProxy(port)

    @property
    def nodes(self) -> dict[str, NodeHandle]:
        """The nodes, by name."""
        return self._fleet.nodes

    def record_event(self, text: str) -> None:
        """Append an event to ``events.txt``."""
        with (self.folder / "events.txt").open("a") as events:
            events.write(f"{time.time():.3f} {text}\n")

    async def start(self, count: int) -> None:
        """Start all processes and wait until the first configuration is in force."""
        (self.folder / "proxy-ports.json").write_text("{}")
        await self.proxies["platform"].start()
        self._fleet.start_platform()
        while not await self.change_config():
            await asyncio.sleep(_POLL_INTERVAL_S)
        for i in range(count):
            place = NodePlace(f"n{i}", "r", f"z{i % _ZONE_COUNT}")
            node = self._fleet.start_node(place, limits=self._limits)
            self.proxies[place.name] = FaultProxy(node.peers_port)
            await self.proxies[place.name].start()
        ports = {str(n.peers_port): self.proxies[k].port for k, n in self.nodes.items()}
        (self.folder / "proxy-ports.json").write_text(json.dumps(ports))
        await self._fleet.wait_ready(members=count)
        for name in self.nodes:
            self._backend_ports[name] = free_port()
            self.start_backend(name)
        await self.wait_in_force()

    def start_node(self, name: str) -> None:
        """Restart a node with the addresses of two other nodes as its seeds."""
        self.record_event(f"start {name}")
        others = [n.peers_port for other, n in self.nodes.items() if other != name]
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
        """Send SIGTERM to a node and check that it exits within its grace period."""
        self.record_event(f"SIGTERM {name}")
        process, signalled_s = self.nodes[name].process, time.monotonic()
        process.send_signal(signal.SIGTERM)
        exited = await _exits_within(process, self._stop_timeout_s)
        if not exited and signalled_s > self._paused_until_s.get(name, 0.0):
            self.violations.append(
                Violation("a stopped process ends in its grace time", name)
            )
        self.kill_node(name)
        self.record_event(f"gone {name} status {process.returncode}")

    async def stop_backend(self, name: str) -> None:
        """Stop a backend server gracefully: it first announces that it drains."""
        self.record_event(f"SIGTERM backend of {name}")
        self._backends[name].terminate()
        await _exits_within(self._backends[name], self._stop_timeout_s)

    def kill_node(self, name: str) -> None:
        """Kill a node unless it has exited."""
        self._kill(self.nodes[name].process, name)

    def kill_backend(self, name: str) -> None:
        """Kill the backend server beside a node unless it has exited."""
        self._kill(self._backends[name], f"backend of {name}")

    async def signal_node(
        self, name: str, signal_number: signal.Signals, *, after_s: float = 0.0
    ) -> None:
        """Send a signal to the current process of a node unless it exits before.

        :param after_s: seconds to wait before sending it.
        """
        process = self.nodes[name].process
        await asyncio.sleep(after_s)
        if process.poll() is None:
            self.record_event(f"{signal_number.name} {name}")
            process.send_signal(signal_number)

    async def pause(self, name: str, duration_s: float) -> None:
        """Suspend the process of a node for a time."""
        until_s = time.monotonic() + duration_s
        self._paused_until_s[name] = max(until_s, self._paused_until_s.get(name, 0.0))
        await self.signal_node(name, signal.SIGSTOP)
        await self.signal_node(name, signal.SIGCONT, after_s=duration_s)

    async def change_config(self) -> bool:
        """Publish the next configuration and return whether it was accepted."""
        async with self._publish_lock:
            return await self._publish(self.versions.accepted + 1)

    async def republish_config(self) -> None:
        """Publish the last accepted configuration again if the platform lost it."""
        async with self._publish_lock:
            head = await read_head(self._platform)
            if isinstance(head, Head) and head.version < self._stored_version:
                await self._publish(self.versions.accepted)

    async def return_platform(self, *, age_s: float, away_s: float) -> None:
        """Let the platform return from a copy.

        :param age_s: age of the copy in seconds.
        :param away_s: seconds for which the platform refuses all requests before.
        """
        request = HTTPRequest(
            f"{self._platform_address}/return",
            method="POST",
            body=json.dumps({"age_s": age_s, "away_s": away_s}),
        )
        response = await CurlAsyncHTTPClient().fetch(request)
        returned = json.loads(response.body)
        self.record_event(
            f"platform returned from a copy {age_s:.1f} s old: {returned}"
        )

    async def wait_in_force(self) -> None:
        """Wait until every node reports that it applies the last accepted version."""
        number = self.versions.accepted
        for name in self.nodes:
            while await self._config_version_of(name) < self._stored_version:
                await asyncio.sleep(_POLL_INTERVAL_S)
                await self.republish_config()
        self.versions.acknowledged = number
        self.record_event(f"acknowledged {number}")

    async def stop(self) -> None:
        """Stop the nodes gracefully, then kill the remaining processes."""
        await asyncio.gather(*(self.stop_node(name) for name in self.nodes))
        self.kill_all()

    def kill_all(self) -> None:
        """Kill the remaining processes and close the proxies."""
        nodes = [node.process for node in self.nodes.values()]
        for process in [*nodes, *self._backends.values(), self._fleet.platform]:
            self._kill(process, "what is left")
        for proxy in self.proxies.values():
            proxy.close()

    def run_counts(self) -> Counter[str]:
        """Return the number of times that each request ran, by its id."""
        return Counter(
            request_id
            for path in self.folder.glob("*.ran")
            for request_id in path.read_text().split()
        )

    async def _publish(self, number: int) -> bool:
        result = await accept_over_newest(
            self._platform,
            read_sections(_BASE_CONFIG + _numbered_routes(number)),
            author="soak",
            reason="soak",
            clock=SystemClock(),
        )
        if isinstance(result, Accepted):
            self.versions.accepted = number
            self._stored_version = result.version
            self.record_event(f"accepted {number} as {result.version}")
        return isinstance(result, Accepted)

    def _kill(self, process: Popen, name: str) -> None:
        if process.poll() is None:
            self.record_event(f"SIGKILL {name}")
            process.kill()
            process.wait()

    async def _config_version_of(self, name: str) -> int:
        status = await call_node(self.nodes[name].operators_url, "/status")
        return -1 if status is None else status["config_version"]


async def _exits_within(process: Popen, timeout_s: float) -> bool:
    try:
        await asyncio.to_thread(process.wait, timeout_s)
    except TimeoutExpired:
        return False
    return True


def _numbered_routes(number: int) -> str:
    """Return the sections of a version's numbered routes: its own and the previous."""
    return "".join(
        f"[route v{n}]\npath = {route_path(n)}\nservice = work\n"
        for n in (number - 1, number)
        if n
    )
