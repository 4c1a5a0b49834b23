"""Tests of evacuated availability zones, from the platform's objects to the calls."""

import asyncio
import json
from collections import Counter

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

from burdockdock.coordination.records import Record, RecordStore
from burdockdock.metrics import Metrics
from burdockdock.node import evacuations
from burdockdock.node.evacuations import EvacuationReader, Evacuations
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformObject, WatchResult
from tests.fleet import Fleet
from tests.support import async_test, eventually

_EVACUATION = {"evacuation_s": 5.0}


def _object(zone: str, version: int, *, era: int = 0) -> PlatformObject:
    return PlatformObject(f"evacuations/{zone}", version, {}, era=era)


def _listed(*objects: PlatformObject, revision: int, era: int = 0) -> WatchResult:
    return WatchResult(revision, list(objects), era=era)


class ReaderTest(testtools.TestCase):
    """Tests of the records that follow from the operators' objects."""

    def setUp(self) -> None:
        super().setUp()
        self.records = RecordStore()
        self.events: list[tuple[str, dict[str, object]]] = []
        self.patch(
            evacuations,
            "log_event",
            lambda event, **fields: self.events.append((event, fields)),
        )
        self.changes: list[frozenset[str]] = []
        self.metrics = Metrics()
        self.evacuations = Evacuations(
            self.records, metrics=self.metrics, on_change=self.changes.append
        )
        self.reader = EvacuationReader(self.records, spread=self.records.put)

    def _zones(self) -> set[str]:
        return set(self.evacuations.zones)

    def test_begin_and_end(self) -> None:
        self.reader.ingest(_object("z1", 10))
        self.reader.ingest(_object("z2", 11))
        self.assertEqual({"z1", "z2"}, self._zones())
        self.reader.ingest(_object("z1", 0))
        self.assertEqual({"z2"}, self._zones())
        self.assertEqual(3, len(self.changes))
        self.assertEqual(2, self.metrics.counter("evacuations", label="begun"))
        self.assertEqual(1, self.metrics.counter("evacuations", label="ended"))

    def test_content_of_an_object_does_not_matter(self) -> None:
        found = PlatformObject("evacuations/z1", 10, {"odd": [1, None]})
        self.reader.ingest(found)
        self.assertEqual({"z1"}, self._zones())

    def test_record_with_an_unknown_value_evacuates(self) -> None:
        self.records.put(Record("evacuation/z1", 5, b"\xff"))
        self.assertEqual({"z1"}, self._zones())

    def test_object_written_again_after_its_deletion(self) -> None:
        # Guards against readers that each raise the version of the same deletion, until
        # it passes that of the next object.
        self.reader.ingest(_object("z1", 10))
        for _ in range(5):
            self.reader.ingest(_object("z1", 0))
        self.reader.ingest(_object("z1", 12))
        self.assertEqual({"z1"}, self._zones())

    def test_deletion_before_the_record(self) -> None:
        # Guards against a deletion that is dropped without a trace.
        self.reader.ingest(_object("z1", 0))
        self.assertEqual([("evacuation.end_ignored", {"zone": "z1"})], self.events)

    def test_repeated_deletion_is_not_reported(self) -> None:
        self.reader.ingest(_object("z1", 10))
        self.reader.ingest(_object("z1", 0))
        self.events.clear()
        self.reader.ingest(_object("z1", 0))
        self.assertEqual([], self.events)

    def test_late_reading_of_a_deleted_object(self) -> None:
        self.reader.ingest(_object("z1", 10))
        self.reader.ingest(_object("z1", 0))
        self.reader.ingest(_object("z1", 10))
        self.assertEqual(set(), self._zones())

    def test_object_that_a_complete_list_lacks(self) -> None:
        # Guards against a deletion that nobody watched, which would last forever.
        self.reader.ingest(_object("z1", 10))
        self.reader.end_missing(_listed(_object("z1", 10), revision=15))
        self.assertEqual({"z1"}, self._zones())
        self.reader.end_missing(_listed(revision=15))
        self.assertEqual(set(), self._zones())

    def test_list_from_before_the_object(self) -> None:
        # Guards against an answer that was on its way while the object was written.
        self.reader.ingest(_object("z1", 10))
        self.reader.end_missing(_listed(revision=9))
        self.assertEqual({"z1"}, self._zones())

    def test_store_that_returned_without_the_object(self) -> None:
        # Guards against requests to a zone whose evacuation only the store forgot.
        self.reader.ingest(_object("z1", 10, era=1))
        self.reader.end_missing(_listed(revision=15, era=2))
        self.assertEqual({"z1"}, self._zones())
        event, fields = self.events[-1]
        self.assertEqual("evacuation.kept", event)
        self.assertEqual("store_restored_from_older_copy", fields["reason"])
        self.reader.ingest(_object("z1", 9, era=2))
        self.reader.end_missing(_listed(revision=15, era=2))
        self.assertEqual(set(), self._zones())

    def test_store_that_returned_with_a_deleted_object(self) -> None:
        self.reader.ingest(_object("z1", 10, era=1))
        self.reader.ingest(_object("z1", 0))
        self.reader.ingest(_object("z1", 10, era=2))
        self.assertEqual({"z1"}, self._zones())
        self.reader.ingest(_object("z1", 0))
        self.assertEqual(set(), self._zones())


