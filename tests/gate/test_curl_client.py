"""Tests of the client for backend servers."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.curl_client import BackendRequest, CurlClient, connect_timeout_ms
from tests import streams
from tests.support import async_test


class _FlakyServer:
    """Answers the first request of a connection, then closes on the next unread."""

    def __init__(self) -> None:
        self.received = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port of the system's choice."""
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
            self.received += 1
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
    """Tests of transfers that share handles and connections."""

    async def _second_post(self, **options: object) -> tuple[object, int]:
        """Post twice over one connection that dies at the second request."""
        server = _FlakyServer()
        await server.start()
        client = CurlClient()
        try:
            first = client.start(_request(server.port))
            await first.head()
            while isinstance(await first.read_body(), bytes):
                pass
            second = client.start(_request(server.port, **options))
            return await second.head(), server.received
        finally:
            client.close()
            server.close()

    @async_test
    async def test_libcurl_resends_without_the_guard(self) -> None:
        """The fault is there: a request is received twice for one call."""
        head, received = await self._second_post(resend_allowed=True)
        self.assertEqual((200, 3), (head.status, received))

    @async_test
    async def test_guard_forbids_the_second_sending(self) -> None:
        head, received = await self._second_post()
        self.assertIsInstance(head, Failure)
        self.assertEqual((Verdict.MAY_HAVE_RUN, 2), (head.verdict, received))

    @async_test
    async def test_fresh_connection_makes_the_outcome_certain(self) -> None:
        head, received = await self._second_post(fresh_connection=True)
        self.assertEqual((200, 2), (head.status, received))

    @async_test
    async def test_refused_connection_is_not_run(self) -> None:
        server = _FlakyServer()
        await server.start()
        server.close()
        client = CurlClient()
        head = await client.start(_request(server.port)).head()
        self.assertEqual(
            (Verdict.NOT_RUN, "connection_refused"), (head.verdict, head.reason)
        )
        client.close()

    def test_connecting_leaves_time_to_say_that_nothing_was_sent(self) -> None:
        for timeout_ms, expected_ms in ((1, 1), (600, 300), (10_000, 1000)):
            self.assertEqual(expected_ms, connect_timeout_ms(timeout_ms), timeout_ms)

    @async_test
    async def test_cancel_of_an_ended_transfer_leaves_its_handles_next_one(
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
