"""A fake store and nodes that use it, for tests of whole nodes."""

import asyncio
import json

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from burdockdock.node.node import Node
from burdockdock.node.settings import NodeSettings
from burdockdock.platform import INTERFACE
from burdockdock.standin.local_fleet import free_port
from tests.platform.fake_object_store import FakeObjectStore

HOST = "127.0.0.1"


def config_spec(version: int) -> dict:
    """Return a configuration with one route, as the operator stores it."""
    return {
        "version": f"r{version}",
        "routes": {
            "columns": [
                "name",
                "hostname",
                "path-prefix",
                "kind",
                "timeout",
                "service",
            ],
            "rows": [["r1", "h.example", "/x/", "non_idempotent", "5s", "work"]],
        },
        "services": {"columns": ["name"], "rows": [["work"]]},
    }


class EchoBackend(RequestHandler):
    """A backend server that returns the request that it got."""

    def post(self) -> None:
        """Sign the response, and repeat the request id."""
        self.set_header("Request-Id", self.request.headers["Request-Id"])
        self.set_header("Response-Signature", "signed")
        self.write(
            {
                "headers": dict(self.request.headers),
                "body": self.request.body.decode(),
                "uri": self.request.uri,
            }
        )


class Deployment:
    """A fake store and nodes that use it."""

    def __init__(self) -> None:
        self.store = FakeObjectStore()
        self.store_port = free_port()
        self.store_server: HTTPServer | None = None
        self.nodes: list[Node] = []

    def start_store(self) -> None:
        """Start the store."""
        self.store_server = self.store.serve(HOST, self.store_port)

    def make_node(self, name: str, settings: NodeSettings | None = None) -> Node:
        """Return a node that is not started."""
        ports = [free_port() for _ in range(6)]
        settings = settings or NodeSettings(
            name=name,
            mesh="mesh",
            region="r",
            availability_zone="z",
            callers=(HOST, ports[0]),
            peers=(HOST, ports[1]),
            operators=(HOST, ports[2]),
            platform_url=f"http://{HOST}:{self.store_port}",
            platform_form="objects",
            announcements=(HOST, ports[3]),
            readiness=(HOST, ports[4]),
            backend_service="work",
            backend_address=(HOST, ports[5]),
            evacuation_s=5.0,
        )
        node = Node(settings, interface=INTERFACE)
        self.nodes.append(node)
        return node

    async def start_backend_server(
        self, node: Node, handler: type = EchoBackend, *, slots: int = 4
    ) -> None:
        """Start a backend server beside a node, and send its first heartbeat."""
        host, port = node._settings.backend_address
        Application([(r"/.*", handler)]).listen(port, address=host)
        await self.announce(node, self.heartbeat(node, seq=1, slots=slots))

    def heartbeat(
        self,
        node: Node,
        *,
        seq: int,
        state: str = "ready",
        cold: str = "0ms",
        slots: int = 4,
    ) -> str:
        """Return a heartbeat of the backend server beside a node."""
        host, port = node._settings.backend_address
        fields = {
            "service": "work",
            "address": f"{host}:{port}",
            "zone": "z",
            "version": "v1",
            "slots": slots,
            "state": state,
            "cold-remaining": cold,
            "seq": seq,
            "born": 5,
        }
        return json.dumps(fields)

    async def announce(
        self, node: Node, body: str, *, call: str = "instances.heartbeat"
    ) -> int:
        """Send a heartbeat or another call to a node; return the status code."""
        port = node._settings.announcements[1]
        url = f"http://{HOST}:{port}/api/rpc?call={call}&of=i-1"
        # A kept connection would lead to the node that was there before a restart.
        headers = {"Connection": "close"}
        request = HTTPRequest(url, method="POST", body=body, headers=headers)
        return (await _fetch(request)).code

    async def restart(self, node: Node) -> Node:
        """Close a node without a notice, and start another in its place."""
        node._caller_server.stop()
        await node.close()
        # Its sockets are closed in the next turns of the event loop.
        await asyncio.sleep(0.05)
        self.nodes.remove(node)
        restarted = self.make_node(node._settings.name, node._settings)
        await restarted.start()
        return restarted

    async def readiness(self, node: Node) -> int:
        """Send a readiness check to a node; return the status code."""
        port = node._settings.readiness[1]
        return (await _fetch(HTTPRequest(f"http://{HOST}:{port}/api/readiness"))).code

    async def call(
        self,
        node: Node,
        request_id: str = "id-1",
        *,
        path: str = "/x/y?z=1",
        **headers: str,
    ) -> HTTPResponse:
        """Make one call through a node, as a caller does.

        :param headers: further headers of the request.
        """
        return await _fetch(
            HTTPRequest(
                f"http://{HOST}:{node._settings.callers[1]}{path}",
                method="POST",
                body="hello",
                headers={
                    "Host": "h.example",
                    "Request-Id": request_id,
                    "Deadline-Ms": "4000",
                    "Caller-Service": "forged",
                    **headers,
                },
            )
        )

    async def close(self) -> None:
        """Stop all nodes that were started, and the store."""
        for node in self.nodes:
            if node._caller_server is not None:
                await node.close()
        if self.store_server is not None:
            self.store_server.stop()


async def _fetch(request: HTTPRequest) -> HTTPResponse:
    return await CurlAsyncHTTPClient().fetch(request, raise_error=False)
