"""Tests of nodes whose store comes back from an older copy.

What was acknowledged since the copy is gone, and its revisions are given out again.
"""

import asyncio

import testtools

from burdockdock.node.node import Node
from tests.platform.deployment import Deployment, config_spec
from tests.support import async_test, eventually

_ZONE = frozenset({"z"})


def _version(node: Node) -> int:
    return node.config.snapshot.version


class StoreReturnsTest(testtools.TestCase):
    """Tests of a fleet of two nodes whose store goes back."""

    async def _start(self) -> Deployment:
        """Start a store with version 10 and take its copy, then start two nodes."""
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(10))
        deployment.store.take_copy()
        nodes = [deployment.make_node(name) for name in ("a", "b")]
        await asyncio.gather(*(node.start() for node in nodes))
        await eventually(lambda: len(nodes[0].membership.live()) == 2)
        return deployment

    @async_test
    async def test_node_that_starts_later_has_what_others_have(self) -> None:
        # Guards against a join that trusts an old copy, whose roster is empty.
        deployment = await self._start()
        await deployment.store.put("config", "main", spec=config_spec(13))
        await eventually(lambda: {_version(n) for n in deployment.nodes} == {13})
        await deployment.store.return_from_copy()
        joining = deployment.make_node("c")
        await joining.start()
        self.assertEqual(13, _version(joining))
        await deployment.close()

    @async_test
    async def test_change_at_a_revision_that_is_given_out_again(self) -> None:
        # Guards against a watch that goes on behind a revision of the lost era.
        deployment = await self._start()
        for _ in range(20):
            await deployment.store.put("other", "thing", spec={})
        await deployment.store.put("config", "main", spec=config_spec(13))
        await eventually(lambda: {_version(n) for n in deployment.nodes} == {13})
        await deployment.store.return_from_copy()
        await deployment.store.put("config", "main", spec=config_spec(14))
        for _ in range(30):
            await deployment.store.put("other", "thing", spec={})
        await eventually(lambda: {_version(n) for n in deployment.nodes} == {14})
        await deployment.close()

    @async_test
    async def test_departure_is_kept_again(self) -> None:
        # Guards against an instance in use again that left before the store went back.
        deployment = await self._start()
        node = deployment.nodes[0]
        await deployment.start_backend_server(node)
        body = deployment.heartbeat(node, seq=3, state="draining")
        self.assertEqual(200, await deployment.announce(node, body))
        self.assertIsNotNone(deployment.store.get("departures", "a"))
        await deployment.store.return_from_copy()
        await eventually(lambda: deployment.store.get("departures", "a"))
        node = await deployment.restart(node)
        await deployment.announce(node, deployment.heartbeat(node, seq=2))
        await asyncio.sleep(0.3)
        self.assertFalse(node.membership.own.ready)
        await deployment.close()

    @async_test
    async def test_addresses_are_listed_again(self) -> None:
        deployment = await self._start()
        await deployment.store.return_from_copy()
        listed = await eventually(lambda: deployment.store.get("roster", "z"))
        self.assertEqual(2, len(listed["spec"]["addresses"]))
        await deployment.close()

    @async_test
    async def test_rollout_that_ended_is_not_undone(self) -> None:
        # Guards against a version in use again that was rolled back.
        deployment = await self._start()
        store = deployment.store
        await store.put("rollout-states", "work", spec=_rollout("shifting", 2))
        store.take_copy()
        await store.put("rollout-states", "work", spec=_rollout("rolled_back", 3))
        await deployment.nodes[0]._reader.refresh()
        nodes = deployment.nodes
        await eventually(lambda: {_phase(n) for n in nodes} == {"rolled_back"})
        await store.return_from_copy()
        await eventually(lambda: _stored_phase(deployment) == "rolled_back")
        self.assertEqual({"rolled_back"}, {_phase(n) for n in nodes})
        joining = deployment.make_node("c")
        await joining.start()
        await eventually(lambda: _phase(joining) == "rolled_back")
        await deployment.close()

    @async_test
    async def test_rollout_that_starts_afterwards_is_followed(self) -> None:
        # Guards against records that count as older, since revisions go back.
        deployment = await self._start()
        store = deployment.store
        for _ in range(20):
            await store.put("other", "thing", spec={})
        await store.put("rollout-states", "work", spec=_rollout("rolled_back", 3))
        await deployment.nodes[0]._reader.refresh()
        nodes = deployment.nodes
        await eventually(lambda: {_phase(n) for n in nodes} == {"rolled_back"})
        await store.return_from_copy()
        await eventually(lambda: _stored_phase(deployment) == "rolled_back")
        await store.put(
            "rollout-states", "work", spec=_rollout("shifting", 1, number=2)
        )
        await nodes[0]._reader.refresh()
        await eventually(lambda: {_phase(n) for n in nodes} == {"shifting"})
        await deployment.close()

    @async_test
    async def test_evacuation_that_the_store_lost_stays_in_force(self) -> None:
        # Guards against requests to a zone whose evacuation only the store forgot.
        deployment = await self._start()
        store, nodes = deployment.store, deployment.nodes
        await store.put("evacuations", "z", spec={})
        await eventually(lambda: {n.evacuations.zones for n in nodes} == {_ZONE})
        await store.return_from_copy()
        await eventually(lambda: all(_era(n) == store.era for n in nodes))
        joining = deployment.make_node("c")
        await joining.start()
        for node in deployment.nodes:
            await node._reader.refresh()
            self.assertEqual(_ZONE, node.evacuations.zones)
        await store.put("evacuations", "z", spec={})
        await nodes[0]._reader.refresh()
        await store.remove("evacuations", "z")
        await eventually(lambda: {n.evacuations.zones for n in nodes} == {frozenset()})
        await deployment.close()

    @async_test
    async def test_store_without_eras_works_as_before(self) -> None:
        deployment = Deployment()
        deployment.store.era = None
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(10))
        node = deployment.make_node("a")
        await node.start()
        await deployment.store.put("config", "main", spec=config_spec(11))
        await eventually(lambda: _version(node) == 11)
        await deployment.close()


def _era(node: Node) -> int:
    record = node.records.get("store-era")
    return record.version if record else 0


def _rollout(phase: str, step: int, *, number: int = 1) -> dict:
    return {
        "service": "work",
        "number": number,
        "from_version": "v1",
        "to_version": "v2",
        "started_at": "2026-01-01T00:00:00+00:00",
        "deadline": "2036-01-01T00:00:00+00:00",
        "author": "x",
        "reason": "y",
        "phase": phase,
        "share": 0.0,
        "step": step,
        "step_at": None,
        "epoch": 1,
        "notified": True,
        "history": [["waiting", "2026-01-01T00:00:00+00:00", "y"]],
    }


def _phase(node: Node) -> str:
    rollout = node.rollouts.view.get("work")
    return rollout.phase.value if rollout else ""


def _stored_phase(deployment: Deployment) -> str:
    found = deployment.store.get("rollout-states", "work")
    return found["spec"]["phase"] if found else ""
