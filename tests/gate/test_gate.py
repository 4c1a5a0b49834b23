"""Tests of the calls that a gate refuses."""

import asyncio

import testtools

from burdockdock.clock import ManualClock, SystemClock
from burdockdock.coordination.shutdown import ShutdownLimit
from burdockdock.coordination.verdict import KEY_REVOKED, Failure, Verdict
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest
from tests.support import async_test, eventually

_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 1000, True, "GET", "/", ())

_LONG = _REQUEST._replace(method="PUT")
_REVOKED = Failure(Verdict.NOT_RUN, KEY_REVOKED)


class _RecordingStream:
    """Records how a call failed."""

    def __init__(self) -> None:
        self.failure = None

    def fail(self, failure: object) -> None:
        """Record the failure."""
        self.failure = failure


class GateRefusalTest(testtools.TestCase):
    """Tests of refusals: leaving servers, stopped versions and lack of time."""

    async def _refusal(self, gate: Gate) -> str:
        stream = _RecordingStream()
        await gate.run(_REQUEST, stream)
        self.assertIs(Verdict.NOT_RUN, stream.failure.verdict)
        return stream.failure.reason

    @async_test
    async def test_leaving_backend_gets_no_calls_after_the_propagation_time(
        self,
    ) -> None:
        clock = ManualClock()
        gate = Gate(clock=clock, metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        gate.set_leaving(True)
        clock.advance(1.0)
        self.assertEqual("backend_leaving", await self._refusal(gate))
        gate.set_leaving(True)
        self.assertEqual("backend_leaving", await self._refusal(gate))

    @async_test
    async def test_stopped_version_gets_no_calls(self) -> None:
        gate = Gate(
            clock=ManualClock(),
            metrics=Metrics(),
            is_stopped=lambda b: b.version == "2",
        )
        gate.announce(BackendServer("work", "2", "127.0.0.1", 1, 1))
        self.assertEqual("version_stopped", await self._refusal(gate))

    @async_test
    async def test_call_that_the_shutdown_would_cut_is_refused(self) -> None:
        # Guards against calls of other nodes that the end of a stop cuts at work.
        clock = ManualClock()
        gate = Gate(clock=clock, metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        stopped_at_s = clock.monotonic()
        gate.limit_to_shutdown(ShutdownLimit(stopped_at_s + 1, stopped_at_s + 3))
        self.assertFalse(gate._shutdown_would_cut(_REQUEST._replace(time_left_ms=9000)))
        clock.advance(1.5)
        self.assertFalse(gate._shutdown_would_cut(_REQUEST))
        clock.advance(1.0)
        self.assertEqual("draining", await self._refusal(gate))

    @async_test
    async def test_call_that_cannot_start_in_time_is_refused_at_once(self) -> None:
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        gate._durations.record("r", 0.6)
        await gate._limiter.acquire(workspace="t", deadline_s=99.0)
        async with asyncio.timeout(5):
            self.assertEqual("too_little_time", await self._refusal(gate))

    @async_test
    async def test_call_that_cannot_finish_in_time_gets_no_free_slot(self) -> None:
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        gate._durations.record("r", 2.0)
        stream = _RecordingStream()
        await gate.run(_REQUEST._replace(queue_length=0), stream)
        self.assertEqual((Verdict.NOT_RUN, "too_little_time"), stream.failure[:2])

    @async_test
    async def test_queue_timeout_leaves_time_for_the_refusal_to_arrive(self) -> None:
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
    async def test_call_cancelled_while_queued_is_reported_as_not_run(self) -> None:
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        await gate._limiter.acquire(workspace="t", deadline_s=99.0)
        for request in (_REQUEST, _REQUEST._replace(idempotent=False)):
            stream = _RecordingStream()
            task = asyncio.create_task(gate.run(request, stream))
            await eventually(lambda: gate._limiter.queued == 1)
            task.cancel()
            await asyncio.wait([task])
            self.assertTrue(task.cancelled())
            self.assertEqual((Verdict.NOT_RUN, "withdrawn"), stream.failure[:2])
        reason = await self._refusal_of_late_duplicate(gate)
        self.assertEqual("barred", reason)

    async def _refusal_of_late_duplicate(self, gate: Gate) -> str:
        """Send the cancelled request again, like a duplicate that arrives late."""
        gate._limiter.release("t")
        stream = _RecordingStream()
        await gate.run(_REQUEST._replace(idempotent=False), stream)
        return stream.failure.reason

    async def _refusal_of_queued_call(self, gate: Gate, change: object) -> str:
        """Return why a call is refused that is queued while the state changes.

        :param change: called while the call waits for a slot.
        """
        await gate._limiter.acquire(workspace="t", deadline_s=99.0)
        stream = _RecordingStream()
        run = asyncio.create_task(gate.run(_REQUEST, stream))
        await eventually(lambda: gate._limiter.queued)
        change()
        gate._limiter.release("t")
        async with asyncio.timeout(5):
            await run
        return stream.failure.reason

    @async_test
    async def test_queued_call_is_refused_if_the_backend_leaves(self) -> None:
        clock = ManualClock()
        gate = Gate(clock=clock, metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))

        def change() -> None:
            gate.set_leaving(True)
            clock.advance(1.0)

        reason = await self._refusal_of_queued_call(gate, change)
        self.assertEqual("backend_leaving", reason)
        self.assertEqual(0, gate._limiter.in_use)

    @async_test
    async def test_evacuated_zone_gets_no_new_and_no_queued_calls(self) -> None:
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        await gate._limiter.acquire(workspace="t", deadline_s=99.0)
        stream = _RecordingStream()
        run = asyncio.create_task(gate.run(_REQUEST, stream))
        await eventually(lambda: gate._limiter.queued)
        # No slot is released: a queued call must not be held until its deadline.
        gate.set_evacuated(True)
        async with asyncio.timeout(5):
            await run
        self.assertEqual((Verdict.NOT_RUN, "zone_evacuated"), stream.failure[:2])
        self.assertEqual("zone_evacuated", await self._refusal(gate))
        self.assertEqual(1, gate._limiter.in_use)
        gate.set_evacuated(False)
        self.assertIsNone(gate._backend_refusal(_REQUEST))

    @async_test
    async def test_call_that_got_a_slot_just_before_the_evacuation(self) -> None:
        # Guards against a call that a slot was granted to and that hasn't resumed yet.
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        reason = await self._refusal_of_queued_call(
            gate, lambda: setattr(gate, "_evacuated", True)
        )
        self.assertEqual("zone_evacuated", reason)
        self.assertEqual(0, gate._limiter.in_use)

    @async_test
    async def test_queued_call_is_refused_if_the_version_is_stopped(self) -> None:
        stopped = set()
        gate = Gate(
            clock=ManualClock(),
            metrics=Metrics(),
            is_stopped=lambda b: b.version in stopped,
        )
        gate.announce(BackendServer("work", "2", "127.0.0.1", 1, 1))
        reason = await self._refusal_of_queued_call(gate, lambda: stopped.add("2"))
        self.assertEqual("version_stopped", reason)

    @async_test
    async def test_queued_call_is_refused_on_release_without_its_key(self) -> None:
        revoked = set()
        gate = Gate(
            clock=ManualClock(),
            metrics=Metrics(),
            key_refusal=lambda r: _REVOKED if r.workspace in revoked else None,
        )
        gate.announce(BackendServer("work", "2", "127.0.0.1", 1, 1))
        reason = await self._refusal_of_queued_call(gate, lambda: revoked.add("t"))
        self.assertEqual("key_revoked", reason)
        self.assertEqual(0, gate._limiter.in_use)
        self.assertEqual("key_revoked", await self._refusal(gate))

    @async_test
    async def test_queued_call_without_its_key_does_not_wait_for_a_slot(self) -> None:
        # Guards against callers that wait until their deadline for a 401.
        revoked = set()
        gate = Gate(
            clock=ManualClock(),
            metrics=Metrics(),
            key_refusal=lambda r: _REVOKED if r.workspace in revoked else None,
        )
        gate.announce(BackendServer("work", "2", "127.0.0.1", 1, 1))
        await gate._limiter.acquire(workspace="t", deadline_s=99.0)
        streams = [_RecordingStream(), _RecordingStream()]
        requests = (_REQUEST, _REQUEST._replace(workspace="kept", idempotent=False))
        runs = [
            asyncio.create_task(gate.run(request, stream))
            for request, stream in zip(requests, streams, strict=True)
        ]
        await eventually(lambda: gate._limiter.queued == 2)
        revoked.add("t")
        gate.recheck_keys()
        async with asyncio.timeout(5):
            await runs[0]
        self.assertEqual((Verdict.NOT_RUN, "key_revoked"), streams[0].failure[:2])
        self.assertEqual((1, None), (gate._limiter.queued, streams[1].failure))
        runs[1].cancel()
        await asyncio.wait([runs[1]])


class RemainingWorkTest(testtools.TestCase):
    """Tests of the remaining work that a gate reports."""

    @async_test
    async def test_refused_calls_leave_no_work(self) -> None:
        # Guards against a gate that looks busy for good after refusals.
        gate = Gate(clock=SystemClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        gate._work.record(_REQUEST, 0.01)
        gate._limiter._occupy_slot("t")
        stream = _RecordingStream()
        await gate.run(_REQUEST._replace(queue_length=0), stream)
        self.assertEqual("queue_full", stream.failure.reason)
        self.assertEqual(0.0, gate.results("r").remaining_s)

    @async_test
    async def test_queued_call_counts_until_it_is_withdrawn(self) -> None:
        gate = Gate(clock=SystemClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))
        gate._work.record(_REQUEST, 0.01)
        gate._limiter._occupy_slot("t")
        run = asyncio.create_task(gate.run(_REQUEST, _RecordingStream()))
        await eventually(lambda: gate.load == 2)
        self.assertAlmostEqual(0.01, gate.results("r").remaining_s)
        run.cancel()
        await asyncio.wait([run])
        self.assertEqual(0.0, gate.results("r").remaining_s)


class LongRequestsTest(testtools.TestCase):
    """Tests of requests that cost several times as much as the mean."""

    def _gate(self, *, slots: int) -> Gate:
        gate = Gate(clock=SystemClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", 1, slots))
        for _ in range(30):
            gate._work.record(_REQUEST, 0.001)
        for _ in range(30):
            gate._work.record(_LONG, 0.02)
            for _ in range(20):
                gate._work.record(_REQUEST, 0.001)
        return gate

    async def _reason(self, gate: Gate, request: CallRequest) -> str:
        stream = _RecordingStream()
        await gate.run(request, stream)
        return stream.failure.reason

    @async_test
    async def test_long_request_gets_the_last_free_slot(self) -> None:
        # Guards against a long request that no gate runs though its slot is free.
        for slots in (1, 2, 3, 4):
            gate = self._gate(slots=slots)
            for _ in range(slots - 1):
                gate._limiter._occupy_slot("t")
            gate._backend_calls.run = _fail_without_connection
            asks = _LONG._replace(queue_length=0)
            self.assertEqual("no_connection", await self._reason(gate, asks))


async def _fail_without_connection(
    request: CallRequest, backend: object, stream: _RecordingStream, **_: object
) -> None:
    stream.fail(Failure(Verdict.NOT_RUN, "no_connection"))
