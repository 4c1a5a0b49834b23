"""Whole nodes on a stand-in of the platform: start, one call, and what goes wrong."""

import asyncio
import json
import re
from pathlib import Path

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from burdockdock.node.node import Node
from burdockdock.node.settings import NodeSettings, parse_settings
from burdockdock.platform import INTERFACE
from burdockdock.standin.local_fleet import free_port
from tests.platform.published_store import PublishedStore
from tests.support import async_test, eventually

_HOST = "127.0.0.1"
_TEMPLATE = Path(__file__).parent.parent.parent / "deploy" / "node.ini"
_FIELDS = {
    "node-name": "n1",
    "region": "r",
    "zone": "z",
    "service": "work",
    "app-address": "10.1.0.35:8147",
    "ip-address": "10.1.0.35",
    "listen-addresses.outbound": "10.1.0.35:8141",
    "listen-addresses.ready": "10.1.0.35:8140",
    "listen-addresses.control": "10.1.0.35:8146",
    "internal-port-range.0": "7660",
    "internal-port-range.1": "7675",
    "platform.address": "10.200.1.7:8142",
    "platform.form": "objects",
    "bounds.grace-period": "6s",
}


def _config(version: int) -> dict:
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


class _Instance(RequestHandler):
    """A backend server that answers with what it was sent."""

    def post(self) -> None:
        """Sign the answer, and repeat the request's id."""
        self.set_header("Request-Id", self.request.headers["Request-Id"])
        self.set_header("Response-Signature", "signed")
        self.write(
            {
                "headers": dict(self.request.headers),
                "body": self.request.body.decode(),
                "uri": self.request.uri,
            }
        )


class _Deployment:
    """A store and nodes, each with a backend server beside it."""

    def __init__(self) -> None:
        self.store = PublishedStore()
        self.store_port = free_port()
        self.store_server: HTTPServer | None = None
        self.nodes: list[Node] = []

    def start_store(self) -> None:
        """Start the store."""
        self.store_server = self.store.serve(_HOST, self.store_port)

    def make_node(self, name: str, settings: NodeSettings | None = None) -> Node:
        """Return a node that was not started yet."""
        ports = [free_port() for _ in range(6)]
        settings = settings or NodeSettings(
            name=name,
            mesh="mesh",
            region="r",
            availability_zone="z",
            callers=(_HOST, ports[0]),
            peers=(_HOST, ports[1]),
            operators=(_HOST, ports[2]),
            platform_url=f"http://{_HOST}:{self.store_port}",
            platform_form="objects",
            announcements=(_HOST, ports[3]),
            readiness=(_HOST, ports[4]),
            backend_service="work",
            backend_address=(_HOST, ports[5]),
        )
        node = Node(settings, interface=INTERFACE)
        self.nodes.append(node)
        return node

    async def add_instance(self, node: Node) -> None:
        """Start a backend server and let it announce itself."""
        host, port = node._settings.backend_address
        Application([(r"/.*", _Instance)]).listen(port, address=host)
        heartbeat = {
            "service": "work",
            "address": f"{host}:{port}",
            "zone": "z",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold-remaining": "0ms",
            "seq": 1,
            "born": 5,
        }
        await self.announce(node, json.dumps(heartbeat))

    async def announce(self, node: Node, body: str) -> int:
        """Send a heartbeat; return the status."""
        port = node._settings.announcements[1]
        url = f"http://{_HOST}:{port}/api/rpc?call=instances.heartbeat&of=i-1"
        return (await _fetch(HTTPRequest(url, method="POST", body=body))).code

    async def readiness(self, node: Node) -> int:
        """Ask whether a node takes calls; return the status."""
        port = node._settings.readiness[1]
        return (await _fetch(HTTPRequest(f"http://{_HOST}:{port}/api/readiness"))).code

    async def call(self, node: Node) -> HTTPResponse:
        """Make one call."""
        return await _fetch(
            HTTPRequest(
                f"http://{_HOST}:{node._settings.callers[1]}/x/y?z=1",
                method="POST",
                body="hello",
                headers={
                    "Host": "h.example",
                    "Request-Id": "id-1",
                    "Deadline-Ms": "4000",
                    "Caller-Service": "forged",
                },
            )
        )

    async def close(self) -> None:
        """Stop everything."""
        for node in self.nodes:
            if node._caller_server is not None:
                await node.close()
        if self.store_server is not None:
            self.store_server.stop()


