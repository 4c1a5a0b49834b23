"""Tests of whole nodes on a fake object store: start, calls and faults."""

import asyncio
import json
import re
from pathlib import Path

import testtools

from burdockdock.node.node import Node
from burdockdock.node.settings import NodeSettings, parse_settings
from tests.platform.deployment import Deployment, config_spec
from tests.support import async_test, eventually

# Half of the time within which nodes have to apply a version.
_ALLOWED_LAG_S = 1.25
_TEMPLATE = Path(__file__).parent.parent.parent / "deploy" / "node.ini"
_TEMPLATE_FIELDS = {
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
    "bounds.config-apply": "2000ms",
    "bounds.grace-period": "6s",
}


class NodeTest(testtools.TestCase):
    """Tests of nodes that use the platform's formats."""

    @async_test
    async def test_a_call_reaches_the_instance_beside_another_node(self) -> None:
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(7))
        caller_node, backend_node = (deployment.make_node(name) for name in ("a", "b"))
        await asyncio.gather(caller_node.start(), backend_node.start())
        await deployment.start_backend_server(backend_node)
        membership = caller_node.membership
        await eventually(lambda: (m := membership.get("b")) and m.takes_work)
        response = await deployment.call(caller_node)
        self.assertEqual(200, response.code)
        self.assertEqual("signed", response.headers["Response-Signature"])
        echoed = json.loads(response.body)
        self.assertEqual(("hello", "/x/y?z=1"), (echoed["body"], echoed["uri"]))
        headers = echoed["headers"]
        self.assertEqual("id-1", headers["Request-Id"])
        self.assertEqual("i-1", headers["Expected-Instance"])
        self.assertEqual("work", headers["Caller-Service"])
        self.assertTrue(0 < int(headers["Deadline-Ms"]) <= 4000)
        await deployment.close()

    @async_test
    async def test_start_waits_for_an_unreachable_store(self) -> None:
        deployment = Deployment()
        node = deployment.make_node("a")
        starting = asyncio.create_task(node.start())
        await eventually(lambda: node.platform.failures_in_row > 1)
        self.assertEqual(503, await deployment.readiness(node))
        await deployment.store.put("config", "main", spec=config_spec(7))
        deployment.start_store()
        await starting
        self.assertEqual(200, await deployment.readiness(node))
        await deployment.close()

    @async_test
    async def test_without_a_configuration_calls_are_refused_as_not_run(self) -> None:
        deployment = Deployment()
        deployment.start_store()
        node = deployment.make_node("a")
        await node.start()
        self.assertEqual(503, await deployment.readiness(node))
        response = await deployment.call(node)
        self.assertEqual(503, response.code)
        self.assertIn("Retry-After", response.headers)
        await deployment.store.put("config", "main", spec=config_spec(7))
        await eventually(lambda: node.is_ready())
        await deployment.close()

    @async_test
    async def test_node_that_stops_during_its_start_can_start_again(self) -> None:
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(7))
        other = deployment.make_node("a")
        await other.start()
        cancelled = deployment.make_node("b")
        starting = asyncio.create_task(cancelled.start())
        await asyncio.sleep(0)
        starting.cancel()
        await asyncio.wait({starting})
        cancelled.platform.close()
        restarted = deployment.make_node("b")
        await restarted.start()
        self.assertTrue(restarted.is_ready())
        await eventually(lambda: "b" in {m.node_id for m in other.membership.live()})
        await deployment.close()

    @async_test
    async def test_closed_node_has_no_connection_to_the_store(self) -> None:
        # Guards against timers that libcurl sets after the event loop is closed.
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(7))
        node = deployment.make_node("a")
        await node.start()
        connections = deployment.store_server._connections
        self.assertTrue(connections)
        await node.close()
        await eventually(lambda: not connections)
        deployment.store_server.stop()

    @async_test
    async def test_malformed_heartbeat_does_not_disturb_calls(self) -> None:
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(7))
        node = deployment.make_node("a")
        await node.start()
        await deployment.start_backend_server(node)
        for body in ("", "{", "[]", '{"seq": "x"}', "\x00\x01"):
            self.assertEqual(400, await deployment.announce(node, body))
        self.assertEqual(200, (await deployment.call(node)).code)
        await deployment.close()


class ColdServerTest(testtools.TestCase):
    """Tests of calls to a backend server that says it is cold."""

    @async_test
    async def test_cold_server_gets_few_calls_until_it_is_warm(self) -> None:
        deployment = Deployment()
        deployment.start_store()
        spec = config_spec(7)
        spec["services"] = {
            "columns": ["name", "cold-per-s", "cold-start"],
            "rows": [["work", 0.01, "3s"]],
        }
        await deployment.store.put("config", "main", spec=spec)
        caller_node, node = (deployment.make_node(name) for name in ("a", "b"))
        await asyncio.gather(caller_node.start(), node.start())
        await deployment.start_backend_server(node)
        cold = deployment.heartbeat(node, seq=2, cold="60s")
        self.assertEqual(200, await deployment.announce(node, cold))
        membership = caller_node.membership
        await eventually(lambda: (m := membership.get("b")) and m.cold)
        codes, reasons = set(), set()
        for i in range(5):
            response = await deployment.call(caller_node, f"id-{i}")
            codes.add(response.code)
            if response.code == 503:
                reasons.add(json.loads(response.body)["reason"])
        self.assertIn(503, codes)
        self.assertEqual({"backend_cold"}, reasons)
        self.assertGreater(
            node.metrics.counter("gate_refusals", label="backend_cold"), 0
        )
        warm = deployment.heartbeat(node, seq=3)
        self.assertEqual(200, await deployment.announce(node, warm))
        await eventually(lambda: not membership.get("b").cold)
        for i in range(5):
            response = await deployment.call(caller_node, f"id-w{i}")
            self.assertEqual(200, response.code)
        await deployment.close()