class _EvacuationFleet(Fleet):
    """A fleet with one backend server in each availability zone."""

    async def start(self, *zones: str) -> None:
        """Start the platform, and a node with a backend server in each zone."""
        self.start_platform()
        for zone in zones:
            await self.add_node(f"n-{zone}", zone, **_EVACUATION)
        await self.apply()
        for zone in zones:
            await self.add_backend(f"n-{zone}")

    async def evacuate(self, zone: str) -> None:
        """Write the operator's object, and wait until every node knows."""
        key = f"evacuations/{zone}"
        assert await self.platform.try_update(key, expected_version=0, value={})
        await self.wait_for_zone(zone, evacuated=True)

    async def wait_for_zone(self, zone: str, *, evacuated: bool) -> None:
        """Wait until every node takes a zone for evacuated, or for not evacuated."""
        for node in self.nodes.values():
            await eventually(lambda n=node: (zone in n.evacuations.zones) == evacuated)

    async def call(self, node: str, **options: object) -> HTTPResponse:
        """Make one call through a node."""
        request = HTTPRequest(self.callers[node] + "/echo", **options)
        return await CurlAsyncHTTPClient().fetch(request, raise_error=False)

    async def served_by(self, node: str) -> set[str]:
        """Return the zones whose backend servers answer calls through a node."""
        before = self._backend_calls()
        responses = await asyncio.gather(*(self.call(node) for _ in range(30)))
        assert {r.code for r in responses} == {200}, {
            r.body for r in responses if r.code != 200
        }
        served = self._backend_calls() - before
        return {self.nodes[name].membership.own.availability_zone for name in served}

    def _backend_calls(self) -> Counter[str]:
        """Return how many calls each node's backend server has answered."""
        return Counter(
            {
                name: sum(
                    row["count"]
                    for row in node.metrics.quantiles()
                    if row["stage"] == "backend"
                )
                for name, node in self.nodes.items()
            }
        )


class FleetTest(testtools.TestCase):
    """Tests of real nodes and a stand-in for the platform."""

    @async_test
    async def test_zone_is_emptied_and_taken_back(self) -> None:
        fleet = _EvacuationFleet()
        try:
            await fleet.start("z1", "z2", "z3")
            await fleet.evacuate("z1")
            for node in ("n-z1", "n-z2"):
                self.assertEqual({"z2", "z3"}, await fleet.served_by(node))
            status = await call_node(fleet.operators["n-z2"], "/status")
            self.assertEqual(["z1"], status["evacuated_zones"])
            joining = await fleet.add_node("late", "z1", **_EVACUATION)
            self.assertEqual({"z1"}, set(joining.evacuations.zones))
            self.assertEqual({"z2", "z3"}, await fleet.served_by("late"))
            self.assertTrue(joining.is_ready())
            await fleet.platform.delete("evacuations/z1")
            await fleet.wait_for_zone("z1", evacuated=False)
            self.assertIn("z1", await fleet.served_by("n-z1"))
        finally:
            await fleet.stop()

    @async_test
    async def test_all_zones_evacuated(self) -> None:
        fleet = _EvacuationFleet()
        try:
            await fleet.start("z1", "z2")
            await fleet.evacuate("z1")
            await fleet.evacuate("z2")
            response = await fleet.call("n-z1", method="POST", body="x")
            self.assertEqual(503, response.code)
            self.assertIn("Retry-After", response.headers)
            refusal = json.loads(response.body)
            self.assertEqual("not_run", refusal["verdict"])
            self.assertEqual("zone_evacuated", refusal["reason"])
        finally:
            await fleet.stop()

    @async_test
    async def test_unknown_zone_changes_nothing(self) -> None:
        fleet = _EvacuationFleet()
        try:
            await fleet.start("z1", "z2")
            await fleet.evacuate("nowhere")
            self.assertIn("z1", await fleet.served_by("n-z1"))
        finally:
            await fleet.stop()

    @async_test
    async def test_deletion_while_no_node_reaches_the_platform(self) -> None:
        # Guards against a deletion that no watch told of.
        fleet = _EvacuationFleet()
        try:
            await fleet.start("z1", "z2")
            await fleet.evacuate("z1")
            await self._switch(fleet, refused_clients=["n-z1", "n-z2"])
            nodes = fleet.nodes.values()
            await eventually(lambda: all(n.platform.failures_in_row for n in nodes))
            await fleet.platform.delete("evacuations/z1")
            for zones in (n.evacuations.zones for n in nodes):
                self.assertEqual({"z1"}, set(zones))
            await self._switch(fleet, refused_clients=[])
            await fleet.wait_for_zone("z1", evacuated=False)
        finally:
            await fleet.stop()

    @async_test
    async def test_call_that_a_gate_refuses_is_tried_elsewhere(self) -> None:
        # Guards against calls of a node that hears of the evacuation late.
        fleet = _EvacuationFleet()
        try:
            await fleet.start("z1", "z2")
            fleet.nodes["n-z1"].gate.set_evacuated(True)
            self.assertEqual({"z2"}, await fleet.served_by("n-z1"))
            refusals = fleet.nodes["n-z1"].metrics
            count = refusals.counter("gate_refusals", label="zone_evacuated")
            self.assertGreater(count, 0)
        finally:
            await fleet.stop()

    @async_test
    async def test_without_the_setting_nothing_is_watched(self) -> None:
        fleet = _EvacuationFleet()
        try:
            fleet.start_platform()
            node = await fleet.add_node("n", "z1")
            self.assertNotIn("evacuations/", node._reader.watched_prefixes)
            await fleet.platform.try_update(
                "evacuations/z1", expected_version=0, value={}
            )
            self.assertTrue(await node._reader.refresh())
            self.assertEqual(set(), set(node.evacuations.zones))
        finally:
            await fleet.stop()

    async def _switch(self, fleet: Fleet, **switches: object) -> None:
        url = f"{fleet.platform_url}/switches"
        request = HTTPRequest(url, method="POST", body=json.dumps(switches))
        await CurlAsyncHTTPClient().fetch(request)
