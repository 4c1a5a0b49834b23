"""Tests of calls to the gate of the same node."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.model import CallStream
from burdockdock.protocol import ReceiverGone
from burdockdock.protocol.calls import AnswerHead, CallRequest, GateResults
from burdockdock.protocol.flow import WINDOW_BYTES
from burdockdock.protocol.handshake import PeerIdentity
from burdockdock.proxy.local_link import LocalCall, LocalLink
from burdockdock.proxy.memory_budget import MemoryBudget
from burdockdock.proxy.remote_call import GateState
from tests.support import PATIENCE_S, async_test, eventually

_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 1000, True, "POST", "/", ())
_OWN = PeerIdentity("mesh", "n1", 1)
_CHUNK = bytes(WINDOW_BYTES // 2)


class _Gate:
    """Gate whose calls do what the test says.

    :param behave: what a call does.
    """

    load = 3
    answer_window_bytes = WINDOW_BYTES

    def __init__(self, behave: Callable[[CallStream], Awaitable[None]]) -> None:
        self._behave = behave
        self.withdrawn = asyncio.Event()

    def results(self, route: str) -> GateResults:
        """Return fixed statistics."""
        return GateResults(0.5, 0.25)

    async def run(self, request: CallRequest, stream: CallStream) -> None:
        """Run a call, and note if it is cancelled."""
        try:
            await self._behave(stream)
        except asyncio.CancelledError:
            self.withdrawn.set()
            raise


def _start(gate: _Gate) -> LocalCall:
    return LocalLink(gate, _OWN).start(_REQUEST)


async def _read_all(call: LocalCall) -> bytes | Failure:
    body = b""
    while isinstance(chunk := await call.read_body(), bytes):
        body += chunk
    return body if chunk is None else chunk


class LocalCallTest(testtools.TestCase):
    """Tests of one call at this node's own gate."""

    @async_test
    async def test_answer_arrives_whole_and_in_order(self) -> None:
        # Guards against losing the bytes that come with the head.
        async def behave(stream: CallStream) -> None:
            stream.send_head(AnswerHead(200, "OK", (), b"a"))
            await stream.send_body(b"b", end=False)
            await stream.send_body(b"c", end=True)

        call = _start(_Gate(behave))
        head = await call.head()
        self.assertEqual(200, head.status)
        self.assertEqual(b"abc", await _read_all(call))

    @async_test
    async def test_answer_without_a_body_ends_with_its_head(self) -> None:
        async def behave(stream: CallStream) -> None:
            stream.send_head(AnswerHead(204, "", (), end=True))

        call = _start(_Gate(behave))
        await call.head()
        self.assertEqual(b"", await _read_all(call))

    @async_test
    async def test_refusal_has_the_gates_load(self) -> None:
        # Guards against a balancer that never learns that its own gate is full.
        async def behave(stream: CallStream) -> None:
            stream.fail(Failure(Verdict.NOT_RUN, "queue_full"))

        call = _start(_Gate(behave))
        self.assertEqual(Failure(Verdict.NOT_RUN, "queue_full"), await call.head())
        expected = GateState(3, GateResults(0.5, 0.25), refused=True)
        self.assertEqual(expected, call.refusal)

    @async_test
    async def test_exception_of_the_gate_fails_the_call(self) -> None:
        # Guards against a caller that waits until its deadline.
        async def behave(stream: CallStream) -> None:
            raise RuntimeError("unexpected error in the gate")

        failure = await _start(_Gate(behave)).head()
        self.assertEqual("gate_fault", failure.reason)
        self.assertIs(Verdict.MAY_HAVE_RUN, failure.verdict)

    @async_test
    async def test_cancelled_call_is_withdrawn_from_the_gate(self) -> None:
        # Guards against a backend server that works on for a caller that left.
        async def behave(stream: CallStream) -> None:
            await asyncio.Event().wait()

        gate = _Gate(behave)
        call = _start(gate)
        await asyncio.sleep(0)
        call.cancel()
        await gate.withdrawn.wait()

    @async_test
    async def test_shed_call_has_the_gates_failure(self) -> None:
        # Guards against "may have run" for a call that only waited for a slot.
        async def wait_for_slot(stream: CallStream) -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                stream.fail(Failure(Verdict.NOT_RUN, "withdrawn"))
                raise

        async def run(stream: CallStream) -> None:
            await asyncio.Event().wait()

        expected = {
            wait_for_slot: Failure(Verdict.NOT_RUN, "withdrawn"),
            run: Failure(Verdict.MAY_HAVE_RUN, "gate_memory"),
        }
        for behave, failure in expected.items():
            budget = MemoryBudget(limit_bytes=1 << 20, clock=ManualClock())
            link = LocalLink(_Gate(behave), _OWN, open_account=budget.open)
            call = link.start(_REQUEST)
            await call.send_body(b"x", end=False)
            await asyncio.sleep(0)
            (account,) = budget._accounts
            account.shed()
            async with asyncio.timeout(PATIENCE_S):
                self.assertEqual(failure, await call.head())

    @async_test
    async def test_call_that_ended_is_not_withdrawn(self) -> None:
        # Guards against losing the record of a call that ended at the same moment.
        async def behave(stream: CallStream) -> None:
            stream.send_head(AnswerHead(200, "OK", (), b"a", True))
            await asyncio.sleep(0.01)

        gate = _Gate(behave)
        call = _start(gate)
        await call.head()
        call.cancel()
        await asyncio.sleep(0.02)
        self.assertFalse(gate.withdrawn.is_set())

    @async_test
    async def test_request_body_waits_for_the_gate_to_read_it(self) -> None:
        # Guards against holding a whole long body in memory.
        read = asyncio.Event()
        received: list[bytes] = []

        async def behave(stream: CallStream) -> None:
            await read.wait()
            end = False
            while not end:
                data, end = await stream.read_body()
                received.append(data)
            stream.send_head(AnswerHead(200, "OK", (), end=True))

        call = _start(_Gate(behave))
        await call.send_body(_CHUNK, end=False)
        await call.send_body(_CHUNK, end=False)
        third = asyncio.create_task(call.send_body(b"x", end=True))
        await asyncio.sleep(0.01)
        self.assertFalse(third.done())
        read.set()
        await third
        await call.head()
        self.assertEqual(_CHUNK + _CHUNK + b"x", b"".join(received))

    @async_test
    async def test_answer_waits_for_the_caller_to_read_it(self) -> None:
        # Guards against holding a whole long answer in memory.
        sent: list[int] = []

        async def behave(stream: CallStream) -> None:
            stream.send_head(AnswerHead(200, "OK", ()))
            for _ in range(4):
                await stream.send_body(_CHUNK, end=False)
                sent.append(len(_CHUNK))
            await stream.send_body(b"", end=True)

        call = _start(_Gate(behave))
        await call.head()
        await asyncio.sleep(0.01)
        self.assertEqual(2, len(sent))
        self.assertEqual(4 * len(_CHUNK), len(await _read_all(call)))

    @async_test
    async def test_gate_that_sends_to_a_caller_that_left_is_told(self) -> None:
        gone = asyncio.Event()

        async def behave(stream: CallStream) -> None:
            stream.send_head(AnswerHead(200, "OK", ()))
            try:
                while True:
                    await stream.send_body(_CHUNK, end=False)
            except (ReceiverGone, asyncio.CancelledError):
                gone.set()
                raise

        call = _start(_Gate(behave))
        await call.head()
        call.cancel()
        await eventually(gone.is_set)
