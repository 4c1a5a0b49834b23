"""Tests of the server of calls from another node."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.call_server import CallServer
from burdockdock.protocol import Message, decode, frame
from burdockdock.protocol.calls import CallRequest, GateResults, frame_call_start
from burdockdock.protocol.codec import HEADER_BYTES
from tests.support import async_test

_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 1000, True, "GET", "/", ())


class _RecordingConnection:
    """Records the frames that are sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, data: bytes) -> None:
        """Record a frame."""
        self.sent.append(_message(data))


class _FailingGate:
    """Gate that raises an unexpected exception in each call."""

    load = 0

    def results(self, route: str) -> GateResults:
        """Return empty statistics."""
        return GateResults()

    async def run(self, request: CallRequest, stream: object) -> Failure | None:
        """Raise an exception."""
        raise RuntimeError("unexpected error in the gate")


def _message(data: bytes) -> Message:
    return decode(data[HEADER_BYTES:])


class CallServerTest(testtools.TestCase):
    """Tests of the cleanup of calls and of failures sent to the caller's node."""

    @async_test
    async def test_call_cancelled_before_its_task_starts_is_cleaned_up(self) -> None:
        server = CallServer(_RecordingConnection(), _FailingGate())
        server.handle(_message(frame_call_start(1, _REQUEST)))
        server.handle(_message(frame("callCancel", callId=1)))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual((0, 0), (len(server._streams), len(server._tasks)))

    @async_test
    async def test_gate_exception_is_reported_to_the_callers_node(self) -> None:
        connection = _RecordingConnection()
        server = CallServer(connection, _FailingGate())
        server.handle(_message(frame_call_start(1, _REQUEST)))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(["callFailed"], [m.which() for m in connection.sent])
        failed = connection.sent[0].callFailed
        self.assertEqual(Verdict.MAY_HAVE_RUN, Verdict(failed.verdict))
