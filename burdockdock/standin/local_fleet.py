"""Small fleet of real processes on this machine, for demos, tests and benchmarks.

Nodes never start processes this way.
"""

import asyncio
import random
import socket
import sys
import tempfile
import time
from pathlib import Path
from subprocess import DEVNULL, Popen, TimeoutExpired
from typing import NamedTuple

from burdockdock.node.operator_client import call_node

_HOST = "127.0.0.1"
_STOP_TIMEOUT_S = 30.0
_PORT_RANGE_START = 10_000
_PORT_RANGE_END = 32_000
_POLL_INTERVAL_S = 0.1


class NodePlace(NamedTuple):
    """Name and location of a node."""

    name: str
    region: str
    availability_zone: str


class NodeHandle(NamedTuple):
    """Process of a node, with its ports and files."""

    place: NodePlace
    process: Popen
    callers_port: int
    peers_port: int
    operators_port: int
    settings_path: Path
    log_path: Path

    @property
    def callers_url(self) -> str:
        """URL to which callers send requests."""
        return f"http://{_HOST}:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """URL to which operators send requests."""
        return f"http://{_HOST}:{self.operators_port}"


class BackendHandle(NamedTuple):
    """Process of a backend server, with its port."""

    process: Popen
    port: int

    @property
    def url(self) -> str:
        """URL of the backend server."""
        return f"http://{_HOST}:{self.port}"


class LocalFleet:
    """Starts the processes of a fleet, and stops only those.

    :param mesh: name of the mesh.
    :param folder: folder for settings and logs; None for a temporary one that is
        deleted at the end.
    """

    def __init__(self, *, mesh: str = "demo", folder: Path | None = None) -> None:
        self._mesh = mesh
        self._temporary_folder = None
        if folder is None:
            self._temporary_folder = tempfile.TemporaryDirectory(prefix="burdockdock-")
            folder = Path(self._temporary_folder.name)
        folder.mkdir(parents=True, exist_ok=True)
        self._platform_port = free_port()
        self.folder = folder
        self.platform: Popen | None = None
        self.nodes: dict[str, NodeHandle] = {}
        self.backends: dict[str, BackendHandle] = {}

    @property
    def platform_url(self) -> str:
        """URL of the stand-in for the platform."""
        return f"http://{_HOST}:{self._platform_port}"

    def start_platform(self) -> None:
        """Start the stand-in for the platform."""
        self.platform = self._start_process(
            "platform", "standin", "platform", "--port", str(self._platform_port)
        )

    def start_node(
        self, place: NodePlace, *, seeds: tuple[int, ...] = (), limits: str = ""
    ) -> NodeHandle:
        """Start a node; a node that ran before keeps its ports.

        :param seeds: peer ports of the seed nodes.
        :param limits: lines of the ``limits`` section of the settings.
        """
        previous = self.nodes.get(place.name)
        ports = (
            (previous.callers_port, previous.peers_port, previous.operators_port)
            if previous
            else (free_port(), free_port(), free_port())
        )
        path = self.folder / f"{place.name}.ini"
        path.write_text(self._render_settings(place, ports, seeds, limits))
        process = self._start_process(place.name, "node", "--settings", str(path))
        log_path = self.folder / f"{place.name}.log"
        handle = NodeHandle(place, process, *ports, path, log_path)
        self.nodes[place.name] = handle
        return handle

    def start_backend(
        self, node: NodeHandle, service: str, version: str, **options: object
    ) -> BackendHandle:
        """Start a backend server beside a node.

        :param options: further options of ``burdockdock standin backend``, with
            underscores for hyphens.
        """
        port = free_port()
        flags = [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        process = self._start_process(
            f"{node.place.name}-backend",
            "standin",
            "backend",
            f"--service={service}",
            f"--version={version}",
            f"--port={port}",
            f"--announce-to={node.operators_url}",
            *flags,
        )
        handle = BackendHandle(process, port)
        self.backends[node.place.name] = handle
        return handle

    async def wait_ready(self, *, members: int, timeout_s: float = 60.0) -> float:
        """Wait until every node knows at least a number of members.

        :returns: the seconds that this took.
        :raises TimeoutError: if a node does not in time.
        """
        started_s = time.monotonic()
        for node in list(self.nodes.values()):
            while not await _knows_members(node, members):
                if time.monotonic() - started_s > timeout_s:
                    raise TimeoutError(
                        f"{node.place.name} did not discover all members"
                    )
                await asyncio.sleep(_POLL_INTERVAL_S)
        return time.monotonic() - started_s

    def stop(self) -> list[str]:
        """Stop all processes gracefully.

        :returns: a description of each process that did not stop in time or failed.
        """
        problems = self.stop_nodes()
        other_processes = [b.process for b in self.backends.values()]
        if self.platform is not None:
            other_processes.append(self.platform)
        for process in other_processes:
            process.terminate()
        for process in other_processes:
            problems += _wait_or_kill(process, "stand-in")
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()
        return problems

    def stop_nodes(self) -> list[str]:
        """Stop the nodes gracefully.

        :returns: a description of each node that did not stop in time or failed.
        """
        for node in self.nodes.values():
            node.process.terminate()
        problems = []
        for node in self.nodes.values():
            problems += _wait_or_kill(node.process, node.place.name)
        return problems

    def _start_process(self, name: str, *arguments: str) -> Popen:
        with (self.folder / f"{name}.log").open("ab") as log:
            return Popen(
                [sys.executable, "-m", "burdockdock", *arguments],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _render_settings(
        self,
        place: NodePlace,
        ports: tuple[int, int, int],
        seeds: tuple[int, ...],
        limits: str,
    ) -> str:
        callers, peers, operators = ports
        addresses = ", ".join(f"{_HOST}:{port}" for port in seeds)
        return (
            f"[node]\nname = {place.name}\nmesh = {self._mesh}\n"
            f"region = {place.region}\n"
            f"availability_zone = {place.availability_zone}\n"
            f"[listen]\ncallers = {_HOST}:{callers}\npeers = {_HOST}:{peers}\n"
            f"operators = {_HOST}:{operators}\n"
            f"[platform]\nurl = {self.platform_url}\n"
            f"[peers]\nseeds = {addresses}\n[limits]\n{limits}\n"
        )


_returned_ports: set[int] = set()
_port_rng = random.Random()


def free_port() -> int:
    """Return a port that is free for TCP and UDP and was not returned before.

    The port is below the ephemeral range, which the system uses for outgoing
    connections, so it is still free when a stopped process restarts on it.
    """
    while True:
        port = _port_rng.randrange(_PORT_RANGE_START, _PORT_RANGE_END)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((_HOST, port))
                udp.bind((_HOST, port))
            except OSError:
                continue
        if port not in _returned_ports:
            _returned_ports.add(port)
            return port


async def _knows_members(node: NodeHandle, members: int) -> bool:
    status = await call_node(node.operators_url, "/status")
    return status is not None and status["members"] >= members


def _wait_or_kill(process: Popen, name: str) -> list[str]:
    try:
        status = process.wait(_STOP_TIMEOUT_S)
    except TimeoutExpired:
        process.kill()
        process.wait()
        return [f"{name} did not stop in {_STOP_TIMEOUT_S:g} s"]
    return [] if status in (0, -15, -9) else [f"{name} exited with status {status}"]
