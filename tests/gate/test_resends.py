"""Tests that a gate sends each request once, also if its connection ends."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Verdict
from burdockdock.gate import backend_call, transfer
from burdockdock.gate.model import KEPT_CONNECTION_ENDED
from burdockdock.protocol.calls import CallRequest
from tests.gate.backend_servers import start_gate
from tests.gate.recording_stream import RecordingStream
from tests.support import async_test

_REQUEST = CallRequest("id", "t", "c", "r", "work", 10_000, True, "GET", "/", ())
# Longer than what a machine takes to reset a connection, however slow it is.
_WORK_S = 0.3


class _LossyBackend:
    """Answers the first request of a connection, and ends it at the second.

    :param work_s: time from the second request to the end of its connection.
    """

    def __init__(self, work_s: float) -> None:
        self.arrivals = 0
        self._work_s = work_s

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        await self._read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await self._read_request(reader)
        await asyncio.sleep(self._work_s)
        writer.transport.abort()

    async def _read_request(self, reader: asyncio.StreamReader) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.arrivals += 1


class ResendTest(testtools.TestCase):
    """Tests of requests whose connection ends without an answer."""

    async def _call_twice(
        self, *, work_s: float, leaves: bool = False, **change: object
    ) -> RecordingStream:
        """Make two calls on one connection; return the second.

        :param leaves: whether the backend server leaves while it runs the second.
        :param change: of the second request's fields.
        """
        self.backend = _LossyBackend(work_s)
        self.results = []
        self.gate = await start_gate(self.backend.serve, observe=self.results.append)
        await self.gate.run(_REQUEST, RecordingStream())
        stream = RecordingStream()
        # A request that was sent before would get a connection of its own.
        self.second = _REQUEST._replace(request_id="id-2", **change)
        call = asyncio.create_task(self.gate.run(self.second, stream))
        if leaves:
            await asyncio.sleep(0)
            self.gate.start_draining()
        await call
        return stream

    @async_test
    async def test_lost_answer_does_not_make_the_gate_run_a_request_again(self) -> None:
        # Guards against repeats that pass by admission, deadline and retry budget.
        stream = await self._call_twice(work_s=_WORK_S)
        self.assertEqual(2, self.backend.arrivals)
        self.assertIs(Verdict.MAY_HAVE_RUN, stream.failure.verdict)
        self.assertEqual("backend_connection_broken", stream.failure.reason)
        self.assertEqual([False, True], [result.failed for result in self.results])

    @async_test
    async def test_request_on_a_dead_connection_is_not_sent_again_by_the_gate(
        self,
    ) -> None:
        # Guards against arrivals that no retry budget is charged for.
        self.patch(transfer, "_DEAD_CONNECTION_S", 60.0)
        for change in ({}, {"method": "PUT", "body_length": 4, "body": b"body"}):
            stream = await self._call_twice(work_s=0.0, **change)
            self.assertEqual(2, self.backend.arrivals, change)
            self.assertEqual(
                (Verdict.MAY_HAVE_RUN, KEPT_CONNECTION_ENDED), stream.failure[:2]
            )

    @async_test
    async def test_request_on_a_dead_connection_is_served_when_it_comes_again(
        self,
    ) -> None:
        self.patch(transfer, "_DEAD_CONNECTION_S", 60.0)
        await self._call_twice(work_s=0.0)
        stream = RecordingStream()
        await self.gate.run(self.second, stream)
        self.assertEqual((200, 3), (stream.status, self.backend.arrivals))

    @async_test
    async def test_dead_connection_is_no_evidence_about_the_backend_server(
        self,
    ) -> None:
        self.patch(transfer, "_DEAD_CONNECTION_S", 60.0)
        await self._call_twice(work_s=0.0)
        self.assertEqual([False], [result.failed for result in self.results])

    @async_test
    async def test_no_kept_connection_is_used_after_a_dead_one(self) -> None:
        # Guards against a loss of as many calls as there are dead connections.
        self.patch(transfer, "_DEAD_CONNECTION_S", 60.0)
        self.patch(backend_call, "_FRESH_CONNECTIONS_S", 60.0)
        await self._call_twice(work_s=0.0)
        for i in range(4):
            stream = RecordingStream()
            await self.gate.run(_REQUEST._replace(request_id=f"other-{i}"), stream)
            self.assertEqual(200, stream.status)

    @async_test
    async def test_kept_connections_are_used_again_later(self) -> None:
        self.patch(transfer, "_DEAD_CONNECTION_S", 60.0)
        self.patch(backend_call, "_FRESH_CONNECTIONS_S", 0.0)
        await self._call_twice(work_s=0.0)
        await self.gate.run(_REQUEST._replace(request_id="id-3"), RecordingStream())
        stream = RecordingStream()
        await self.gate.run(_REQUEST._replace(request_id="id-4"), stream)
        self.assertEqual(KEPT_CONNECTION_ENDED, stream.failure.reason)

    @async_test
    async def test_leaving_backend_server_gets_no_request_again(self) -> None:
        self.patch(transfer, "_DEAD_CONNECTION_S", 60.0)
        stream = await self._call_twice(work_s=_WORK_S, leaves=True)
        self.assertEqual(2, self.backend.arrivals)
        self.assertIs(Verdict.MAY_HAVE_RUN, stream.failure.verdict)
        again = RecordingStream()
        await self.gate.run(self.second, again)
        self.assertEqual(2, self.backend.arrivals)
        self.assertEqual((Verdict.NOT_RUN, "draining"), again.failure[:2])

    @async_test
    async def test_no_kind_of_request_is_sent_again(self) -> None:
        for change in (
            {"idempotent": False},
            {"body_length": 4, "body": b"body"},
            {"method": "HEAD"},
        ):
            await self._call_twice(work_s=0.0, **change)
            self.assertEqual(2, self.backend.arrivals, change)
