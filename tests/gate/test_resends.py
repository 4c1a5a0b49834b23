"""Tests of requests that a gate sends once more by itself."""

import asyncio

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.verdict import Verdict
from burdockdock.gate import exchange
from burdockdock.gate.gate import Gate
from burdockdock.gate.headers import OWN_HEADERS
from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest
from tests import streams
from tests.support import async_test

_REQUEST = CallRequest("id", "t", "c", "r", "work", 10_000, True, "GET", "/", ())
_HEADERS = OWN_HEADERS._replace(not_run="Not-Executed")
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
# Longer than what a machine takes to reset a connection, however slow it is.
_WORK_S = 0.3


class _LossyBackend:
    """Answers the first request of a connection, and ends it at the second.

    :param work_s: time from the second request to the end of its connection.
    :param refuses_from: number of the first arrival that it refuses as not run.
    """

    def __init__(self, work_s: float, *, refuses_from: float = float("inf")) -> None:
        self.arrivals = 0
        self._work_s = work_s
        self._refuses_from = refuses_from

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        await self._read_request(reader)
        writer.write(_REFUSAL if self.arrivals >= self._refuses_from else _ANSWER)
        await self._read_request(reader)
        await asyncio.sleep(self._work_s)
        writer.transport.abort()

    async def _read_request(self, reader: asyncio.StreamReader) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.arrivals += 1


class _Stream:
    """Records how a call ended."""

    def __init__(self) -> None:
        self.failure = None
        self.status = 0

    def send_head(self, head: object) -> None:
        """Record the status."""
        self.status = head.status

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Accept the body."""

    def fail(self, failure: object) -> None:
        """Record the failure."""
        self.failure = failure


class ResendTest(testtools.TestCase):
    """Tests of requests whose connection ends without an answer."""

    async def _call_twice(
        self,
        *,
        work_s: float,
        leaves: bool = False,
        refuses_from: float = float("inf"),
    ) -> _Stream:
        """Make two calls on one connection; return the second.

        :param leaves: whether the backend server leaves while it runs the second.
        :param refuses_from: number of the first arrival that it refuses as not run.
        """
        self.backend = _LossyBackend(work_s, refuses_from=refuses_from)
        server = await streams.start_server(self.backend.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        gate = Gate(clock=SystemClock(), metrics=Metrics(), headers=_HEADERS)
        gate.announce(BackendServer("work", "1", "127.0.0.1", port, 1))
        await gate.run(_REQUEST, _Stream())
        stream = _Stream()
        # A request that was sent before would get a connection of its own.
        second = _REQUEST._replace(request_id="id-2")
        call = asyncio.create_task(gate.run(second, stream))
        if leaves:
            await asyncio.sleep(0)
            gate.start_draining()
        await call
        return stream

    @async_test
    async def test_lost_answer_does_not_make_the_gate_run_a_request_again(self) -> None:
        # Guards against repeats that pass by admission, deadline and retry budget.
        stream = await self._call_twice(work_s=_WORK_S)
        self.assertEqual(2, self.backend.arrivals)
        self.assertIs(Verdict.MAY_HAVE_RUN, stream.failure.verdict)

    @async_test
    async def test_request_on_a_dead_connection_is_sent_again(self) -> None:
        self.patch(exchange, "_DEAD_CONNECTION_S", 60.0)
        stream = await self._call_twice(work_s=0.0)
        self.assertEqual((200, 3), (stream.status, self.backend.arrivals))

    @async_test
    async def test_leaving_backend_server_gets_no_request_again(self) -> None:
        self.patch(exchange, "_DEAD_CONNECTION_S", 60.0)
        stream = await self._call_twice(work_s=_WORK_S, leaves=True)
        self.assertEqual(2, self.backend.arrivals)
        self.assertIs(Verdict.MAY_HAVE_RUN, stream.failure.verdict)

    @async_test
    async def test_refusal_of_a_resend_is_no_proof_for_the_first_sending(self) -> None:
        # Guards against "not run" for a request that ran before its connection ended.
        self.patch(exchange, "_DEAD_CONNECTION_S", 60.0)
        stream = await self._call_twice(work_s=0.0, refuses_from=3)
        self.assertEqual(3, self.backend.arrivals)
        self.assertIs(Verdict.MAY_HAVE_RUN, stream.failure.verdict)

    def test_only_idempotent_requests_without_a_body_are_sent_again(self) -> None:
        for change in ({"idempotent": False}, {"body_length": 3}):
            request = _REQUEST._replace(**change)
            self.assertFalse(exchange.may_resend(request, 0.0), change)
        self.assertTrue(exchange.may_resend(_REQUEST, 0.0))
        self.assertFalse(exchange.may_resend(_REQUEST, 0.021))
