"""Tests of quotas on whole nodes on loopback, and of the nodes' datagrams."""

import asyncio

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

from burdockdock.configuration.workspaces import key_digest
from burdockdock.overlay.datagrams import Datagrams
from burdockdock.protocol import decode, encode
from tests.fleet import CONFIG, Fleet, running_fleet
from tests.support import async_test

_OPEN = "[route open]\npath = /open\nservice = work\npublic = true\n"


def _workspace(name: str, key: str, **settings: int) -> str:
    lines = [f"{setting} = {value}" for setting, value in settings.items()]
    digest = key_digest(key.encode())
    return "\n".join([f"[workspace {name}]", f"key_digests = {digest}", *lines, ""])


async def _send(fleet: Fleet, node: str, key: str, path: str = "/echo") -> HTTPResponse:
    request = HTTPRequest(
        f"{fleet.callers[node]}{path}",
        headers={"X-Burdockdock-Key": key} if key else {},
        request_timeout=60.0,
    )
    return await CurlAsyncHTTPClient().fetch(request, raise_error=False)


class QuotaNodesTest(testtools.TestCase):
    """Tests with three nodes and one backend server."""

    @async_test
    async def test_all_nodes_share_one_quota(self) -> None:
        """Guards against a quota for each node."""
        async with running_fleet("a", "b", "c") as fleet:
            small = _workspace("small", "k1", rate_per_s=1, burst=3)
            free = _workspace("free", "k2")
            await fleet.apply(CONFIG + _OPEN + small + free)
            await fleet.add_backend("b")
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            responses: list[HTTPResponse] = []
            # A grantor that has just started has no tokens.
            while not any(r.code == 200 for r in responses):
                responses.append(await _send(fleet, "a", "k1"))
            sent = [_send(fleet, "abc"[i % 3], "k1") for i in range(90)]
            responses += await asyncio.gather(*sent)
            took_s = loop.time() - started_s
            statuses = [response.code for response in responses]
            self.assertEqual({200, 429}, {*statuses})
            # However slow the machine is, no more than the bucket holds may run.
            self.assertLessEqual(statuses.count(200), took_s + 3 + 1)
            for response in responses:
                if response.code == 429:
                    self.assertGreater(float(response.headers["Retry-After"]), 0)
                    self.assertIn(b"over_quota", response.body)
            refused = sum(
                node.metrics.counter("quota_refused", label="small")
                for node in fleet.nodes.values()
            )
            self.assertEqual(statuses.count(429), refused)

    @async_test
    async def test_calls_without_a_limit_send_nothing(self) -> None:
        """Guards against messages for workspaces without a limit, or without a key."""
        async with running_fleet("a", "b") as fleet:
            free = _workspace("free", "k2")
            await fleet.apply(CONFIG + _OPEN + free)
            await fleet.add_backend("b")
            for key, path in (("k2", "/echo"), ("", "/open")):
                self.assertEqual(200, (await _send(fleet, "a", key, path)).code)
            for node in fleet.nodes.values():
                self.assertEqual(0, node.metrics.counter("quota_asks"))


class QuotaDatagramTest(testtools.TestCase):
    """Tests of the messages."""

    def test_messages_survive_a_round_trip(self) -> None:
        """Guards against fields that don't fit, and against large datagrams."""
        fields = {
            "mesh": "m",
            "nodeId": "node-1",
            "workspace": "acme",
            "number": 2**63,
            "count": 100,
        }
        data = encode("quotaRequest", **fields)
        self.assertLess(len(data), 130)
        message = decode(data).quotaRequest
        self.assertEqual(fields, {name: getattr(message, name) for name in fields})

    def test_a_node_without_quotas_ignores_the_messages(self) -> None:
        """Guards against nodes of an older release that fail on newer messages."""
        counts: list[str] = []
        datagrams = Datagrams("m", count=counts.append)
        data = encode("quotaRequest", mesh="m", nodeId="a", workspace="w")
        datagrams.datagram_received(data, ("127.0.0.1", 1))
        self.assertEqual(["datagrams_unexpected"], counts)
