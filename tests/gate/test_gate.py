"""Tests of what a gate refuses, and of which answers it believes."""

import asyncio

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead
from burdockdock.gate.exchange import check_answer
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from burdockdock.platform.headers import HEADERS
from burdockdock.protocol.calls import CallRequest
from tests.support import async_test, eventually

_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 1000, True, "GET", "/", ())


class _Stream:
    """Keeps how a call ended."""

    def __init__(self) -> None:
        self.failure = None

    def fail(self, failure: object) -> None:
        """Keep the failure."""
        self.failure = failure


class GateRefusalTest(testtools.TestCase):
    """Tests of a backend server that leaves or whose version was stopped."""

    async def _refusal(self, gate: Gate) -> str:
        stream = _Stream()
        await gate.run(_REQUEST, stream)
        self.assertIs(Verdict.NOT_RUN, stream.failure.verdict)
        return stream.failure.reason

    @async_test
    async def test_one_that_leaves_gets_nothing_once_others_heard_of_it(self) -> None:
        clock = ManualClock()
        gate = Gate(clock=clock, metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        gate.set_leaving(True)
        clock.advance(1.0)
        self.assertEqual("backend_leaving", await self._refusal(gate))
        gate.set_leaving(True)
        self.assertEqual("backend_leaving", await self._refusal(gate))

    @async_test
    async def test_a_stopped_version_gets_nothing(self) -> None:
        gate = Gate(
            clock=ManualClock(),
            metrics=Metrics(),
            is_stopped=lambda b: b.version == "2",
        )
        gate.announce(BackendServer("work", "2", "127.0.0.1", 1, 1))
        self.assertEqual("version_stopped", await self._refusal(gate))

    @async_test
    async def test_what_cannot_start_in_time_is_refused_at_once(self) -> None:
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        gate._durations.record("r", 0.6)
        await gate._limiter.acquire(workspace="t", deadline_s=99.0)
        async with asyncio.timeout(5):
            self.assertEqual("too_little_time", await self._refusal(gate))

    @async_test
    async def test_a_free_slot_is_not_given_to_what_cannot_end_in_time(self) -> None:
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        gate._durations.record("r", 2.0)
        stream = _Stream()
        await gate.run(_REQUEST._replace(queue_length=0), stream)
        self.assertEqual((Verdict.NOT_RUN, "too_little_time"), stream.failure[:2])

    @async_test
    async def test_a_wait_ends_while_its_refusal_can_still_arrive(self) -> None:
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        deadlines_s = []

        async def acquire(*, deadline_s: float, **_: object) -> Failure:
            deadlines_s.append(deadline_s)
            return Failure(Verdict.NOT_RUN, "queue_timeout")

        gate._limiter.acquire = acquire
        self.assertEqual("queue_timeout", await self._refusal(gate))
        self.assertLess(deadlines_s[0], _REQUEST.time_left_ms / 1000)

    @async_test
    async def test_a_call_given_up_while_it_waits_is_told_as_not_run(self) -> None:
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        await gate._limiter.acquire(workspace="t", deadline_s=99.0)
        for request in (_REQUEST, _REQUEST._replace(idempotent=False)):
            stream = _Stream()
            task = asyncio.create_task(gate.run(request, stream))
            await eventually(lambda: gate._limiter.queued == 1)
            task.cancel()
            await asyncio.wait([task])
            self.assertTrue(task.cancelled())
            self.assertEqual((Verdict.NOT_RUN, "withdrawn"), stream.failure[:2])
        late = await self._late_refusal(gate)
        self.assertEqual("barred", late)

    async def _late_refusal(self, gate: Gate) -> str:
        """Send the given-up request once more, as if it had been on its way."""
        gate._limiter.release("t")
        stream = _Stream()
        await gate.run(_REQUEST._replace(idempotent=False), stream)
        return stream.failure.reason

    async def _refusal_of_one_that_waited(self, gate: Gate, change: object) -> str:
        """Let a call wait for a slot, change something, then give it the slot."""
        await gate._limiter.acquire(workspace="t", deadline_s=99.0)
        stream = _Stream()
        run = asyncio.create_task(gate.run(_REQUEST, stream))
        await eventually(lambda: gate._limiter.queued)
        change()
        gate._limiter.release("t")
        async with asyncio.timeout(5):
            await run
        return stream.failure.reason

    @async_test
    async def test_one_that_waited_does_not_go_to_one_that_leaves(self) -> None:
        clock = ManualClock()
        gate = Gate(clock=clock, metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))

        def change() -> None:
            gate.set_leaving(True)
            clock.advance(1.0)

        reason = await self._refusal_of_one_that_waited(gate, change)
        self.assertEqual("backend_leaving", reason)
        self.assertEqual(0, gate._limiter.in_use)

    @async_test
    async def test_one_that_waited_does_not_go_to_a_stopped_version(self) -> None:
        stopped = set()
        gate = Gate(
            clock=ManualClock(),
            metrics=Metrics(),
            is_stopped=lambda b: b.version in stopped,
        )
        gate.announce(BackendServer("work", "2", "127.0.0.1", 1, 1))
        reason = await self._refusal_of_one_that_waited(gate, lambda: stopped.add("2"))
        self.assertEqual("version_stopped", reason)


class CheckAnswerTest(testtools.TestCase):
    """Tests of answers that are not the backend server's to this request."""

    def _verdict(self, status: int, **headers: str) -> Verdict | None:
        pairs = {"Request-Id": "id-1", "Response-Signature": "s"}
        pairs.update({k.replace("_", "-"): v for k, v in headers.items()})
        head = BackendHead(status, "", tuple((k, v) for k, v in pairs.items() if v))
        found = check_answer(HEADERS, _REQUEST, head)
        return None if found is None else found.verdict

    def test_its_own_answers_are_believed(self) -> None:
        for status in (200, 204, 404, 500, 503, 504):
            self.assertIsNone(self._verdict(status))
        self.assertIsNone(self._verdict(500, Response_Signature=""))

    def test_only_a_stated_refusal_means_that_it_has_not_run(self) -> None:
        self.assertIs(Verdict.NOT_RUN, self._verdict(503, Not_Executed="1"))
        self.assertIs(Verdict.NOT_RUN, self._verdict(421, Instance_Id="i-2"))
        self.assertIs(Verdict.NOT_RUN, self._verdict(400, Not_Executed="1"))

    def test_a_success_must_be_signed_whole_and_for_this_request(self) -> None:
        doubtful = Verdict.MAY_HAVE_RUN
        self.assertIs(doubtful, self._verdict(200, Response_Signature=""))
        self.assertIs(doubtful, self._verdict(200, Content_Encoding="gzip"))
        self.assertIs(doubtful, self._verdict(200, Request_Id="id-0"))
        self.assertIs(doubtful, self._verdict(500, Request_Id="id-0"))
