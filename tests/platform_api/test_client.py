"""Tests of the client against a simulated platform and its faults."""

import asyncio
import json

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from burdockdock.clock import SystemClock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform_api import Conflict, PlatformClient, PlatformObject
from burdockdock.standin.local_fleet import free_port
from burdockdock.standin.platform import serve_platform
from tests import streams
from tests.support import async_test


class _PlatformFixture:
    """A simulated platform in this process, and a client of it."""

    def __init__(self) -> None:
        port = free_port()
        self.url = f"http://127.0.0.1:{port}"
        self.server = serve_platform("127.0.0.1", port)
        self.client = PlatformClient(self.url, name="test", clock=SystemClock())

    async def set_faults(self, **faults: object) -> None:
        """Switch faults of the platform on or off."""
        request = HTTPRequest(
            f"{self.url}/switches", method="POST", body=json.dumps(faults)
        )
        await CurlAsyncHTTPClient().fetch(request)


class _SilentServer:
    """Responds on new connections, but no longer on old ones if a test says so.

    :ivar silent_up_to: number of the newest connection without responses.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.silent_up_to = 0

    async def start(self) -> str:
        """Start listening; return the URL."""
        server = await streams.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        body = b'{"key": "k", "version": 1, "value": {}}'
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(0.05)
                if number > self.silent_up_to:
                    writer.write(head.encode() + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class PlatformClientTest(testtools.TestCase):
    """Tests of updates, watches and failures."""

    @async_test
    async def test_conditional_updates(self) -> None:
        client = _PlatformFixture().client
        created = await client.update("a/b", expected_version=0, value={"x": 1})
        self.assertIsInstance(created, PlatformObject)
        second = await client.update("a/b", expected_version=0, value={"x": 2})
        self.assertIsInstance(second, Conflict)
        self.assertEqual(1, second.current.value["x"])
        missing = await client.read("a/c")
        self.assertEqual((0, {}), (missing.version, missing.value))

    @async_test
    async def test_call_after_a_failure_uses_a_new_connection(self) -> None:
        server = _SilentServer()
        client = PlatformClient(
            await server.start(), name="t", clock=SystemClock(), timeout_s=5.0
        )
        await asyncio.gather(*(client.read("k") for _ in range(3)))
        self.assertEqual(3, server.connections)
        server.silent_up_to = server.connections
        self.assertIsInstance(await client.read("k"), Failure)
        self.assertIsInstance(await client.read("k"), PlatformObject)

    @async_test
    async def test_close_with_a_call_in_flight(self) -> None:
        # Guards against a call that opens a connection after the close.
        client = _PlatformFixture().client
        watching = asyncio.create_task(client.watch("a/", after=0))
        await client.read("a/b")
        watching.cancel()
        client.close()
        failure = await client.read("a/b")
        self.assertEqual(Verdict.NOT_RUN, failure.verdict)

    @async_test
    async def test_lost_response_is_resolved_by_the_token(self) -> None:
        platform = _PlatformFixture()
        await platform.set_faults(lose_answers=1)
        written = await platform.client.update("k", expected_version=0, value={"x": 1})
        self.assertIsInstance(written, PlatformObject)
        found = await platform.client.read("k")
        self.assertEqual((written.version, 1), (found.version, found.value["x"]))

    @async_test
    async def test_update_that_loses_a_race_is_a_conflict(self) -> None:
        platform = _PlatformFixture()
        await platform.client.update("k", expected_version=0, value={"x": "other"})
        result = await platform.client.update("k", expected_version=0, value={"x": 1})
        self.assertEqual("other", result.current.value["x"])

    @async_test
    async def test_outage_is_reported_as_not_run(self) -> None:
        platform = _PlatformFixture()
        await platform.set_faults(down=True)
        result = await platform.client.update(
            "k", expected_version=0, value={}, retry_timeout_s=0.2
        )
        self.assertIsInstance(result, Failure)
        self.assertIs(Verdict.NOT_RUN, result.verdict)
        self.assertGreater(platform.client.failures_in_row, 0)
        await platform.set_faults(down=False)
        await platform.client.read("k")
        self.assertEqual(0, platform.client.failures_in_row)

    @async_test
    async def test_too_large_value_is_refused_before_it_is_sent(self) -> None:
        client = _PlatformFixture().client
        value = {"x": "y" * 1_100_000}
        result = await client.update("k", expected_version=0, value=value)
        self.assertEqual("too_large", result.reason)

    @async_test
    async def test_watch_returns_changes_after_a_revision(self) -> None:
        client = _PlatformFixture().client
        listed = await client.list("p/")
        watch = asyncio.create_task(client.watch("p/", after=listed.revision))
        await client.update("q/other", expected_version=0, value={})
        await client.update("p/one", expected_version=0, value={"x": 1})
        changed = await watch
        self.assertEqual(["p/one"], [found.key for found in changed.objects])
        empty = await client.watch("p/", after=changed.revision, wait_s=0.05)
        self.assertEqual([], empty.objects)
