"""Tests of calls that may reach backend servers in some regions only."""

import asyncio
import json
import random

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

from burdockdock.clock import ManualClock
from burdockdock.configuration.model import NO_WORKSPACES, Route, Workspace
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.protocol.calls import CallRequest
from burdockdock.proxy import call_factory
from burdockdock.proxy.authentication import Identity
from burdockdock.proxy.call import Call
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.no_member import no_member_failure
from burdockdock.proxy.regions import allowed_regions
from tests import streams
from tests.fleet import HOST, Fleet
from tests.support import PATIENCE_S, async_test

_REQUEST = CallRequest("id-1", "t", "c", "r", "desk", 1000, True, "GET", "/", ())
_CONFIG = """
[defaults]
timeout_ms = 20000
retries = 3
[service work]
[route all]
path = /
service = work
[route near]
path = /near
service = work
allowed_regions = eu
[route nowhere]
path = /nowhere
service = work
allowed_regions = mars
"""


class AllowedRegionsTest(testtools.TestCase):
    """Tests of the lists of a route and of a workspace together."""

    def test_lists(self) -> None:
        for route, workspace, expected in (
            ((), (), None),
            (("eu",), (), {"eu"}),
            ((), ("eu", "us"), {"eu", "us"}),
            (("eu", "ap"), ("us", "eu"), {"eu"}),
            (("eu",), ("us",), set()),
        ):
            self.assertEqual(expected, allowed_regions(route, workspace))

    def test_call_has_the_lists_of_its_route_and_workspace(self) -> None:
        # Guards against calls of a workspace that leave its regions.
        route = Route("r", "/", "work", allowed_regions=("eu", "us"))
        identity = Identity(NO_WORKSPACES, 1, public=False)
        call_regions = call_factory._allowed_regions
        self.assertEqual({"eu", "us"}, call_regions(route, identity))
        workspace = Workspace("w", ("d",), allowed_regions=("us", "ap"))
        identity = identity._replace(workspace=workspace, digest="d")
        self.assertEqual({"us"}, call_regions(route, identity))
        route = route._replace(allowed_regions=())
        self.assertEqual({"us", "ap"}, call_regions(route, identity))


class EndpointsTest(testtools.TestCase):
    """Tests of the members that a call may reach."""

    def setUp(self) -> None:
        super().setUp()
        own = Member("own", "h", 1, "eu", "z1", 1)
        self.table = MembershipTable(own, clock=ManualClock())
        self.weights: dict[str, float] = {}
        self.new_version = ""
        self.endpoints = Endpoints(
            self.table,
            weights_of=lambda _: self.weights,
            rng=random.Random(1),
            new_version_of=lambda _: self.new_version,
        )

    def _add(self, node_id: str, region: str, version: str = "1", **fields: object):
        member = Member(
            node_id, "h", 1, region, f"{region}-1", 1, ready=True, service="desk"
        )
        self.table.merge(member._replace(service_version=version, **fields))

    def _ids(self, *regions: str, **options: object) -> set[str]:
        members = self.endpoints.for_call("desk", regions=frozenset(regions), **options)
        return {m.node_id for m in members}

    def _reason(self, *regions: str) -> str:
        call = Call(_REQUEST, 9.0, 1, allowed_regions=frozenset(regions))
        return no_member_failure(call, self.endpoints).reason

    def test_members_of_other_regions_are_left_out(self) -> None:
        self._add("a", "eu")
        self._add("b", "us")
        self.assertEqual({"a"}, self._ids("eu"))
        self.assertEqual({"a", "b"}, self._ids("eu", "us"))
        self.assertEqual(set(), self._ids())
        self.assertEqual(2, len(self.endpoints.for_call("desk")))

    def test_members_that_come_and_go(self) -> None:
        # Guards against a choice from members as they were at the first call.
        self._add("a", "eu")
        self.assertEqual({"a"}, self._ids("eu"))
        self._add("c", "eu")
        self.assertEqual({"a", "c"}, self._ids("eu"))
        self._add("a", "us", incarnation=2)
        self.assertEqual({"c"}, self._ids("eu"))
        self.endpoints.exclude_zones(frozenset({"eu-1"}))
        self.assertEqual(set(), self._ids("eu"))

    def test_suspects_are_used_before_another_region(self) -> None:
        self._add("a", "eu")
        self._add("b", "us")
        self.table.suspect("a")
        self.assertEqual({"a"}, self._ids("eu"))

    def test_version_is_chosen_among_those_in_the_regions(self) -> None:
        # Guards against a call that is refused since its version is elsewhere.
        self._add("a", "eu", "1")
        self._add("b", "us", "2")
        self.weights.update({"1": 0.5, "2": 0.5})
        for _ in range(20):
            self.assertEqual({"a"}, self._ids("eu"))
        self.weights.update({"1": 0.0, "2": 1.0})
        self.assertEqual(set(), self._ids("eu"))

    def test_canaries_are_in_the_regions(self) -> None:
        for i in range(20):
            self._add(f"a{i}", "eu" if i % 2 else "us", "2")
        self.weights.update({"2": 0.1})
        self.new_version = "2"
        chosen = self._ids("eu")
        self.assertEqual(1, len(chosen))
        self.assertTrue(all(int(node_id[1:]) % 2 for node_id in chosen), chosen)

    def test_key_selects_a_member_in_the_regions(self) -> None:
        for i in range(10):
            self._add(f"a{i}", "eu" if i % 2 else "us")
        regions = frozenset({"eu"})
        for i in range(50):
            member = self.endpoints.member_for_key("desk", f"k{i}", regions=regions)
            self.assertEqual("eu", member.region)

    def test_reason_of_a_refusal(self) -> None:
        self.assertEqual("no_backend_server", self._reason("eu"))
        self._add("b", "us")
        self.assertEqual("no_allowed_region", self._reason("eu"))
        self.assertEqual("no_allowed_region", self._reason())
        self.endpoints.exclude_zones(frozenset({"us-1"}))
        self.assertEqual("zone_evacuated", self._reason("eu"))


