"""Tests of what a forwarder says of calls that reached no backend server."""

import asyncio
from collections.abc import Callable

import testtools

from burdockdock.clock import ManualClock, SystemClock
from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest, GateResults
from burdockdock.protocol.codec import frame
from burdockdock.protocol.handshake import PeerIdentity
from burdockdock.proxy import usable_link
from burdockdock.proxy.call import Call
from burdockdock.proxy.forwarder import Forwarder
from burdockdock.proxy.peer_link import PeerLink
from burdockdock.proxy.remote_call import GateState
from tests.proxy.fake_connection import FakeConnection
from tests.support import PATIENCE_S, async_test, eventually

_ALLOWED_MS = 200


class _Remote:
    """One attempt, of which the test says what becomes of it."""

    def __init__(self, ending: Failure | None, refusal: GateState | None) -> None:
        self.refusal = refusal
        self.on_late_refusal: Callable[[Failure], None] | None = None
        self._ending = ending

    async def head(self) -> Failure:
        """Return the ending, or wait for ever without one."""
        if self._ending is None:
            await asyncio.Event().wait()
        return self._ending

    def cancel(self) -> None:
        """Do nothing."""


class _Link:
    """An open link to one node."""

    def __init__(self, node_id: str, ending: Failure | None) -> None:
        self.peer = PeerIdentity("mesh", node_id, 1)
        self.waiting_since_s = None
        self.sent: list[CallRequest] = []
        self.remotes: list[_Remote] = []
        self.before_ending: Callable[[], None] = lambda: None
        self.ending = ending
        self.refusal: GateState | None = None

    def start(self, request: CallRequest) -> _Remote:
        """Keep what was sent."""
        self.sent.append(request)
        self.before_ending()
        self.remotes.append(_Remote(self.ending, self.refusal))
        return self.remotes[-1]

    def note_call_sent(self, now_s: float) -> None:
        """Do nothing; this other node is never silent."""


class _Stage:
    """A forwarder with members whose links are the test's own.

    :param links: by node id; None for one that never opens.
    """

    def __init__(
        self,
        links: dict[str, _Link | PeerLink | None],
        clock: ManualClock | SystemClock | None = None,
    ) -> None:
        self.clock = clock or SystemClock()
        self._links = links
        self._members = [
            Member(name, name, 1, "r", "z", 1, ready=True, service="work", slots=1)
            for name in links
        ]
        self.forwarder = Forwarder(
            links=self,
            endpoints=self,
            balancer=self,
            clock=self.clock,
            metrics=Metrics(),
            retry_budget=FleetRetryBudget(share=0.0, reserve=9.0, nodes=lambda: 1),
        )

    async def call(self, *, idempotent: bool = False, retries: int = 1) -> Failure:
        """Forward one call to its failure."""
        request = CallRequest(
            "id", "t", "c", "r", "work", _ALLOWED_MS, idempotent, "GET", "/", ()
        )
        deadline_s = self.clock.monotonic() + _ALLOWED_MS / 1000
        call = Call(request, deadline_s, retries)
        async with asyncio.timeout(PATIENCE_S):
            return await self.forwarder.forward(call, None)

    def get_if_open(self, host: str, port: int) -> _Link | PeerLink | None:
        """Return a link that is open."""
        return self._links[host]

    async def get(self, host: str, port: int) -> _Link:
        """Wait for ever for a link that never opens."""
        await asyncio.Event().wait()

    def for_call(self, service: str, *, full: frozenset[str]) -> list[Member]:
        """Return all members."""
        return self._members

    def pick(self, members: list[Member], *, excluded: frozenset[str]) -> Member | None:
        """Return the first that was not tried, or else the first."""
        return next((m for m in members if m.node_id not in excluded), members[0])

    def started(self, node_id: str) -> None:
        """Do nothing."""

    def finished(self, node_id: str, *, failed: bool) -> None:
        """Do nothing."""

    def record_load(self, node_id: str, *told: object) -> None:
        """Do nothing."""


_FULL = Failure(Verdict.NOT_RUN, "queue_full")


class OpeningTest(testtools.TestCase):
    """Tests of links that don't open."""

    @async_test
    async def test_a_link_that_never_opens_ends_no_later_than_the_call(self) -> None:
        failure = await _Stage({"a": None, "b": None}).call()
        self.assertIs(Verdict.NOT_RUN, failure.verdict)

    @async_test
    async def test_another_node_is_asked_while_there_is_time(self) -> None:
        link = _Link("b", _FULL)
        await _Stage({"a": None, "b": link}).call()
        self.assertTrue(link.sent)


