"""Tests of the gate's end of a connection from another node."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.call_server import CallServer
from burdockdock.protocol import Message, decode, frame
from burdockdock.protocol.calls import CallRequest, GateResults, frame_call_start
from burdockdock.protocol.codec import HEADER_BYTES
from tests.support import async_test

_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 1000, True, "GET", "/", ())


class _Connection:
    """Keeps the frames that are sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, data: bytes) -> None:
        """Keep a frame."""
        self.sent.append(_message(data))


class _Gate:
    """Fails each call by a fault of its own."""

    load = 0

    def results(self, route: str) -> GateResults:
        """Tell nothing."""
        return GateResults()

    async def run(self, request: CallRequest, stream: object) -> Failure | None:
        """Fail."""
        raise RuntimeError("a fault of the gate")


def _message(data: bytes) -> Message:
    return decode(data[HEADER_BYTES:])


class CallServerTest(testtools.TestCase):
    """Tests of what is left of a call, and what the caller's node hears."""

    @async_test
    async def test_a_call_that_is_cancelled_at_once_leaves_nothing(self) -> None:
        server = CallServer(_Connection(), _Gate())
        server.handle(_message(frame_call_start(1, _REQUEST)))
        server.handle(_message(frame("callCancel", callId=1)))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual((0, 0), (len(server._streams), len(server._tasks)))

    @async_test
    async def test_a_fault_of_the_gate_is_told(self) -> None:
        connection = _Connection()
        server = CallServer(connection, _Gate())
        server.handle(_message(frame_call_start(1, _REQUEST)))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(["callFailed"], [m.which() for m in connection.sent])
        failed = connection.sent[0].callFailed
        self.assertEqual(Verdict.MAY_HAVE_RUN, Verdict(failed.verdict))