class FleetTest(testtools.TestCase):
    """Tests of real nodes in two regions."""

    async def _start(self) -> Fleet:
        fleet = Fleet()
        fleet.start_platform()
        for region in ("eu", "us"):
            await fleet.add_node(region, f"{region}-1", region=region)
        await fleet.apply(_CONFIG)
        for region in ("eu", "us"):
            await fleet.add_backend(region)
        return fleet

    async def _call(self, fleet: Fleet, path: str, body: str = "x") -> HTTPResponse:
        """Make a call through the node in the region us."""
        request = HTTPRequest(fleet.callers["us"] + path, method="POST", body=body)
        return await CurlAsyncHTTPClient().fetch(request, raise_error=False)

    @async_test
    async def test_calls_stay_in_the_region(self) -> None:
        fleet = await self._start()
        try:
            for _ in range(10):
                self.assertEqual(200, (await self._call(fleet, "/near/x")).code)
            counts = {
                name: sum(
                    r["count"] for r in node.metrics.quantiles() if _at_backend(r)
                )
                for name, node in fleet.nodes.items()
            }
            self.assertEqual({"eu": 10, "us": 0}, counts)
        finally:
            await fleet.stop()

    @async_test
    async def test_call_without_a_region_left(self) -> None:
        fleet = await self._start()
        try:
            response = await self._call(fleet, "/nowhere")
            self.assertEqual(503, response.code)
            self.assertIn("Retry-After", response.headers)
            refusal = json.loads(response.body)
            self.assertEqual("not_run", refusal["verdict"])
            self.assertEqual("no_allowed_region", refusal["reason"])
        finally:
            await fleet.stop()

    @async_test
    async def test_refusal_does_not_wait_for_the_body(self) -> None:
        # Guards against a call that is held although nothing can serve it.
        fleet = await self._start()
        try:
            port = int(fleet.callers["us"].rpartition(":")[2])
            reader, writer = await streams.open_connection(HOST, port)
            writer.write(b"POST /nowhere HTTP/1.1\r\nContent-Length: 9\r\n\r\n1")
            async with asyncio.timeout(PATIENCE_S):
                self.assertIn(b"503", await reader.readline())
        finally:
            await fleet.stop()


def _at_backend(row: dict) -> bool:
    return row["stage"] == "backend"
