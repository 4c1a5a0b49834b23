"""Tests of the HTTP client for backend servers."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.curl_client import CurlClient
from burdockdock.gate.transfer import BackendRequest, connect_timeout_ms
from tests import streams
from tests.support import async_test


class _FlakyServer:
    """Answers a connection's first request and closes it on the second unanswered."""

    def __init__(self) -> None:
        self.received_requests = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on an ephemeral port."""
        self._server = await streams.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = True
        while await reader.readline():
            while (await reader.readline()).strip():
                pass
            self.received_requests += 1
            if not first:
                break
            first = False
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()


def _request(port: int, **options: object) -> BackendRequest:
    fields = {
        "method": "POST",
        "url": f"http://127.0.0.1:{port}/x",
        "headers": ["Content-Length: 0"],
        "body_length": 0,
        "timeout_ms": 10_000,
        "fresh_connection": False,
        **options,
    }
    return BackendRequest(**fields)


class CurlClientTest(testtools.TestCase):
    """Tests of transfers that reuse handles and connections."""

    async def _second_post(
        self,
        *,
        resends: bool = False,
        **options: object,
    ) -> tuple[object, int]:
        """Send two POST requests to a server that closes the connection on the second.

        :param resends: let libcurl resend the second, without the guard.
        :returns: the outcome of the second request, and the number of
            requests that the server received.
        """
        server = _FlakyServer()
        await server.start()
        client = CurlClient()
        try:
            first = client.start(_request(server.port))
            await first.head()
            while isinstance(await first.read_body(), bytes):
                pass
            second = client.start(_request(server.port, **options))
            if resends:
                second._may_send = lambda: True
            return await second.head(), server.received_requests
        finally:
            client.close()
            server.close()

    @async_test
    async def test_libcurl_resends_without_the_guard(self) -> None:
        """Reproduces the fault that the guard prevents: one call is received twice."""
        head, received_requests = await self._second_post(resends=True)
        self.assertEqual((200, 3), (head.status, received_requests))

    @async_test
    async def test_guard_prevents_a_resend(self) -> None:
        head, received_requests = await self._second_post()
        self.assertIsInstance(head, Failure)
        self.assertEqual((Verdict.MAY_HAVE_RUN, 2), (head.verdict, received_requests))

    @async_test
    async def test_fresh_connection_avoids_an_uncertain_outcome(self) -> None:
        head, received_requests = await self._second_post(fresh_connection=True)
        self.assertEqual((200, 2), (head.status, received_requests))

    @async_test
    async def test_refused_connection_means_not_run(self) -> None:
        server = _FlakyServer()
        await server.start()
        server.close()
        client = CurlClient()
        head = await client.start(_request(server.port)).head()
        self.assertEqual(
            (Verdict.NOT_RUN, "connection_refused"), (head.verdict, head.reason)
        )
        client.close()

    def test_connect_timeout_leaves_time_to_report_not_run(self) -> None:
        for timeout_ms, expected_ms in ((1, 1), (600, 300), (10_000, 1000)):
            self.assertEqual(expected_ms, connect_timeout_ms(timeout_ms), timeout_ms)

    @async_test
    async def test_cancelling_a_finished_transfer_spares_the_handles_next_one(
        self,
    ) -> None:
        server = _FlakyServer()
        await server.start()
        client = CurlClient()
        first = client.start(_request(server.port))
        await first.head()
        while isinstance(await first.read_body(), bytes):
            pass
        second = client.start(_request(server.port, fresh_connection=True))
        self.assertIs(first.easy, second.easy)
        first.cancel()
        head = await asyncio.wait_for(second.head(), 30)
        self.assertEqual(200, head.status)
        client.close()
        server.close()
