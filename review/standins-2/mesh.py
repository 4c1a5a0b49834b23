"""A small deployment: nodes as processes, and stand-ins for all others."""

import asyncio
import json
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from http_parts import Answer, encode_request, exchange
from instance import Behaviour, Instance
from object_store import ObjectStore

HOST = "127.0.0.1"
REPOSITORY = Path(__file__).resolve().parents[2]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
_FIRST_PORT, _LAST_PORT = 12_000, 30_000
_READY_TIMEOUT_S = 30.0
_PLACEHOLDER = re.compile(r"\{\{([a-z0-9.-]+)\}\}")
ROUTE_COLUMNS = [
    "name",
    "hostname",
    "path-prefix",
    "kind",
    "timeout",
    "target-latency",
    "priority",
    "service",
    "max-attempts",
    "traffic-split",
]


class NotRun(Exception):
    """Raised when the case couldn't be set up."""


class Record:
    """Writes what was sent, answered and run, one line of JSON each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def note(self, event: str, **fields: Any) -> None:
        """Write one line."""
        at_s = round(time.monotonic() - self._started_s, 3)
        self._file.write(json.dumps({"at_s": at_s, "event": event, **fields}) + "\n")
        self._file.flush()


class Node:
    """One node's process, and the instance beside it."""

    def __init__(self, name: str, mesh: "Mesh", *, zone: str, service: str) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.ports = {
            use: mesh.free_port()
            for use in ("outbound", "ready", "control", "peers", "metrics", "app")
        }
        self.instance: Instance | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self._mesh = mesh

    @property
    def outbound(self) -> tuple[str, int]:
        """Address to which clients send requests."""
        return HOST, self.ports["outbound"]

    @property
    def control(self) -> tuple[str, int]:
        """Address to which the instance sends heartbeats."""
        return HOST, self.ports["control"]

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        settings = self._mesh.folder / f"{self.name}.ini"
        settings.write_text(self._render_settings())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["BURDOCKDOCK_CONFIG"] = str(settings)
        with (self._mesh.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "burdockdock", "node"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._mesh.record.note("node_started", node=self.name, pid=self.process.pid)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._mesh.record.note("signal", node=self.name, number=int(number))
        self.process.send_signal(number)

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def resident_mb(self) -> float:
        """Memory of the process, 0 if it doesn't run."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    async def is_ready(self) -> bool:
        """Ask for the readiness as the platform does."""
        data = encode_request("GET", "/api/readiness", {"Host": "ready"})
        answer = await exchange((HOST, self.ports["ready"]), data, timeout_s=1.0)
        return answer.status == 200

    def log_lines(self, text: str) -> list[str]:
        """Return the lines of the process's log that contain a text."""
        path = self._mesh.folder / f"{self.name}.log"
        return [line for line in path.read_text().splitlines() if text in line]

    def _render_settings(self) -> str:
        """Fill in the deploy file's template, as the platform does."""
        values = {
            "node-name": self.name,
            "region": "region-1",
            "zone": self.zone,
            "listen-addresses.outbound": f"{HOST}:{self.ports['outbound']}",
            "listen-addresses.ready": f"{HOST}:{self.ports['ready']}",
            "listen-addresses.control": f"{HOST}:{self.ports['control']}",
            "platform.address": f"{HOST}:{self._mesh.store.port}",
            "platform.form": "objects",
            "service": self.service,
            "app-address": f"{HOST}:{self.ports['app']}",
            "heartbeat": "1500ms",
            "bounds.config-apply": "2000ms",
            "bounds.grace-period": "6s",
            "bounds.retry-budget-ratio": "0.2",
            "bounds.retry-slack": "64",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            **self._mesh.settings,
        }
        text = (REPOSITORY / "deploy" / "node.ini").read_text()
        # All nodes share one loopback address here, so each has ports of its own.
        for place, use in (("0", "peers"), ("1", "metrics")):
            wanted = f"{{{{ip-address}}}}:{{{{internal-port-range.{place}}}}}"
            text = text.replace(wanted, f"{HOST}:{self.ports[use]}")
        return _PLACEHOLDER.sub(lambda match: values.get(match[1], ""), text)


class Mesh:
    """A store, nodes and instances; ends all processes that it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = ObjectStore()
        self.nodes: dict[str, Node] = {}
        # Values of the settings template that differ from those of all cases.
        self.settings: dict[str, str] = {}
        self._temporary = tempfile.TemporaryDirectory(prefix="review-2-")
        self.folder = Path(self._temporary.name)
        self._used_ports: set[int] = set()
        self._ids = random.Random()

    async def start_store(self) -> None:
        """Start the stand-in for the platform's store."""
        await self.store.start(HOST)

    async def add_node(
        self,
        name: str,
        *,
        service: str,
        version: str = "v1",
        zone: str = "zone-a",
        slots: int = 9,
        behave: Behaviour | None = None,
    ) -> Node:
        """Start a node with an instance beside it."""
        node = Node(name, self, zone=zone, service=service)
        self.nodes[name] = node
        node.instance = Instance(
            f"i-{name}",
            service=service,
            version=version,
            slots=slots,
            zone=zone,
            note=self.record.note,
            behave=behave,
        )
        await node.instance.start(node.ports["app"])
        node.start()
        node.instance.announce_to(node.control)
        return node

    async def wait_ready(self, *nodes: Node) -> None:
        """Wait until some nodes are ready, or all.

        :raises NotRun: if one isn't in time.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for node in nodes or self.nodes.values():
            while not await node.is_ready():
                if time.monotonic() > deadline_s:
                    raise NotRun(f"{node.name} isn't ready")
                await asyncio.sleep(0.1)

    async def wait_served(self, node: Node, target: str) -> None:
        """Wait until a node answers a request with success.

        :raises NotRun: if it doesn't in time.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while (await self.send(node, "GET", target, quiet=True))[1].status != 200:
            if time.monotonic() > deadline_s:
                raise NotRun(f"{node.name} serves nothing")
            await asyncio.sleep(0.1)

    async def put_config(self, version: int, rows: list[list[Any]], **more: Any) -> int:
        """Write a configuration; the services are those of the nodes."""
        services = sorted({node.service for node in self.nodes.values()})
        services += more.pop("services", [])
        spec = {
            "version": f"r{version}",
            "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
            "services": {
                "columns": ["name", "health-path", "max-connections", "protocol"],
                "rows": [[name, "/health", 130, "h1"] for name in services],
            },
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
            **more,
        }
        self.record.note("config_sent", version=version)
        revision = await self.store.put("config", "main", spec)
        self.record.note("config_acknowledged", version=version, revision=revision)
        return revision

    def new_id(self) -> str:
        """Return the id of a new client attempt."""
        return f"{self._ids.getrandbits(64):016x}"

    async def send(
        self,
        node: Node,
        method: str,
        target: str,
        *,
        host: str = "shop.example",
        body: bytes = b"",
        deadline_ms: int = 1500,
        headers: dict[str, str] | None = None,
        quiet: bool = False,
    ) -> tuple[str, Answer]:
        """Send one request as a client; return its id and its answer."""
        request_id = self.new_id()
        fields = {
            "Host": host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        data = encode_request(method, target, fields, body)
        if not quiet:
            self.record.note(
                "sent", node=node.name, id=request_id, method=method, target=target
            )
        answer = await exchange(
            node.outbound,
            data,
            head_only=method == "HEAD",
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        if not quiet:
            self.record.note(
                "answered",
                id=request_id,
                status=answer.status,
                body=answer.body[:200].decode("latin-1"),
                took_s=round(answer.took_s, 3),
                problem=answer.problem,
            )
        return request_id, answer

    def free_port(self) -> int:
        """Return a port below the ephemeral range that is free for TCP and UDP."""
        while True:
            port = random.randrange(_FIRST_PORT, _LAST_PORT)
            if port in self._used_ports:
                continue
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                try:
                    tcp.bind((HOST, port))
                    udp.bind((HOST, port))
                except OSError:
                    continue
            self._used_ports.add(port)
            return port

    def close(self) -> None:
        """End all processes that were started, and stop the stand-ins."""
        for node in self.nodes.values():
            if node.instance is not None:
                node.instance.close()
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        self.store.close()
        self._temporary.cleanup()


def route(
    name: str,
    prefix: str,
    service: str,
    *,
    kind: str = "idempotent",
    timeout: str = "1500ms",
) -> list[Any]:
    """Return a row of the routes in a configuration."""
    return [
        name,
        "shop.example",
        prefix,
        kind,
        timeout,
        "600ms",
        1,
        service,
        2,
        None,
    ]


def run_case(folder: Path, case: Any) -> None:
    """Run a case and exit with its status.

    :param case: coroutine function that takes a mesh and whether the disruption
        happens, and returns the lines that say how the rule was broken.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("start", trouble=trouble)
    raise SystemExit(asyncio.run(_run(record, case, trouble)))


async def _run(record: Record, case: Any, trouble: bool) -> int:
    mesh = Mesh(record)
    try:
        await mesh.start_store()
        async with asyncio.timeout(110):
            broken = await case(mesh, trouble)
    except (NotRun, TimeoutError, OSError) as error:
        record.note("not_run", reason=repr(error))
        print(f"not run: {error!r}")
        return EXIT_NOT_RUN
    finally:
        mesh.close()
    for line in broken:
        record.note("broken", what=line)
        print(f"broken: {line}")
    record.note("end", broken=len(broken))
    return EXIT_BROKEN if broken else EXIT_HELD
