"""Tests of the stand-in for the platform: return from an older copy, over HTTP."""

import asyncio
import json

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

from burdockdock.clock import SystemClock
from burdockdock.coordination.verdict import Failure
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import free_port
from burdockdock.standin.platform import serve_platform
from tests.support import async_test


class _Fixture:
    """A stand-in in this process, and a client of it."""

    def __init__(self) -> None:
        port = free_port()
        self.url = f"http://127.0.0.1:{port}"
        self.server = serve_platform("127.0.0.1", port)
        self.client = PlatformClient(self.url, name="test", clock=SystemClock())

    async def post(self, path: str, **body: object) -> HTTPResponse:
        """Send a request to a switch."""
        request = HTTPRequest(self.url + path, method="POST", body=json.dumps(body))
        return await CurlAsyncHTTPClient().fetch(request, raise_error=False)


class ReturnTest(testtools.TestCase):
    """Tests of a stand-in that returns from an older copy."""

    @async_test
    async def test_era_rises_and_changes_are_lost(self) -> None:
        platform = _Fixture()
        written = await platform.client.update("k", expected_version=0, value={"x": 1})
        self.assertEqual(0, platform.client.era.newest)
        response = await platform.post("/return", age_s=30)
        self.assertEqual({"era": 1, "lost_changes": 1}, json.loads(response.body))
        found = await platform.client.read("k")
        self.assertEqual((0, {}, 1), (found.version, found.value, found.era))
        self.assertEqual((0, 1), (written.era, platform.client.era.newest))

    @async_test
    async def test_watch_from_a_revision_that_is_lost(self) -> None:
        platform = _Fixture()
        for number in range(3):
            await platform.client.update(f"k/{number}", expected_version=0, value={})
        await platform.post("/return", age_s=30)
        await platform.client.update("k/0", expected_version=0, value={})
        lost = await platform.client.watch("k/", after=3, wait_s=0.2)
        self.assertEqual("history_gone", lost.reason)
        known = await platform.client.watch("k/", after=1, wait_s=0.05)
        self.assertEqual([], known.objects)

    @async_test
    async def test_watch_in_flight_ends(self) -> None:
        platform = _Fixture()
        await platform.client.read("k")
        watch = asyncio.create_task(platform.client.watch("k/", after=0))
        await asyncio.sleep(0.1)
        await platform.post("/return", age_s=30, away_s=0.1)
        self.assertIsInstance(await watch, Failure)

    @async_test
    async def test_away_for_a_moment(self) -> None:
        platform = _Fixture()
        returning = asyncio.create_task(platform.post("/return", age_s=30, away_s=0.5))
        await asyncio.sleep(0.2)
        self.assertIsInstance(await platform.client.read("k"), Failure)
        await returning
        self.assertNotIsInstance(await platform.client.read("k"), Failure)

    @async_test
    async def test_some_clients_are_refused(self) -> None:
        platform = _Fixture()
        await platform.post("/switches", refused_clients=["other"])
        self.assertNotIsInstance(await platform.client.read("k"), Failure)
        await platform.post("/switches", refused_clients=["test"])
        self.assertIsInstance(await platform.client.read("k"), Failure)

    @async_test
    async def test_odd_requests_change_nothing(self) -> None:
        platform = _Fixture()
        for body in ({}, {"age_s": "x"}, {"age_s": 61}, {"age_s": 1, "away_s": None}):
            response = await platform.post("/return", **body)
            self.assertEqual(400, response.code, body)
        await platform.client.read("k")
        self.assertEqual(0, platform.client.era.newest)
