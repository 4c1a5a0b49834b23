"""Tests of answers that a backend server sends a second time on a kept connection.

The late copy arrives where the answer to the next request is expected. That request
fails, but the connection must not be used again: the answer to it is still to come and
would be taken for the answer to the request after it, and so on.
"""

import asyncio

import testtools

from burdockdock.coordination.verdict import Verdict
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.protocol.calls import CallRequest
from tests.gate.backend_servers import read_request_id, start_gate
from tests.gate.recording_stream import RecordingStream
from tests.support import async_test

_HEADERS = CallHeaders(
    request_id="Request-Id", caller_sets_request_id=True, not_run="Not-Executed"
)
_RUN_S = 0.1


def _ok(request_id: str) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nContent-Length: 2\r\n\r\nok"
    ).encode()


def _refusal(id_line: str) -> bytes:
    return (
        f"HTTP/1.1 503 Full\r\n{id_line}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class _BackendServer:
    """Sends a late copy of an earlier answer once, when its second request arrives.

    :param late_copy: the bytes of the copy.
    """

    def __init__(self, late_copy: bytes) -> None:
        self._late_copy = late_copy
        self.served: list[tuple[int, str]] = []
        self._connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        connection = self._connections
        self._connections += 1
        while request_id := await read_request_id(reader):
            self.served.append((connection, request_id))
            if len(self.served) == 2:
                writer.write(self._late_copy)
            await asyncio.sleep(_RUN_S)
            writer.write(_ok(request_id))


class LateAnswerTest(testtools.TestCase):
    """Tests of the calls that share a connection with a late copy of an answer."""

    async def _run_calls(
        self,
        late_copy: bytes,
        *,
        count: int = 4,
        headers: CallHeaders = _HEADERS,
        idempotent: bool = True,
    ) -> tuple[list[RecordingStream], _BackendServer]:
        backend = _BackendServer(late_copy)
        gate = await start_gate(backend.serve, slots=4, headers=headers)
        calls = []
        for number in range(count):
            calls.append(RecordingStream())
            request_id = f"id-{number}"
            request = CallRequest(
                request_id,
                "t",
                "c",
                "r",
                "work",
                3000,
                idempotent,
                "GET" if idempotent else "POST",
                "/",
                (("Request-Id", request_id),),
            )
            await gate.run(request, calls[-1])
        return calls, backend

    def _assert_only_the_second_call_failed(
        self, calls: list[RecordingStream], backend: _BackendServer
    ) -> None:
        self.assertEqual(Verdict.MAY_HAVE_RUN, calls[1].failure.verdict)
        self.assertIsNone(calls[1].head)
        for number in (0, 2, 3):
            self.assertIsNone(calls[number].failure, number)
            answered_id = dict(calls[number].head.headers)["Request-Id"]
            self.assertEqual(f"id-{number}", answered_id)
        connections = [connection for connection, _ in backend.served]
        self.assertEqual([0, 0, 1, 1], connections)

    @async_test
    async def test_late_copy_of_an_answer(self) -> None:
        self._assert_only_the_second_call_failed(*await self._run_calls(_ok("id-0")))

    @async_test
    async def test_late_copy_of_a_refusal(self) -> None:
        late_copy = _refusal("Request-Id: id-0\r\n")
        self._assert_only_the_second_call_failed(*await self._run_calls(late_copy))

    @async_test
    async def test_late_refusal_without_an_id_is_no_proof(self) -> None:
        self._assert_only_the_second_call_failed(*await self._run_calls(_refusal("")))

    @async_test
    async def test_non_idempotent_requests_share_no_connection(self) -> None:
        late_copy = _refusal("Request-Id: id-0\r\n")
        calls, backend = await self._run_calls(late_copy, idempotent=False)
        self.assertEqual([0, 1, 2, 3], [connection for connection, _ in backend.served])
        self.assertIs(Verdict.MAY_HAVE_RUN, calls[1].failure.verdict)

    @async_test
    async def test_own_refusal_is_proof_and_keeps_the_connection(self) -> None:
        late_copy = _refusal("Request-Id: id-1\r\n")
        calls, _ = await self._run_calls(late_copy, count=2)
        self.assertEqual(Verdict.NOT_RUN, calls[1].failure.verdict)

    @async_test
    async def test_backend_server_that_echoes_no_ids(self) -> None:
        calls, _ = await self._run_calls(b"", headers=OWN_HEADERS)
        self.assertEqual([None] * 4, [call.failure for call in calls])
