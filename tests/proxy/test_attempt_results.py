"""Tests of which results of attempts count against a backend server's health.

While a service is saturated, its gates refuse most calls. If that counted as a fault,
healthy backend servers would be ejected when they are needed most.
"""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.attempt_results import is_backend_fault
from tests.proxy.test_forwarder import FakeLink, ForwarderFixture
from tests.support import async_test

_LOAD_REFUSALS = (
    "queue_full",
    "tenant_queue_full",
    "queue_timeout",
    "too_late_to_wait",
    "too_little_time",
    "too_many_calls",
    "withdrawn",
    "zone_evacuated",
    "backend_cold",
)
_FAULTS = ("backend_connection_broken", "other_requests_answer", "peer_unreachable")


class _HealthRecorder(ForwarderFixture):
    """Records which attempts count as faults."""

    def __init__(self, links: dict[str, FakeLink]) -> None:
        super().__init__(links, ManualClock())
        self.faults: list[bool | None] = []

    def finished(self, node_id: str, *, failed: bool | None) -> None:
        """Record the end of an attempt."""
        self.faults.append(failed)


class AttemptResultsTest(testtools.TestCase):
    """Tests of refusals, faults and answers."""

    def test_refusals_for_load_are_no_faults(self) -> None:
        for reason in _LOAD_REFUSALS:
            failure = Failure(Verdict.NOT_RUN, reason)
            self.assertFalse(is_backend_fault(failure), reason)

    def test_faults(self) -> None:
        for reason in _FAULTS:
            failure = Failure(Verdict.MAY_HAVE_RUN, reason)
            self.assertTrue(is_backend_fault(failure), reason)

    def test_answers(self) -> None:
        for status, is_fault in ((200, False), (500, True), (503, False), (429, False)):
            self.assertEqual(is_fault, is_backend_fault(AnswerHead(status, "", ())))

    @async_test
    async def test_cold_backend_servers_are_not_ejected(self) -> None:
        # Guards against an ejection of servers that are slow only while they warm up.
        broken = Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken")
        for cold, expected in ((False, True), (True, None)):
            fixture = _HealthRecorder({name: FakeLink(name, broken) for name in "ab"})
            fixture.members = [m._replace(cold=cold) for m in fixture.members]
            await fixture.call(idempotent=True)
            self.assertEqual({expected}, set(fixture.faults))

    @async_test
    async def test_saturated_gates_are_not_ejected(self) -> None:
        refusal = Failure(Verdict.NOT_RUN, "too_late_to_wait")
        links = {name: FakeLink(name, refusal) for name in "abc"}
        fixture = _HealthRecorder(links)
        for _ in range(10):
            await fixture.call()
        self.assertFalse(any(fixture.faults), fixture.faults)