class SlowWayTest(testtools.TestCase):
    """Tests of nodes whose immediate refusals take long to come back."""

    async def _tell_slow(self, stage: _Stage, link: _Link, seconds_s: float) -> None:
        """Let one call learn how long a refusal takes."""
        link.before_ending = lambda: stage.clock.advance(seconds_s)
        await stage.call()
        link.before_ending = lambda: None
        link.sent.clear()

    @async_test
    async def test_a_node_that_would_refuse_too_late_is_not_sent_the_call(self) -> None:
        link = _Link("a", _FULL)
        stage = _Stage({"a": link}, ManualClock())
        await self._tell_slow(stage, link, 0.3)
        failure = await stage.call()
        self.assertEqual([], link.sent)
        self.assertEqual((Verdict.NOT_RUN, "peer_too_slow"), failure[:2])

    @async_test
    async def test_another_node_gets_it_instead(self) -> None:
        slow, near = _Link("a", _FULL), _Link("b", _FULL)
        stage = _Stage({"a": slow, "b": near}, ManualClock())
        await self._tell_slow(stage, slow, 0.3)
        near.sent.clear()
        await stage.call()
        self.assertEqual([], slow.sent)
        self.assertTrue(near.sent)

    @async_test
    async def test_the_gate_is_told_the_time_without_the_way_back(self) -> None:
        link = _Link("a", _FULL)
        stage = _Stage({"a": link}, ManualClock())
        await self._tell_slow(stage, link, 0.08)
        await stage.call()
        # Whole ms are told, rounded down.
        expected_ms = (_ALLOWED_MS - 81, _ALLOWED_MS - 80)
        self.assertIn(link.sent[0].time_left_ms, expected_ms)

    @async_test
    async def test_a_refusal_after_the_deadline_is_learned_from(self) -> None:
        link = _Link("a", None)
        stage = _Stage({"a": link}, ManualClock())
        failure = await stage.call()
        self.assertEqual((Verdict.MAY_HAVE_RUN, "deadline_passed"), failure[:2])
        stage.clock.advance(0.4)
        link.remotes[0].on_late_refusal(_FULL)
        failure = await stage.call()
        self.assertEqual((Verdict.NOT_RUN, "peer_too_slow"), failure[:2])


class TooLittleTimeTest(testtools.TestCase):
    """Tests of calls that can't end in time any more."""

    @async_test
    async def test_one_with_less_time_than_its_route_takes_is_not_sent(self) -> None:
        link = _Link("a", _FULL)
        link.refusal = GateState(1, GateResults(service_s=0.5))
        stage = _Stage({"a": link}, ManualClock())
        await stage.call()
        link.sent.clear()
        failure = await stage.call()
        self.assertEqual([], link.sent)
        self.assertEqual((Verdict.NOT_RUN, "too_little_time"), failure[:2])

    @async_test
    async def test_what_was_believed_of_a_route_is_forgotten(self) -> None:
        link = _Link("a", _FULL)
        link.refusal = GateState(1, GateResults(service_s=0.3))
        stage = _Stage({"a": link}, ManualClock())
        await stage.call()
        link.sent.clear()
        for _ in range(40):
            await stage.call()
        self.assertTrue(link.sent)


class SilenceTest(testtools.TestCase):
    """Tests of a link on which nothing arrives."""

    async def _after_silence(self) -> tuple[_Stage, FakeConnection]:
        """Return a stage of which one call was sent in vain."""
        connection = FakeConnection()
        link = PeerLink(
            connection, PeerIdentity("mesh", "a", 1), count_late=lambda: None
        )
        stage = _Stage({"a": link}, ManualClock())
        await stage.call()
        stage.clock.advance(1.0)
        return stage, connection

    @async_test
    async def test_a_link_that_stays_silent_is_sent_no_further_calls(self) -> None:
        stage, connection = await self._after_silence()
        for _ in range(2):
            failure = await stage.call()
            self.assertEqual((Verdict.NOT_RUN, "peer_silent"), failure[:2])
        kinds = [message.which() for message in connection.sent]
        self.assertEqual(["callStart", "callCancel", "outcomeQuery"], kinds)

    @async_test
    async def test_a_sign_of_life_lets_calls_through_again(self) -> None:
        self.patch(usable_link, "_PROBE_TIMEOUT_S", PATIENCE_S)
        stage, connection = await self._after_silence()
        call = asyncio.create_task(stage.call())
        await eventually(lambda: connection.sent[-1].which() == "outcomeQuery")
        connection.deliver(frame("outcome", queryId=0, verdict=0, reason="barred"))
        await call
        kinds = [message.which() for message in connection.sent]
        self.assertEqual(["callStart", "callCancel"], kinds[-2:])
        self.assertEqual(2, kinds.count("callStart"))


class DoubtTest(testtools.TestCase):
    """Tests of the reason told with a verdict."""

    @async_test
    async def test_the_reason_is_that_of_the_attempt_in_doubt(self) -> None:
        lost = Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken", "reset")
        refusal = Failure(Verdict.NOT_RUN, "draining")
        links = {name: _Link(name, refusal) for name in "bcdef"}
        failure = await _Stage({"a": _Link("a", lost), **links}).call(idempotent=True)
        self.assertTrue(all(link.sent for link in links.values()))
        self.assertEqual(lost, failure)
