"""Starts nodes as the deploy file does, with stand-ins for all else, on loopback."""

import asyncio
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from standins.client import Client
from standins.http1 import read_message, render
from standins.instance import HEARTBEAT_INTERVAL_S, Instance
from standins.store import Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
REPOSITORY = Path(__file__).resolve().parents[2]
HOST_NAME = "site.example"
_START_TIMEOUT_S = 30.0
_MAX_RUN_S = 105.0
_POLL_INTERVAL_S = 0.05
_PORT_NAMES = ("outbound", "ready", "control", "peers", "operators", "app")
_PLACEHOLDER = re.compile(r"\{\{([^}]+)\}\}")
# Bounds of a small deployment.
GRACE_PERIOD_S = 6.0
DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0


class Machine(NamedTuple):
    """A machine: its address, ports and place."""

    name: str
    zone: str
    service: str
    address: str
    ports: dict[str, int]

    def at(self, port_name: str) -> tuple[str, int]:
        """Return an address of the machine by the name of its port."""
        return self.address, self.ports[port_name]


class Testbed:
    """The platform's store, machines with nodes and instances, and clients.

    :param folder: folder of the case, for the record.
    """

    def __init__(self, folder: Path) -> None:
        self._started_s = time.monotonic()
        self._record = (folder / "record.txt").open("w", buffering=1)
        self._work = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.store = Store()
        self.store_address = ("127.0.0.1", 0)
        self.machines: dict[str, Machine] = {}
        self.instances: dict[str, Instance] = {}
        self.troubled = os.environ.get("TROUBLE", "1") != "0"
        self.log("started", trouble=self.troubled)

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def log(self, event: str, **fields: Any) -> None:
        """Write a line to the record."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{self.now_s():8.3f} {event} {words}\n")

    async def start(
        self,
        places: dict[str, tuple[str, str]],
        *,
        config: dict[str, Any],
        instance_options: dict[str, Any] | None = None,
    ) -> None:
        """Start the store, and a node and an instance on each machine.

        :param places: zone and service of each machine.
        """
        addresses = [f"127.0.1.{n}" for n in range(1, len(places) + 1)]
        ports = dict(zip(_PORT_NAMES, _free_ports(addresses, 6), strict=True))
        self.store_address = ("127.0.0.1", _free_ports(["127.0.0.1"], 1)[0])
        self.store.listen(*self.store_address)
        await self.store.put("config", "main", config)
        for (name, place), address in zip(places.items(), addresses, strict=True):
            self.machines[name] = Machine(name, *place, address, ports)
            self.start_node(name)
        for name in places:
            await self.add_instance(name, **(instance_options or {}))
        for name in places:
            await self.wait_ready(name)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S + STABILITY_WINDOW_S)

    async def add_instance(self, name: str, **options: Any) -> Instance:
        """Start an instance beside the node of a machine."""
        machine = self.machines[name]
        instance = Instance(
            service=machine.service,
            zone=machine.zone,
            address=machine.at("app"),
            control=machine.at("control"),
            now_s=self.now_s,
            log=self.log,
            **options,
        )
        self.instances[name] = instance
        await instance.start()
        return instance

    def start_node(self, name: str) -> None:
        """Start the node of a machine with the command of the deploy file."""
        path = self._work / f"{name}.ini"
        path.write_text(self._render_settings(self.machines[name]))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BURDOCKDOCK_CONFIG": str(path),
        }
        with (self._work / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=output, stderr=output
            )
        self.log("node started", node=name, pid=self._processes[name].pid)

    def signal_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the node of a machine."""
        self.log("signal", node=name, signal=number.name)
        self._processes[name].send_signal(number)

    async def wait_end(self, name: str) -> int:
        """Wait until the node of a machine has ended; return its exit status."""
        process = self._processes[name]
        while process.poll() is None:
            await asyncio.sleep(0.01)
        self.log("node ended", node=name, status=process.returncode)
        return process.returncode

    async def kill_node(self, name: str) -> None:
        """Kill the node of a machine."""
        self.signal_node(name, signal.SIGKILL)
        await self.wait_end(name)

    def is_running(self, name: str) -> bool:
        """Return whether the node's process runs."""
        return self._processes[name].poll() is None

    async def wait_ready(self, name: str) -> None:
        """Wait until the node of a machine says that it is ready."""
        deadline_s = self.now_s() + _START_TIMEOUT_S
        while not await self.is_ready(name):
            if self.now_s() > deadline_s:
                raise TimeoutError(f"{name} isn't ready")
            await asyncio.sleep(_POLL_INTERVAL_S)
        self.log("node ready", node=name)

    async def is_ready(self, name: str) -> bool:
        """Ask a node once whether it is ready."""
        status = await self.get(self.machines[name].at("ready"), "/api/readiness")
        return status == 200

    async def get(self, address: tuple[str, int], path: str) -> int:
        """Send a GET request; return the status, 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(render(f"GET {path} HTTP/1.1", {"Host": "node"}))
                    answer = await read_message(reader, is_response=True)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0
        return 0 if answer is None else answer.status

    def client(self, name: str) -> Client:
        """Return a new client on a machine."""
        return Client(
            self.machines[name].at("outbound"),
            host=HOST_NAME,
            now_s=self.now_s,
            log=self.log,
        )

    def node_log(self, name: str) -> str:
        """Return what the node of a machine has logged."""
        return (self._work / f"{name}.log").read_text(errors="replace")

    async def close(self) -> None:
        """End all processes that were started, and remove their files."""
        for instance in self.instances.values():
            await instance.close()
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._work, keep, dirs_exist_ok=True)
        shutil.rmtree(self._work, ignore_errors=True)
        self._record.close()

    def _render_settings(self, machine: Machine) -> str:
        fields = {
            "node-name": machine.name,
            "region": "region-1",
            "zone": machine.zone,
            "listen-addresses.outbound": _text(machine.at("outbound")),
            "listen-addresses.ready": _text(machine.at("ready")),
            "listen-addresses.control": _text(machine.at("control")),
            "ip-address": machine.address,
            "internal-port-range.0": str(machine.ports["peers"]),
            "internal-port-range.1": str(machine.ports["operators"]),
            "platform.address": _text(self.store_address),
            "platform.form": "objects",
            "service": machine.service,
            "app-address": _text(machine.at("app")),
            "heartbeat": f"{int(HEARTBEAT_INTERVAL_S * 1000)}ms",
            "bounds.grace-period": f"{GRACE_PERIOD_S:.0f}s",
            "bounds.retry-budget-ratio": "0.2",
            "bounds.retry-slack": "58",
        }
        template = (REPOSITORY / "deploy/node.ini").read_text()
        return _PLACEHOLDER.sub(lambda match: fields[match[1]], template)


def make_config(
    version: int, routes: list[list[Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration.

    :param routes: name, path prefix, kind, timeout, attempts and service of each.
    """
    columns = ["name", "hostname", "path-prefix", "kind", "timeout", "target-latency"]
    columns += ["priority", "traffic-split", "max-attempts", "service"]
    rows = [
        [name, HOST_NAME, path, kind, timeout, "600ms", 1, None, attempts, service]
        for name, path, kind, timeout, attempts, service in routes
    ]
    service_columns = ["name", "health-path", "max-connections", "protocol", "tls"]
    return {
        "version": f"r{version}",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": service_columns,
            "rows": [[name, "/health", 110, "h1", False] for name in services],
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout": "3000ms",
            "idle-timeout": "15000ms",
        },
    }


def run_case(case: Callable[[Testbed], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit with its result.

    :param case: returns whether the rule held.
    """
    try:
        result = asyncio.run(_run(case, folder))
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        result = COULD_NOT_RUN
    sys.exit(result)


async def _run(case: Callable[[Testbed], Awaitable[bool]], folder: Path) -> int:
    testbed = Testbed(folder)
    try:
        async with asyncio.timeout(_MAX_RUN_S):
            result = HELD if await case(testbed) else BROKEN
    except Exception as error:
        testbed.log("could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        result = COULD_NOT_RUN
    finally:
        await testbed.close()
    return result


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _free_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on all of the addresses."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
        if port not in found and all(_is_free(a, port) for a in addresses):
            found.append(port)
    return found


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True