class OldConfigurationTest(testtools.TestCase):
    """Tests of calls at a node that may have an old configuration."""

    @async_test
    async def test_version_that_a_node_was_told_of_and_cannot_fetch(self) -> None:
        # Guards against calls that are routed knowingly by a version out of force.
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(7))
        node = deployment.make_node("a")
        await node.start()
        await deployment.start_backend_server(node)
        self.assertEqual(200, (await deployment.call(node)).code)
        for _ in range(10):
            node.records.note_advertised("config", 8)
            await asyncio.sleep(0.2)
        response = await deployment.call(node, "id-2")
        self.assertEqual(503, response.code)
        self.assertIn(b"configuration_behind", response.body)
        self.assertEqual(503, await deployment.readiness(node))
        await deployment.store.put("config", "main", spec=config_spec(8))
        await eventually(lambda: node.is_ready())
        self.assertEqual(200, (await deployment.call(node, "id-3")).code)
        await deployment.close()

    @async_test
    async def test_node_that_hears_nobody_asks_before_it_serves(self) -> None:
        # Guards against a process that was stopped and goes on by what it knew before.
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(7))
        node, other = (deployment.make_node(name) for name in ("a", "b"))
        await asyncio.gather(node.start(), other.start())
        await deployment.start_backend_server(node)
        await eventually(lambda: len(node.membership.live()) == 2)
        await eventually(lambda: node.records.advertised_s("config") > 0)
        handlers = dict(node.datagrams._handlers)
        node.datagrams._handlers.clear()
        last_heard_s = node.records.advertised_s("config")
        await eventually(
            lambda: node._clock.monotonic() - last_heard_s > _ALLOWED_LAG_S + 0.2
        )
        response = await deployment.call(node)
        self.assertEqual(503, response.code)
        self.assertIn(b"configuration_unconfirmed", response.body)
        node.datagrams._handlers.update(handlers)
        await eventually(lambda: node.is_ready())
        self.assertEqual(200, (await deployment.call(node, "id-2")).code)
        await deployment.close()


class RestartTest(testtools.TestCase):
    """Tests of what a node knows of its instance after a restart."""

    async def _leave_and_restart(self, *calls: str) -> tuple[Deployment, Node]:
        """Let an instance make calls that say it leaves, then restart its node."""
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(7))
        node = deployment.make_node("a")
        await node.start()
        await deployment.start_backend_server(node)
        for call in calls:
            body = deployment.heartbeat(node, seq=3, state="draining")
            self.assertEqual(200, await deployment.announce(node, body, call=call))
        return deployment, await deployment.restart(node)

    @async_test
    async def test_late_heartbeat_of_an_instance_that_left(self) -> None:
        # Guards against an instance in use again after a restart of its node.
        for call in ("instances.deregister", "instances.heartbeat"):
            deployment, node = await self._leave_and_restart(call)
            await deployment.announce(node, deployment.heartbeat(node, seq=2))
            await asyncio.sleep(0.3)
            self.assertFalse(node.membership.own.ready, call)
            await deployment.close()

    @async_test
    async def test_heartbeat_of_a_later_start(self) -> None:
        deployment, node = await self._leave_and_restart("instances.deregister")
        later = {**json.loads(deployment.heartbeat(node, seq=1)), "born": 6}
        await deployment.announce(node, json.dumps(later))
        await eventually(lambda: node.membership.own.ready)
        await deployment.close()

    @async_test
    async def test_heartbeat_of_an_instance_that_stayed(self) -> None:
        deployment, node = await self._leave_and_restart()
        await deployment.announce(node, deployment.heartbeat(node, seq=2))
        await eventually(lambda: node.membership.own.ready)
        await deployment.close()


class TemplateTest(testtools.TestCase):
    """Tests of the settings file that the platform renders from the template."""

    def _render(self, **fields: str) -> str:
        values = {**_TEMPLATE_FIELDS, **fields}
        return re.sub(
            r"\{\{([^}]*)\}\}",
            lambda match: values.get(match[1], ""),
            _TEMPLATE.read_text(),
        )

    def test_rendered_template_contains_all_settings(self) -> None:
        settings = parse_settings(self._render())
        self.assertIsInstance(settings, NodeSettings)
        self.assertEqual(("10.1.0.35", 7660), settings.peers)
        self.assertEqual(6.0, settings.grace_period_s)
        self.assertEqual(2.0, settings.config_apply_timeout_s)

    def test_deployment_with_evacuations_and_cold_servers(self) -> None:
        settings = parse_settings(self._render())
        limits = (settings.evacuation_s, settings.cold_overage, settings.cold_slack)
        self.assertEqual((0.0, 0.0, 0.0), limits)
        bounds = {
            "bounds.evacuation": "5000ms",
            "bounds.cold-overage": "1.5",
            "bounds.cold-slack": "8",
        }
        settings = parse_settings(self._render(**bounds))
        limits = (settings.evacuation_s, settings.cold_overage, settings.cold_slack)
        self.assertEqual((5.0, 1.5, 8.0), limits)

    def test_unknown_fields_do_not_change_the_settings(self) -> None:
        self.assertEqual(self._render(), self._render(**{"new-field": "1"}))

    def test_invalid_fields_are_reported(self) -> None:
        for change in (
            {"app-address": "nowhere"},
            {"bounds.grace-period": "soon"},
            {"platform.form": "tables"},
            {"node-name": ""},
        ):
            self.assertIsInstance(parse_settings(self._render(**change)), list, change)
