"""A small fleet of real processes on this machine, for trying things out.

Only tools start processes this way; a node never does.
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
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_POLL_S = 0.1


class NodePlace(NamedTuple):
    """Where a node stands."""

    name: str
    region: str
    availability_zone: str


class NodeHandle(NamedTuple):
    """A running node."""

    place: NodePlace
    process: Popen
    callers_port: int
    peers_port: int
    operators_port: int
    settings_path: Path
    log_path: Path

    @property
    def callers_url(self) -> str:
        """Where callers send requests."""
        return f"http://{_HOST}:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """Where operators ask."""
        return f"http://{_HOST}:{self.operators_port}"


class BackendHandle(NamedTuple):
    """A running backend server."""

    process: Popen
    port: int

    @property
    def url(self) -> str:
        """The backend server's own address."""
        return f"http://{_HOST}:{self.port}"


class LocalFleet:
    """Starts processes and stops exactly those.

    :param mesh: name of the mesh.
    :param folder: where settings and logs go, by default a folder that is removed.
    """

    def __init__(self, *, mesh: str = "demo", folder: Path | None = None) -> None:
        self._mesh = mesh
        self._removed_folder = None
        if folder is None:
            self._removed_folder = tempfile.TemporaryDirectory(prefix="burdockdock-")
            folder = Path(self._removed_folder.name)
        folder.mkdir(parents=True, exist_ok=True)
        self._platform_port = free_port()
        self.folder = folder
        self.platform: Popen | None = None
        self.nodes: dict[str, NodeHandle] = {}
        self.backends: dict[str, BackendHandle] = {}

    @property
    def platform_url(self) -> str:
        """Address of the platform's stand-in."""
        return f"http://{_HOST}:{self._platform_port}"

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        self.platform = self._run(
            "platform", "standin", "platform", "--port", str(self._platform_port)
        )

    def start_node(
        self, place: NodePlace, *, seeds: tuple[int, ...] = (), limits: str = ""
    ) -> NodeHandle:
        """Start a node, under the same addresses as before if it ran already.

        :param seeds: peers' ports.
        :param limits: lines of the settings' section ``limits``.
        """
        known = self.nodes.get(place.name)
        ports = (
            (known.callers_port, known.peers_port, known.operators_port)
            if known
            else (free_port(), free_port(), free_port())
        )
        path = self.folder / f"{place.name}.ini"
        path.write_text(self._settings(place, ports, seeds, limits))
        process = self._run(place.name, "node", "--settings", str(path))
        log_path = self.folder / f"{place.name}.log"
        handle = NodeHandle(place, process, *ports, path, log_path)
        self.nodes[place.name] = handle
        return handle

    def start_backend(
        self, node: NodeHandle, service: str, version: str, **options: object
    ) -> BackendHandle:
        """Start a backend server beside a node."""
        port = free_port()
        words = [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        process = self._run(
            f"{node.place.name}-backend",
            "standin",
            "backend",
            f"--service={service}",
            f"--version={version}",
            f"--port={port}",
            f"--announce-to={node.operators_url}",
            *words,
        )
        handle = BackendHandle(process, port)
        self.backends[node.place.name] = handle
        return handle

    async def wait_ready(self, *, members: int, timeout_s: float = 60.0) -> float:
        """Wait until every node knows the number of members; return the seconds."""
        started_s = time.monotonic()
        for node in list(self.nodes.values()):
            while not await _knows_members(node, members):
                if time.monotonic() - started_s > timeout_s:
                    raise TimeoutError(f"{node.place.name} does not know the others")
                await asyncio.sleep(_POLL_S)
        return time.monotonic() - started_s

    def stop(self) -> list[str]:
        """Stop everything gracefully; return what did not stop well."""
        problems = self.stop_nodes()
        others = [b.process for b in self.backends.values()]
        if self.platform is not None:
            others.append(self.platform)
        for process in others:
            process.terminate()
        for process in others:
            problems += _wait_or_kill(process, "stand-in")
        if self._removed_folder is not None:
            self._removed_folder.cleanup()
        return problems

    def stop_nodes(self) -> list[str]:
        """Stop the nodes gracefully; return what did not stop well."""
        for node in self.nodes.values():
            node.process.terminate()
        problems = []
        for node in self.nodes.values():
            problems += _wait_or_kill(node.process, node.place.name)
        return problems

    def _run(self, name: str, *words: str) -> Popen:
        with (self.folder / f"{name}.log").open("ab") as log:
            return Popen(
                [sys.executable, "-m", "burdockdock", *words],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(
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


_handed_out: set[int] = set()
_port_rng = random.Random()


def free_port() -> int:
    """Return a port that is free for TCP and UDP, and was not returned before.

    It lies below the range from which the system serves outgoing connections, so
    that it is still free when a stopped process comes back to it.
    """
    while True:
        port = _port_rng.randrange(_FIRST_PORT, _LAST_PORT)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((_HOST, port))
                udp.bind((_HOST, port))
            except OSError:
                continue
        if port not in _handed_out:
            _handed_out.add(port)
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
    return [] if status in (0, -15, -9) else [f"{name} ended with status {status}"]
