"""Tests that the configuration's limits for callers are enforced."""

import asyncio

import eliot
import testtools

from burdockdock.configuration.model import CallerLimits
from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from burdockdock.proxy.caller_answer import CallerAnswer
from tests import streams
from tests.proxy.caller_server import HOST, start_caller_server
from tests.support import PATIENCE_S, async_test, eventually

_LIMITS = CallerLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout_ms=300,
    idle_timeout_ms=300,
)
_CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Forwarder:
    """Reads the whole body if ``reads``, and answers; ``ended`` counts its calls.

    ``read`` counts the parts of bodies that it got.
    """

    def __init__(self, *, reads: bool = True) -> None:
        self._reads = reads
        self.started = 0
        self.read = 0
        self.ended = 0

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Read the body, and send an empty answer."""
        self.started += 1
        try:
            if not self._reads:
                await asyncio.Event().wait()
            end = False
            while not end:
                _, end = await caller.read_body()
                self.read += 1
            await caller.send_head(AnswerHead(200, "OK", (("Content-Length", "0"),)))
            caller.finish()
        finally:
            self.ended += 1
        return None


class CallerLimitsTest(testtools.TestCase):
    """Tests of requests over the limits, and of connections over the time-outs."""

    async def _send(
        self, data: bytes, *, reads: bool = True, limits: CallerLimits = _LIMITS
    ) -> tuple[bytes, _Forwarder]:
        """Send bytes; return all that the node sends until it closes."""
        forwarder = _Forwarder(reads=reads)
        server = start_caller_server(self, forwarder)
        snapshot = server.context.snapshot()
        snapshot.limits = limits
        server.context.snapshot = lambda: snapshot
        reader, writer = await streams.open_connection(HOST, server.port)
        writer.write(data)
        async with asyncio.timeout(PATIENCE_S):
            try:
                received = await reader.read()
            except ConnectionError:
                received = b""
        writer.close()
        return received, forwarder

    @async_test
    async def test_announced_body_over_the_limit(self) -> None:
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
        received, forwarder = await self._send(head)
        self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)
        self.assertIn(b"Retry-After: ", received)
        self.assertEqual(0, forwarder.started)

    @async_test
    async def test_expectation_of_a_body_over_the_limit(self) -> None:
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n"
        received, _ = await self._send(head + b"Expect: 100-continue\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)

    @async_test
    async def test_chunked_body_over_the_limit_that_was_not_passed_on(self) -> None:
        body = b"400\r\n" + b"x" * 1024 + b"\r\n"
        received, forwarder = await self._send(_CHUNKED + body, reads=False)
        self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)
        self.assertEqual(forwarder.started, forwarder.ended)

    @async_test
    async def test_chunked_body_over_the_limit_that_may_have_run(self) -> None:
        """Guards against telling a caller "not run" of what has been passed on."""
        forwarder = _Forwarder()
        server = start_caller_server(self, forwarder)
        snapshot = server.context.snapshot()
        snapshot.limits = _LIMITS
        server.context.snapshot = lambda: snapshot
        reader, writer = await streams.open_connection(HOST, server.port)
        writer.write(_CHUNKED + b"1\r\nx\r\n")
        await asyncio.sleep(0.1)
        writer.write(b"400\r\n" + b"x" * 1024 + b"\r\n")
        async with asyncio.timeout(PATIENCE_S):
            try:
                received = await reader.read()
            except ConnectionError:
                received = b""
        writer.close()
        self.assertEqual(b"", received)
        self.assertEqual((1, 1), (forwarder.started, forwarder.ended))

    @async_test
    async def test_shed_request_without_a_body_may_have_run(self) -> None:
        """Guards against "not run" for an empty body with a length of "00"."""
        forwarder = _Forwarder(reads=False)
        server = start_caller_server(self, forwarder)
        reader, writer = await streams.open_connection(HOST, server.port)
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 00\r\n\r\n"
        writer.write(head)
        await eventually(lambda: forwarder.started)
        (account,) = server.context.memory._accounts
        account.shed()
        async with asyncio.timeout(PATIENCE_S):
            try:
                received = await reader.read()
            except ConnectionError:
                received = b""
        writer.close()
        self.assertEqual(b"", received)

    @async_test
    async def test_connection_is_closed_if_aborting_the_answer_fails(self) -> None:
        """Guards against an error that nobody sees, and a caller that waits on."""

        def raise_error(answer: CallerAnswer) -> None:
            raise RuntimeError("unexpected error")

        self.patch(CallerAnswer, "abort", raise_error)
        events: list[dict] = []
        eliot.add_destinations(events.append)
        self.addCleanup(eliot.remove_destination, events.append)
        forwarder = _Forwarder()
        server = start_caller_server(self, forwarder)
        reader, writer = await streams.open_connection(HOST, server.port)
        writer.write(_CHUNKED + b"1\r\nx\r\n")
        await eventually(lambda: forwarder.read)
        (account,) = server.context.memory._accounts
        account.shed()
        async with asyncio.timeout(PATIENCE_S):
            try:
                received = await reader.read()
            except ConnectionError:
                received = b""
        writer.close()
        self.assertEqual(b"", received)
        names = [event.get("message_type") for event in events]
        self.assertIn("caller.abort_fault", names)

    @async_test
    async def test_head_over_the_limit(self) -> None:
        head = b"GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 2000 + b"\r\n\r\n"
        received, forwarder = await self._send(head)
        self.assertTrue(received.startswith(b"HTTP/1.1 431 "), received)
        self.assertEqual(0, forwarder.started)

    @async_test
    async def test_connections_over_the_time_outs_are_closed(self) -> None:
        for data in (b"", b"GET /x HTTP/1.1\r\nHost: a\r\n"):
            received, _ = await self._send(data)
            self.assertEqual(b"", received)

    @async_test
    async def test_without_limits_large_requests_are_served(self) -> None:
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Long: "
        head += b"x" * 20_000 + b"\r\nContent-Length: 100000\r\n\r\n"
        received, _ = await self._send(head + bytes(100_000), limits=CallerLimits())
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
