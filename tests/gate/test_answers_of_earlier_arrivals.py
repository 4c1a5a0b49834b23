"""Tests that no answer is taken for that of another arrival on its connection.

A backend server may answer a request a second time when the next one arrives on the
same connection, whole or in part. The request's own answer follows.
"""

import asyncio
from collections.abc import Iterable

import testtools

from burdockdock.clock import Clock, ManualClock
from burdockdock.coordination.verdict import Verdict
from burdockdock.gate import transfer
from burdockdock.gate.gate import Gate
from burdockdock.gate.headers import CallHeaders
from burdockdock.protocol.calls import CallRequest
from tests.gate.backend_servers import read_request_id, start_gate
from tests.gate.recording_stream import RecordingStream
from tests.support import async_test

_HEADERS = CallHeaders(
    request_id="Request-Id",
    caller_sets_request_id=True,
    not_run="Not-Executed",
    signature="Response-Signature",
)
# Header lines in the orders in which the answers of these tests have them.
_ORDERS = (
    ("Date", "Request-Id", "Response-Signature", "Content-Length"),
    ("Content-Length", "Response-Signature", "Request-Id", "Date"),
    ("Request-Id", "Content-Type", "Date", "Content-Length", "Response-Signature"),
)


def _answer(
    status: int, request_id: str, *, order: Iterable[str] = _ORDERS[0]
) -> bytes:
    """Return a whole answer; an empty id leaves the header of the id out."""
    values = {
        "Date": "Sun, 06 Dec 2026 07:31:56 GMT",
        "Request-Id": request_id,
        "Response-Signature": f"signature-{status}",
        "Content-Length": "4",
        "Content-Type": "text/plain",
    }
    lines = [f"{name}: {values[name]}\r\n" for name in order if values[name]]
    return f"HTTP/1.1 {status} X\r\n{''.join(lines)}\r\nbody".encode()


class _RepeatingBackend:
    """Answers the first request with 200 and the others with 500.

    :param late_bytes: sent before the second answer on a connection.
    """

    def __init__(self, late_bytes: bytes) -> None:
        self._late_bytes = late_bytes
        self._connections = 0
        self._arrivals = 0
        self.connection_of_arrival: list[int] = []
        self.own_order: Iterable[str] = _ORDERS[0]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        connection = self._connections
        self._connections += 1
        arrivals_here = 0
        while request_id := await read_request_id(reader):
            self.connection_of_arrival.append(connection)
            self._arrivals += 1
            arrivals_here += 1
            if arrivals_here == 2:
                writer.write(self._late_bytes)
            status = 200 if self._arrivals == 1 else 500
            writer.write(_answer(status, request_id, order=self.own_order))
        writer.close()


async def _call(gate: Gate, request_id: str) -> RecordingStream:
    stream = RecordingStream()
    headers = (("Request-Id", request_id),)
    request = CallRequest(
        request_id, "t", "c", "r", "work", 10_000, True, "GET", "/", headers
    )
    await gate.run(request, stream)
    return stream


class EarlierArrivalTest(testtools.TestCase):
    """Tests of late copies of answers on connections that are used again."""

    async def _start(
        self, late_bytes: bytes, *, clock: Clock | None = None
    ) -> tuple[Gate, _RepeatingBackend]:
        backend = _RepeatingBackend(late_bytes)
        gate = await start_gate(backend.serve, slots=4, clock=clock, headers=_HEADERS)
        return gate, backend

    @async_test
    async def test_copy_of_the_answer_to_an_earlier_arrival_of_the_request(
        self,
    ) -> None:
        # Guards against a success in place of the failure of the request's second run.
        gate, _ = await self._start(_answer(200, "id-1"))
        first = await _call(gate, "id-1")
        self.assertEqual(200, first.head.status)
        second = await _call(gate, "id-1")
        self.assertEqual((500, None), (second.head.status, second.failure))

    @async_test
    async def test_other_requests_still_share_a_connection(self) -> None:
        gate, backend = await self._start(b"")
        for request_id in ("id-1", "id-2", "id-3"):
            await _call(gate, request_id)
        self.assertEqual([0, 0, 0], backend.connection_of_arrival)

    @async_test
    async def test_request_is_remembered_while_its_connection_may_be_used(self) -> None:
        clock = ManualClock()
        gate, backend = await self._start(b"", clock=clock)
        await _call(gate, "id-1")
        clock.advance(transfer.MAX_CONNECTION_AGE_S + 1.0)
        await _call(gate, "id-1")
        self.assertEqual([0, 1], backend.connection_of_arrival)

    @async_test
    async def test_old_connection_is_not_used_again(self) -> None:
        # A request is not remembered for longer.
        self.patch(transfer, "MAX_CONNECTION_AGE_S", 1)
        gate, backend = await self._start(b"")
        await _call(gate, "id-1")
        await asyncio.sleep(2.1)
        await _call(gate, "id-2")
        self.assertEqual([0, 1], backend.connection_of_arrival)

    @async_test
    async def test_copy_that_breaks_off_in_its_head(self) -> None:
        # Guards against the status of one answer with the id and signature of another.
        for order in _ORDERS:
            copy = _answer(200, "id-1", order=order)
            for length in range(1, len(copy)):
                await self._check_broken_copy(copy[:length], order)

    async def _check_broken_copy(self, late_bytes: bytes, order: Iterable[str]) -> None:
        gate, backend = await self._start(late_bytes)
        backend.own_order = order
        await _call(gate, "id-1")
        second = await _call(gate, "id-2")
        self.assertIsNone(second.head, late_bytes)
        self.assertIs(Verdict.MAY_HAVE_RUN, second.failure.verdict)
        third = await _call(gate, "id-3")
        self.assertEqual(500, third.head.status, late_bytes)
        self.assertEqual([0, 0, 1], backend.connection_of_arrival, late_bytes)

    @async_test
    async def test_copy_without_an_id(self) -> None:
        # Guards against an answer that nothing ties to the request.
        gate, _ = await self._start(_answer(200, ""))
        await _call(gate, "id-1")
        second = await _call(gate, "id-2")
        self.assertIsNone(second.head)
        self.assertIs(Verdict.MAY_HAVE_RUN, second.failure.verdict)

    @async_test
    async def test_answer_without_an_id_on_a_connection_of_its_own(self) -> None:
        gate, backend = await self._start(b"")
        backend.own_order = ("Content-Length", "Response-Signature")
        first = await _call(gate, "id-1")
        self.assertEqual(200, first.head.status)