async def _fetch(request: HTTPRequest) -> HTTPResponse:
    return await CurlAsyncHTTPClient().fetch(request, raise_error=False)


class NodeTest(testtools.TestCase):
    """Tests of nodes that speak the platform's forms."""

    @async_test
    async def test_a_call_reaches_the_instance_beside_another_node(self) -> None:
        deployment = _Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=_config(7))
        first, second = (deployment.make_node(name) for name in ("a", "b"))
        await asyncio.gather(first.start(), second.start())
        await deployment.add_instance(second)
        found = first.membership
        await eventually(lambda: (m := found.get("b")) and m.takes_work)
        answer = await deployment.call(first)
        self.assertEqual(200, answer.code)
        self.assertEqual("signed", answer.headers["Response-Signature"])
        seen = json.loads(answer.body)
        self.assertEqual(("hello", "/x/y?z=1"), (seen["body"], seen["uri"]))
        headers = seen["headers"]
        self.assertEqual("id-1", headers["Request-Id"])
        self.assertEqual("i-1", headers["Expected-Instance"])
        self.assertEqual("work", headers["Caller-Service"])
        self.assertTrue(0 < int(headers["Deadline-Ms"]) <= 4000)
        await deployment.close()

    @async_test
    async def test_a_store_that_is_away_at_the_start_only_delays_it(self) -> None:
        deployment = _Deployment()
        node = deployment.make_node("a")
        starting = asyncio.create_task(node.start())
        await eventually(lambda: node.platform.failures_in_row > 1)
        self.assertEqual(503, await deployment.readiness(node))
        await deployment.store.put("config", "main", spec=_config(7))
        deployment.start_store()
        await starting
        self.assertEqual(200, await deployment.readiness(node))
        await deployment.close()

    @async_test
    async def test_without_a_configuration_calls_are_refused_as_not_run(self) -> None:
        deployment = _Deployment()
        deployment.start_store()
        node = deployment.make_node("a")
        await node.start()
        self.assertEqual(503, await deployment.readiness(node))
        answer = await deployment.call(node)
        self.assertEqual(503, answer.code)
        self.assertIn("Retry-After", answer.headers)
        await deployment.store.put("config", "main", spec=_config(7))
        await eventually(lambda: node.is_ready())
        await deployment.close()

    @async_test
    async def test_a_node_that_ends_at_its_start_comes_back(self) -> None:
        deployment = _Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=_config(7))
        other = deployment.make_node("a")
        await other.start()
        ended = deployment.make_node("b")
        starting = asyncio.create_task(ended.start())
        await asyncio.sleep(0)
        starting.cancel()
        await asyncio.wait({starting})
        again = deployment.make_node("b")
        await again.start()
        self.assertTrue(again.is_ready())
        await eventually(lambda: "b" in {m.node_id for m in other.membership.live()})
        await deployment.close()

    @async_test
    async def test_a_heartbeat_that_cannot_be_read_takes_nobody_down(self) -> None:
        deployment = _Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=_config(7))
        node = deployment.make_node("a")
        await node.start()
        await deployment.add_instance(node)
        for body in ("", "{", "[]", '{"seq": "x"}', "\x00\x01"):
            self.assertEqual(400, await deployment.announce(node, body))
        self.assertEqual(200, (await deployment.call(node)).code)
        await deployment.close()


class TemplateTest(testtools.TestCase):
    """Tests of the settings that the platform renders."""

    def _render(self, **fields: str) -> str:
        values = {**_FIELDS, **fields}
        return re.sub(
            r"\{\{([^}]*)\}\}",
            lambda match: values.get(match[1], ""),
            _TEMPLATE.read_text(),
        )

    def test_the_template_gives_settings_that_are_whole(self) -> None:
        settings = parse_settings(self._render())
        self.assertIsInstance(settings, NodeSettings)
        self.assertEqual(("10.1.0.35", 7660), settings.peers)
        self.assertEqual(6.0, settings.grace_period_s)

    def test_fields_that_nobody_asked_for_change_nothing(self) -> None:
        self.assertEqual(self._render(), self._render(**{"new-field": "1"}))

    def test_wrong_fields_are_told(self) -> None:
        for change in (
            {"app-address": "nowhere"},
            {"bounds.grace-period": "soon"},
            {"platform.form": "tables"},
            {"node-name": ""},
        ):
            self.assertIsInstance(parse_settings(self._render(**change)), list, change)
