"""Tests of the server of calls from another node."""

import asyncio

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.call_server import CallServer
from burdockdock.protocol import Message, decode, frame
from burdockdock.protocol.calls import CallRequest, GateResults, frame_call_start
from burdockdock.protocol.codec import HEADER_BYTES
from burdockdock.proxy.memory_budget import MemoryBudget
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


class _BusyGate(_FailingGate):
    """Gate whose calls don't end; ``ended`` has the requests that were cancelled."""

    def __init__(self) -> None:
        self.ended: list[str] = []

    async def run(self, request: CallRequest, stream: object) -> None:
        """Run until cancelled."""
        try:
            await asyncio.Event().wait()
        finally:
            self.ended.append(request.request_id)


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

    @async_test
    async def test_call_that_exceeds_the_budget_by_itself_is_not_run(self) -> None:
        # Guards against "may have run" for a call that never reached the gate.
        connection, gate = _RecordingConnection(), _BusyGate()
        budget = MemoryBudget(
            limit_bytes=100_000,
            clock=ManualClock(),
            policy=lambda holdings: [h for h in holdings if h.account is not other],
        )
        other = budget.open(lambda: None, held_bytes=95_000)
        server = CallServer(connection, gate, open_account=budget.open)
        server.handle(_message(frame_call_start(1, _REQUEST)))
        for _ in range(5):
            await asyncio.sleep(0)
        (failed,) = [m.callFailed for m in connection.sent]
        self.assertEqual(
            (Verdict.NOT_RUN, "gate_memory"), (Verdict(failed.verdict), failed.reason)
        )
        self.assertEqual((0, 0), (len(server._streams), len(server._tasks)))
        self.assertEqual((95_000, []), (budget.held_bytes, gate.ended))

    @async_test
    async def test_beginning_of_a_body_is_accounted_for_until_the_call_ends(
        self,
    ) -> None:
        # Guards against bodies that are held but not counted once more of them arrives.
        budget = MemoryBudget(limit_bytes=1 << 20, clock=ManualClock())
        server = CallServer(
            _RecordingConnection(), _BusyGate(), open_account=budget.open
        )
        request = _REQUEST._replace(body_length=-1, body=bytes(50_000), end=False)
        server.handle(_message(frame_call_start(1, request)))
        held_bytes = budget.held_bytes
        server.handle(_message(frame("callBody", callId=1, data=b"x", end=True)))
        self.assertGreater(budget.held_bytes, held_bytes)
        server.handle(_message(frame("callCancel", callId=1)))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(0, budget.held_bytes)

    @async_test
    async def test_calls_that_end_with_their_connection(self) -> None:
        # Guards against a slot that is held until the deadline for a lost body.
        gate = _BusyGate()
        server = CallServer(_RecordingConnection(), gate)
        once = _REQUEST._replace(idempotent=False)
        parts = once._replace(body_length=4, body=b"ab", end=False)
        requests = {
            "often": _REQUEST,
            "whole": once,
            "in parts": parts,
            "without its end": parts,
        }
        for call_id, (name, request) in enumerate(requests.items()):
            start = frame_call_start(call_id, request._replace(request_id=name))
            server.handle(_message(start))
        server.handle(_message(frame("callBody", callId=2, data=b"cd", end=True)))
        server.handle(_message(frame("callBody", callId=3, data=b"c", end=False)))
        await asyncio.sleep(0)
        server.close()
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(["often", "without its end"], gate.ended)
        for call_id in (1, 2):
            server.handle(_message(frame("callCancel", callId=call_id)))
        for _ in range(5):
            await asyncio.sleep(0)
