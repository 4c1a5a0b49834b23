"""Tests of heartbeats, deregistrations and readiness checks."""

import json

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.node.announcements import Announcement, BackendState
from burdockdock.node.departures import LATE
from burdockdock.node.interface import BackendActions
from burdockdock.platform.announcements import (
    decode_heartbeat,
    serve_announcements,
    serve_readiness,
)
from burdockdock.standin.local_fleet import free_port
from tests.support import async_test

_HOST = "127.0.0.1"
_HEARTBEAT = {
    "service": "work",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-remaining": "1500ms",
    "seq": 4,
    "born": 1_700_000_000_000,
}


class DecodeTest(testtools.TestCase):
    """Tests of decoding one heartbeat."""

    def test_a_heartbeat_becomes_an_announcement(self) -> None:
        found = decode_heartbeat("i-1", json.dumps(_HEARTBEAT).encode())
        self.assertEqual(("work", "v1", "10.0.0.9", 8080, 6), found.backend[:5])
        self.assertEqual("i-1", found.backend.instance_id)
        self.assertEqual((4, 1.5), (found.sequence, found.cold_s))
        self.assertIs(BackendState.READY, found.state)

    def test_malformed_heartbeats_are_refused(self) -> None:
        bodies = [b"", b"\xff", b"[]", b"3", b"{}"]
        changes = [
            {"state": "sleeping"},
            {"slots": "6"},
            {"slots": 0},
            {"slots": True},
            {"seq": -1},
            {"born": 1.5},
            {"address": "nowhere"},
            {"service": None},
            {"cold-remaining": 7},
        ]
        bodies += [json.dumps({**_HEARTBEAT, **change}).encode() for change in changes]
        for body in bodies:
            self.assertIsInstance(decode_heartbeat("i-1", body), Failure, body)


class ServeTest(testtools.TestCase):
    """Tests of the HTTP servers for announcements and readiness checks."""

    async def _post(self, port: int, call: str, body: bytes) -> int:
        request = HTTPRequest(
            f"http://{_HOST}:{port}/api/rpc?call={call}&of=i-1",
            method="POST",
            body=body,
        )
        response = await CurlAsyncHTTPClient().fetch(request, raise_error=False)
        return response.code

    @async_test
    async def test_status_codes_of_accepted_and_refused_messages(self) -> None:
        announcements: list[Announcement] = []
        deregistrations: list[tuple[str, int]] = []
        refusals: list[Failure | None] = []

        def handle_announcement(announcement: Announcement) -> Failure | None:
            announcements.append(announcement)
            return refusals.pop() if refusals else None

        port = free_port()

        def handle_departure(instance_id: str, started_ms: int) -> None:
            deregistrations.append((instance_id, started_ms))

        async def wait_saved() -> None:
            """Act as if all departures had been saved."""

        actions = BackendActions(handle_announcement, handle_departure, wait_saved)
        serve_announcements(actions, _HOST, port)
        body = json.dumps(_HEARTBEAT).encode()
        heartbeat = "instances.heartbeat"
        self.assertEqual(200, await self._post(port, heartbeat, body))
        refusals.append(Failure(Verdict.NOT_RUN, "earlier_start"))
        self.assertEqual(400, await self._post(port, heartbeat, body))
        refusals.append(Failure(Verdict.NOT_RUN, LATE))
        self.assertEqual(200, await self._post(port, heartbeat, body))
        self.assertEqual(3, len(announcements))
        self.assertEqual(400, await self._post(port, heartbeat, b"{"))
        self.assertEqual(400, await self._post(port, "instances.unknown", body))
        self.assertEqual(200, await self._post(port, "instances.deregister", b""))
        with_start_time = b'{"born": 1783281243396}'
        self.assertEqual(
            200, await self._post(port, "instances.deregister", with_start_time)
        )
        with_invalid_start_time = b'{"born": "soon"}'
        self.assertEqual(
            200, await self._post(port, "instances.deregister", with_invalid_start_time)
        )
        self.assertEqual(
            [("i-1", 0), ("i-1", 1783281243396), ("i-1", 0)], deregistrations
        )

    @async_test
    async def test_readiness_is_evaluated_on_every_request(self) -> None:
        readiness = [True, False]
        port = free_port()
        serve_readiness(readiness.pop, _HOST, port)
        codes = []
        for _ in range(2):
            response = await CurlAsyncHTTPClient().fetch(
                f"http://{_HOST}:{port}/api/readiness", raise_error=False
            )
            codes.append(response.code)
        self.assertEqual([503, 200], codes)
