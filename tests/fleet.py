"""Real nodes, backend servers and a stand-in for the platform in one event loop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tornado.httpserver import HTTPServer

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import Accepted, accept_over_newest
from burdockdock.configuration.ini import read_sections
from burdockdock.node.node import Node
from burdockdock.node.settings import NodeSettings
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.backend import Backend, BackendOptions
from burdockdock.standin.local_fleet import free_port
from burdockdock.standin.platform import serve_platform
from tests.support import eventually

HOST = "127.0.0.1"
CONFIG = """
[defaults]
timeout_ms = 20000
[service work]
[route all]
path = /
service = work
"""


class Fleet:
    """The nodes, backend servers and platform of one test."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.callers: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        self.backends: dict[str, str] = {}
        self._stopped = asyncio.Event()
        self._backend_tasks: list[asyncio.Task[None]] = []
        self._platform_port = free_port()
        self._platform_server: HTTPServer | None = None
        self.platform_url = f"http://{HOST}:{self._platform_port}"
        self.platform = PlatformClient(
            self.platform_url, name="test", clock=SystemClock()
        )

    def start_platform(self) -> None:
        """Start the stand-in for the platform."""
        self._platform_server = serve_platform(HOST, self._platform_port)

    async def add_node(
        self,
        name: str,
        zone: str = "z1",
        *,
        region: str = "r",
        **settings_fields: object,
    ) -> Node:
        """Start a node and wait until it is running.

        :param settings_fields: further fields of its settings.
        """
        ports = [free_port() for _ in range(3)]
        settings = NodeSettings(
            name=name,
            mesh="test",
            region=region,
            availability_zone=zone,
            callers=(HOST, ports[0]),
            peers=(HOST, ports[1]),
            operators=(HOST, ports[2]),
            platform_url=self.platform_url,
            seeds=tuple(n.membership.own[1:3] for n in self.nodes.values()),
            **settings_fields,
        )
        node = Node(settings)
        await node.start()
        self.nodes[name] = node
        self.callers[name] = f"http://{HOST}:{ports[0]}"
        self.operators[name] = f"http://{HOST}:{ports[2]}"
        return node

    async def add_backend(self, node: str, **options: object) -> str:
        """Start a backend server for a node and wait until every node sees it as ready.

        :returns: URL of the backend server.
        """
        port = free_port()
        fields = {"service": "work", "version": "1", "latency_ms": 0.0, **options}
        backend = Backend(
            BackendOptions(
                host=HOST, port=port, node_url=self.operators[node], **fields
            )
        )
        task = asyncio.create_task(backend.run(self._stopped))
        self._backend_tasks.append(task)
        membership = self.nodes[node].membership
        await eventually(lambda: membership.own.ready)
        for other in self.nodes.values():
            await eventually(
                lambda m=other.membership: (member := m.get(node)) and member.takes_work
            )
        self.backends[node] = f"http://{HOST}:{port}"
        return self.backends[node]

    async def apply(self, text: str = CONFIG) -> int:
        """Accept a configuration and wait until every node has applied it.

        :returns: version of the configuration.
        """
        result = await accept_over_newest(
            self.platform,
            read_sections(text),
            author="test",
            reason="test",
            clock=SystemClock(),
        )
        assert isinstance(result, Accepted), result
        for node in self.nodes.values():
            await eventually(lambda n=node: n.config.snapshot.version >= result.version)
        return result.version

    async def stop(self) -> None:
        """Stop the nodes, the backend servers and the stand-in for the platform."""
        self._stopped.set()
        await asyncio.gather(*(node.close() for node in self.nodes.values()))
        await asyncio.gather(*self._backend_tasks)
        if self._platform_server is not None:
            self._platform_server.stop()


@asynccontextmanager
async def running_fleet(*names: str) -> AsyncIterator[Fleet]:
    """Run a platform and nodes with these names, each in its own availability zone."""
    fleet = Fleet()
    fleet.start_platform()
    try:
        for i, name in enumerate(names):
            await fleet.add_node(name, zone=f"z{i + 1}")
        yield fleet
    finally:
        await fleet.stop()
