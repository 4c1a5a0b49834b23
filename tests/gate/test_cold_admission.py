"""Tests of a gate whose backend server is cold, or may be."""

import asyncio

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.verdict import Verdict
from burdockdock.gate import cold_admission
from burdockdock.gate.cold_admission import ColdAdmission, ColdLimits
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest
from tests.gate.recording_stream import RecordingStream
from tests.support import async_test, eventually

_LIMITS = ColdLimits(8.0, 5.0, 20.0)
_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 1000, True, "GET", "/", ())


class ColdAdmissionTest(testtools.TestCase):
    """Tests of announcements, and of what is reported."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.limits = _LIMITS
        self.admission = ColdAdmission(
            clock=self.clock, metrics=self.metrics, limits_of=lambda _: self.limits
        )

    def _sent(self, count: int) -> int:
        return sum(self.admission.take("work") is None for _ in range(count))

    def test_service_without_a_limit(self) -> None:
        self.limits = ColdLimits()
        self.admission.record_announcement("work", 5.0, new_start=True)
        self.assertEqual(50, self._sent(50))
        self.assertFalse(self.admission.is_cold("work"))
        self.assertTrue(self.admission.is_warming_up)

    def test_start_that_does_not_say_how_cold_it_is(self) -> None:
        self.admission.record_announcement("work", None, new_start=True)
        self.assertTrue(self.admission.is_cold("work"))
        self.admission.record_announcement("work", None, new_start=False)
        self.assertTrue(self.admission.is_cold("work"))
        self.clock.advance(5.1)
        self.assertFalse(self.admission.is_cold("work"))

    def test_refusal_says_the_rate(self) -> None:
        self.admission.record_announcement("work", 5.0, new_start=True)
        self._sent(10)
        refusal = self.admission.refusal("work")
        self.assertEqual((Verdict.NOT_RUN, "backend_cold"), refusal[:2])
        detail = "the backend server of work takes 8 requests per second while cold"
        self.assertEqual(detail, refusal.detail)

    def test_late_notice_is_reported_if_the_server_got_too_much(self) -> None:
        events = []
        self.patch(
            cold_admission, "log_event", lambda *_, **fields: events.append(fields)
        )
        for count, reported in ((20, 0), (21, 1)):
            self.clock.advance(10.0)
            self.admission.record_announcement("work", 0.0, new_start=False)
            self.assertEqual(count, self._sent(count))
            self.admission.record_announcement("work", 5.0, new_start=False)
            self.assertEqual(reported, self.metrics.counter("cold_noticed_late"))
        self.assertEqual([{"service": "work", "sent": 21, "bound": 20.0}], events)


class ColdGateTest(testtools.TestCase):
    """Tests of calls that a gate refuses since its backend server is cold."""

    def _make_gate(self) -> None:
        self.clock = ManualClock()
        self.gate = Gate(
            clock=self.clock, metrics=Metrics(), cold_limits=lambda _: _LIMITS
        )
        self.gate.announce(BackendServer("work", "1", "127.0.0.1", 1, 1))

    async def _refusal(self) -> tuple:
        stream = RecordingStream()
        async with asyncio.timeout(5):
            await self.gate.run(_REQUEST, stream)
        return tuple(stream.failure[:2])

    def _use_up(self) -> None:
        while self.gate.cold.take("work") is None:
            pass

    @async_test
    async def test_call_beyond_the_rate_is_refused_at_once(self) -> None:
        self._make_gate()
        self.gate.announce_cold(5.0, new_start=True)
        self._use_up()
        self.assertEqual((Verdict.NOT_RUN, "backend_cold"), await self._refusal())
        self.assertEqual(0, self.gate.load)

    @async_test
    async def test_call_does_not_wait_for_a_slot_of_a_cold_server(self) -> None:
        # Guards against calls that are held and refused once they get a slot.
        self._make_gate()
        self.gate.announce_cold(5.0, new_start=True)
        await self.gate._limiter.acquire(workspace="t", deadline_s=99.0)
        self.assertEqual((Verdict.NOT_RUN, "backend_cold"), await self._refusal())

    @async_test
    async def test_queued_calls_are_refused_once_the_server_is_cold(self) -> None:
        self._make_gate()
        await self.gate._limiter.acquire(workspace="t", deadline_s=99.0)
        waiting = asyncio.create_task(self._refusal())
        await eventually(lambda: self.gate._limiter.queued)
        self.gate.announce_cold(5.0, new_start=False)
        self.assertEqual((Verdict.NOT_RUN, "backend_cold"), await waiting)

    @async_test
    async def test_server_is_cold_after_the_evacuation_of_its_zone(self) -> None:
        # Guards against a full load on servers that turned cold while nobody called.
        self._make_gate()
        self.gate.announce_cold(0.0, new_start=True)
        self.assertFalse(self.gate.is_cold)
        self.gate.set_evacuated(True)
        self.assertTrue(self.gate.is_cold)
        self.gate.announce_cold(0.0, new_start=False)
        self.gate.set_evacuated(False)
        self.assertTrue(self.gate.is_cold)
        self._use_up()
        self.assertLessEqual(self.gate.cold._limiter.sent_in_window(), 8)
        self.gate.announce_cold(0.0, new_start=False)
        self.assertFalse(self.gate.is_cold)
        self.assertIsNone(self.gate.cold.refusal("work"))
