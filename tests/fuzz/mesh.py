"""Nodes with faulty backend servers beside them, and links that can be cut."""

import asyncio
import json
from contextlib import suppress

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

from burdockdock.clock import SystemClock
from burdockdock.node.node import Node
from burdockdock.node.settings import NodeSettings
from burdockdock.platform import INTERFACE
from burdockdock.standin.faulty_backend import FaultyBackend
from burdockdock.standin.ledger import Ledger
from burdockdock.standin.local_fleet import free_port
from tests.fuzz.caller import HOST_NAME
from tests.fuzz.given_behaviours import GivenBehaviours
from tests.header_names import HEADER_NAMES
from tests.platform.fake_object_store import FakeObjectStore
from tests.relay import Relay
from tests.support import eventually

HOST = "127.0.0.1"
CALLERS_NODE = "a"
MAX_ATTEMPTS = 2
_NAMES = ("a", "b", "c")
_SLOTS = 4
_HEARTBEAT_INTERVAL_S = 1.0
_LONGEST_WORK_S = 0.1
_IDLE_TIMEOUT_S = 1.0
_ROUTE_COLUMNS = [
    "name",
    "hostname",
    "path-prefix",
    "kind",
    "timeout",
    "max-attempts",
    "service",
]
CONFIG = {
    "version": "r1",
    "routes": {
        "columns": _ROUTE_COLUMNS,
        "rows": [
            ["often", HOST_NAME, "/often/", "idempotent", "60s", MAX_ATTEMPTS, "work"],
            ["once", HOST_NAME, "/once/", "non_idempotent", "60s", 2, "work"],
        ],
    },
    "services": {"columns": ["name"], "rows": [["work"]]},
}


class Mesh:
    """Three nodes of one service, each with a faulty backend server.

    ``relays`` forward the links from the callers' node to the others, by name.
    """

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.behaviours = GivenBehaviours(self.ledger)
        self.nodes: dict[str, Node] = {}
        self.relays: dict[str, Relay] = {}
        self._backends: list[FaultyBackend] = []
        self._store_port = free_port()
        self._store_server: HTTPServer | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    @property
    def callers_port(self) -> int:
        """Port of the node that gets the calls."""
        return self.nodes[CALLERS_NODE]._settings.callers[1]

    async def start(self) -> None:
        """Start everything, and wait until the callers' node knows the others."""
        store = FakeObjectStore()
        self._store_server = store.serve(HOST, self._store_port)
        await store.put("config", "main", spec=CONFIG)
        for name in _NAMES:
            await self._start_node(name)
        await self._start_relays()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        known = self.nodes[CALLERS_NODE].membership
        for name in _NAMES:
            await eventually(lambda n=name: (m := known.get(n)) and m.takes_work)

    async def settle(self) -> None:
        """Wait until no call runs at any gate."""
        for relay in self.relays.values():
            relay.release()
        for node in self.nodes.values():
            await node.gate.wait_idle()

    async def close(self) -> None:
        """Stop everything."""
        self._heartbeats.cancel()
        for relay in self.relays.values():
            relay.close()
        for backend in self._backends:
            await backend.close()
        for node in self.nodes.values():
            await node.close()
        self._store_server.stop()

    async def _start_node(self, name: str) -> None:
        ports = [free_port() for _ in range(5)]
        backend = FaultyBackend(
            self.behaviours.next,
            clock=SystemClock(),
            ledger=self.ledger,
            instance_id=f"i-{name}",
            longest_work_s=_LONGEST_WORK_S,
            names=HEADER_NAMES,
            idle_timeout_s=_IDLE_TIMEOUT_S,
        )
        self._backends.append(backend)
        settings = NodeSettings(
            name=name,
            mesh="mesh",
            region="r",
            availability_zone="z",
            callers=(HOST, ports[0]),
            peers=(HOST, ports[1]),
            operators=(HOST, ports[2]),
            platform_url=f"http://{HOST}:{self._store_port}",
            platform_form="objects",
            announcements=(HOST, ports[3]),
            readiness=(HOST, ports[4]),
            backend_service="work",
            backend_address=(HOST, await backend.start(HOST, 0)),
        )
        self.nodes[name] = Node(settings, interface=INTERFACE)
        await self.nodes[name].start()

    async def _start_relays(self) -> None:
        """Put a relay into each link of the callers' node."""
        ports: dict[int, int] = {}
        for name, node in self.nodes.items():
            own = node.membership.own
            self.relays[name] = Relay(own.port, framed=True)
            await self.relays[name].start()
            ports[own.port] = self.relays[name].port

        async def connect(host: str, port: int) -> IOStream:
            return await TCPClient().connect(host, ports[port])

        self.nodes[CALLERS_NODE].links.connect = connect

    async def _send_heartbeats(self) -> None:
        seq = 0
        while True:
            seq += 1
            for name, node in self.nodes.items():
                with suppress(HTTPError, OSError):
                    await _send_heartbeat(name, node, seq)
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)


async def _send_heartbeat(name: str, node: Node, seq: int) -> None:
    host, port = node._settings.backend_address
    fields = {
        "service": "work",
        "address": f"{host}:{port}",
        "zone": "z",
        "version": "v1",
        "slots": _SLOTS,
        "state": "ready",
        "cold-remaining": "0ms",
        "seq": seq,
        "born": 5,
    }
    announcements = node._settings.announcements[1]
    url = f"http://{HOST}:{announcements}/api/rpc?call=instances.heartbeat&of=i-{name}"
    request = HTTPRequest(url, method="POST", body=json.dumps(fields))
    await CurlAsyncHTTPClient().fetch(request, raise_error=False)
