"""Tests of heartbeats, leave messages and the question of readiness."""

import json

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.node.announcements import LATE, Announcement, BackendState
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
    """Tests of reading one heartbeat."""

    def test_a_heartbeat_becomes_an_announcement(self) -> None:
        found = decode_heartbeat("i-1", json.dumps(_HEARTBEAT).encode())
        self.assertEqual(("work", "v1", "10.0.0.9", 8080, 6), found.backend[:5])
        self.assertEqual("i-1", found.backend.instance_id)
        self.assertEqual((4, 1.5), (found.sequence, found.cold_s))
        self.assertIs(BackendState.READY, found.state)

    def test_odd_heartbeats_name_nothing(self) -> None:
        odd = [b"", b"\xff", b"[]", b"3", b"{}"]
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
        odd += [json.dumps({**_HEARTBEAT, **change}).encode() for change in changes]
        for body in odd:
            self.assertIsInstance(decode_heartbeat("i-1", body), Failure, body)


class ServeTest(testtools.TestCase):
    """Tests of the two small servers."""

    async def _post(self, port: int, call: str, body: bytes) -> int:
        request = HTTPRequest(
            f"http://{_HOST}:{port}/api/rpc?call={call}&of=i-1",
            method="POST",
            body=body,
        )
        answer = await CurlAsyncHTTPClient().fetch(request, raise_error=False)
        return answer.code

    @async_test
    async def test_what_is_believed_is_acknowledged(self) -> None:
        taken: list[Announcement] = []
        left: list[tuple[str, int]] = []
        refusals: list[Failure | None] = []

        def take(announcement: Announcement) -> Failure | None:
            taken.append(announcement)
            return refusals.pop() if refusals else None

        port = free_port()

        def leave(instance_id: str, started_ms: int) -> None:
            left.append((instance_id, started_ms))

        serve_announcements(BackendActions(take, leave), _HOST, port)
        body = json.dumps(_HEARTBEAT).encode()
        heartbeat = "instances.heartbeat"
        self.assertEqual(200, await self._post(port, heartbeat, body))
        refusals.append(Failure(Verdict.NOT_RUN, "earlier_start"))
        self.assertEqual(400, await self._post(port, heartbeat, body))
        refusals.append(Failure(Verdict.NOT_RUN, LATE))
        self.assertEqual(200, await self._post(port, heartbeat, body))
        self.assertEqual(3, len(taken))
        self.assertEqual(400, await self._post(port, heartbeat, b"{"))
        self.assertEqual(400, await self._post(port, "instances.dance", body))
        self.assertEqual(200, await self._post(port, "instances.deregister", b""))
        told = b'{"born": 1783281243396}'
        self.assertEqual(200, await self._post(port, "instances.deregister", told))
        odd = b'{"born": "soon"}'
        self.assertEqual(200, await self._post(port, "instances.deregister", odd))
        self.assertEqual([("i-1", 0), ("i-1", 1783281243396), ("i-1", 0)], left)

    @async_test
    async def test_readiness_is_asked_anew_each_time(self) -> None:
        answers = [True, False]
        port = free_port()
        serve_readiness(answers.pop, _HOST, port)
        codes = []
        for _ in range(2):
            answer = await CurlAsyncHTTPClient().fetch(
                f"http://{_HOST}:{port}/api/readiness", raise_error=False
            )
            codes.append(answer.code)
        self.assertEqual([503, 200], codes)
