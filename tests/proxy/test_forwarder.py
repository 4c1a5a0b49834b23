"""Tests of failures that the forwarder returns for calls without an answer."""

import asyncio
import random
from collections.abc import Callable

import testtools

from burdockdock.clock import ManualClock, SystemClock
from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import KEY_REVOKED, Failure, Verdict
from burdockdock.gate.model import KEPT_CONNECTION_ENDED
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest, GateResults
from burdockdock.protocol.codec import frame
from burdockdock.protocol.handshake import PeerIdentity
from burdockdock.proxy import usable_link
from burdockdock.proxy.authentication import Identity
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.call import Call
from burdockdock.proxy.cold_share import ColdShares
from burdockdock.proxy.forwarder import Forwarder
from burdockdock.proxy.peer_link import PeerLink
from burdockdock.proxy.remote_call import GateState
from tests.proxy.fake_connection import FakeConnection
from tests.support import PATIENCE_S, async_test, eventually

_TIMEOUT_MS = 200


class _FakeRemoteCall:
    """An attempt whose result is given by the test."""

    def __init__(self, result: Failure | None, refusal: GateState | None) -> None:
        self.refusal = refusal
        self.on_late_refusal: Callable[[Failure], None] | None = None
        self._result = result

    async def head(self) -> Failure:
        """Return the result, or wait forever if there is none."""
        if self._result is None:
            await asyncio.Event().wait()
        return self._result

    def cancel(self) -> None:
        """Do nothing."""


class FakeLink:
    """An open link to one node."""

    def __init__(self, node_id: str, result: Failure | None) -> None:
        self.peer = PeerIdentity("mesh", node_id, 1)
        self.waiting_since_s = None
        self.sent: list[CallRequest] = []
        self.remotes: list[_FakeRemoteCall] = []
        self.before_result: Callable[[], None] = lambda: None
        self.result = result
        self.refusal: GateState | None = None

    def start(self, request: CallRequest) -> _FakeRemoteCall:
        """Record the request."""
        self.sent.append(request)
        self.before_result()
        self.remotes.append(_FakeRemoteCall(self.result, self.refusal))
        return self.remotes[-1]

    def note_call_sent(self, now_s: float) -> None:
        """Do nothing, so that this link never counts as silent."""


class ForwarderFixture:
    """A forwarder whose members have fake links.

    :param links: by node id; None for a link that never opens.
    :param balancer: chooses among the members; by default the first untried one is
        chosen.
    """

    def __init__(
        self,
        links: dict[str, FakeLink | PeerLink | None],
        clock: ManualClock | SystemClock | None = None,
        *,
        reserve: float = 9.0,
        identity_refusal: Callable[[Identity], Failure | None] = lambda _: None,
        balancer: Balancer | None = None,
    ) -> None:
        self.clock = clock or SystemClock()
        self._links = links
        self.members = [
            Member(name, name, 1, "r", "z", 1, ready=True, service="work", slots=1)
            for name in links
        ]
        self.budget = FleetRetryBudget(share=0.0, reserve=reserve, nodes=lambda: 1)
        self.forwarder = Forwarder(
            links=self,
            endpoints=self,
            balancer=balancer or self,
            clock=self.clock,
            metrics=Metrics(),
            retry_budget=self.budget,
            identity_refusal=identity_refusal,
        )

    async def call(self, *, idempotent: bool = False, retries: int = 1) -> Failure:
        """Forward one call and return its failure."""
        request = CallRequest(
            "id", "t", "c", "r", "work", _TIMEOUT_MS, idempotent, "GET", "/", ()
        )
        deadline_s = self.clock.monotonic() + _TIMEOUT_MS / 1000
        call = Call(request, deadline_s, retries)
        async with asyncio.timeout(PATIENCE_S):
            return await self.forwarder.forward(call, None)

    def get_if_open(self, host: str, port: int) -> FakeLink | PeerLink | None:
        """Return the link to a node, None if it is not open."""
        return self._links[host]

    async def get(self, host: str, port: int) -> FakeLink:
        """Wait forever, as for a link that never opens."""
        await asyncio.Event().wait()

    def has_members(self, service: str) -> bool:
        """Return whether there are members."""
        return bool(self.members)

    def for_call(self, service: str, **_: object) -> list[Member]:
        """Return all members."""
        return self.members

    def pick(self, members: list[Member], *, excluded: frozenset[str]) -> Member | None:
        """Return the first member that was not tried, or else the first one."""
        return next((m for m in members if m.node_id not in excluded), members[0])

    def started(self, node_id: str) -> None:
        """Do nothing."""

    def finished(self, node_id: str, *, failed: bool | None) -> None:
        """Do nothing."""

    def refused_as_cold(self, node_id: str) -> None:
        """Do nothing."""

    def record_gate_state(self, node_id: str, *gate_state: object) -> None:
        """Do nothing."""


_QUEUE_FULL = Failure(Verdict.NOT_RUN, "queue_full")
_DEAD = Failure(Verdict.MAY_HAVE_RUN, KEPT_CONNECTION_ENDED)
_DRAINING = Failure(Verdict.NOT_RUN, "draining")
_LOST = Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken")

_UNKNOWN_KEY = Failure(Verdict.NOT_RUN, "unknown_key")


class LinkOpeningTest(testtools.TestCase):
    """Tests of links that never open."""

    @async_test
    async def test_a_call_ends_in_time_if_no_link_opens(self) -> None:
        failure = await ForwarderFixture({"a": None, "b": None}).call()
        self.assertIs(Verdict.NOT_RUN, failure.verdict)

    @async_test
    async def test_another_node_is_tried_while_there_is_time(self) -> None:
        link = FakeLink("b", _QUEUE_FULL)
        await ForwarderFixture({"a": None, "b": link}).call()
        self.assertTrue(link.sent)


class SlowPeerTest(testtools.TestCase):
    """Tests of nodes whose immediate refusals take long to arrive."""

    async def _record_slow_refusal(
        self, fixture: ForwarderFixture, link: FakeLink, seconds_s: float
    ) -> None:
        """Let one call measure how long a refusal takes."""
        link.before_result = lambda: fixture.clock.advance(seconds_s)
        await fixture.call()
        link.before_result = lambda: None
        link.sent.clear()

    @async_test
    async def test_a_node_that_would_refuse_too_late_is_not_sent_the_call(self) -> None:
        link = FakeLink("a", _QUEUE_FULL)
        fixture = ForwarderFixture({"a": link}, ManualClock())
        await self._record_slow_refusal(fixture, link, 0.3)
        failure = await fixture.call()
        self.assertEqual([], link.sent)
        self.assertEqual((Verdict.NOT_RUN, "peer_too_slow"), failure[:2])

    @async_test
    async def test_another_node_is_sent_the_call_instead(self) -> None:
        slow, near = FakeLink("a", _QUEUE_FULL), FakeLink("b", _QUEUE_FULL)
        fixture = ForwarderFixture({"a": slow, "b": near}, ManualClock())
        await self._record_slow_refusal(fixture, slow, 0.3)
        near.sent.clear()
        await fixture.call()
        self.assertEqual([], slow.sent)
        self.assertTrue(near.sent)

    @async_test
    async def test_the_time_left_excludes_the_reply_time(self) -> None:
        link = FakeLink("a", _QUEUE_FULL)
        fixture = ForwarderFixture({"a": link}, ManualClock())
        await self._record_slow_refusal(fixture, link, 0.08)
        await fixture.call()
        # The time left is sent in whole milliseconds, rounded down.
        expected_ms = (_TIMEOUT_MS - 81, _TIMEOUT_MS - 80)
        self.assertIn(link.sent[0].time_left_ms, expected_ms)

    @async_test
    async def test_a_refusal_after_the_deadline_updates_the_reply_time(self) -> None:
        link = FakeLink("a", None)
        fixture = ForwarderFixture({"a": link}, ManualClock())
        failure = await fixture.call()
        self.assertEqual((Verdict.MAY_HAVE_RUN, "deadline_passed"), failure[:2])
        fixture.clock.advance(0.4)
        link.remotes[0].on_late_refusal(_QUEUE_FULL)
        failure = await fixture.call()
        self.assertEqual((Verdict.NOT_RUN, "peer_too_slow"), failure[:2])


class TooLittleTimeTest(testtools.TestCase):
    """Tests of calls that can't complete before their deadline."""

    @async_test
    async def test_a_call_with_less_time_than_its_route_takes_is_not_sent(self) -> None:
        link = FakeLink("a", _QUEUE_FULL)
        link.refusal = GateState(1, GateResults(service_s=0.5))
        fixture = ForwarderFixture({"a": link}, ManualClock())
        await fixture.call()
        link.sent.clear()
        failure = await fixture.call()
        self.assertEqual([], link.sent)
        self.assertEqual((Verdict.NOT_RUN, "too_little_time"), failure[:2])

    @async_test
    async def test_the_expected_duration_of_a_route_expires(self) -> None:
        link = FakeLink("a", _QUEUE_FULL)
        link.refusal = GateState(1, GateResults(service_s=0.3))
        fixture = ForwarderFixture({"a": link}, ManualClock())
        await fixture.call()
        link.sent.clear()
        for _ in range(40):
            await fixture.call()
        self.assertTrue(link.sent)


class SilentLinkTest(testtools.TestCase):
    """Tests of a link on which nothing is received."""

    async def _with_silent_link(self) -> tuple[ForwarderFixture, FakeConnection]:
        """Return a fixture whose link received no reply to a call for 1 s."""
        connection = FakeConnection()
        link = PeerLink(
            connection, PeerIdentity("mesh", "a", 1), count_late=lambda: None
        )
        fixture = ForwarderFixture({"a": link}, ManualClock())
        await fixture.call()
        fixture.clock.advance(1.0)
        return fixture, connection

    @async_test
    async def test_a_silent_link_is_sent_no_further_calls(self) -> None:
        fixture, connection = await self._with_silent_link()
        for _ in range(2):
            failure = await fixture.call()
            self.assertEqual((Verdict.NOT_RUN, "peer_silent"), failure[:2])
        kinds = [message.which() for message in connection.sent]
        self.assertEqual(["callStart", "callCancel", "outcomeQuery"], kinds)

    @async_test
    async def test_an_answered_probe_lets_calls_through_again(self) -> None:
        self.patch(usable_link, "_PROBE_TIMEOUT_S", PATIENCE_S)
        fixture, connection = await self._with_silent_link()
        call = asyncio.create_task(fixture.call())
        await eventually(lambda: connection.sent[-1].which() == "outcomeQuery")
        connection.deliver(frame("outcome", queryId=0, verdict=0, reason="barred"))
        await call
        kinds = [message.which() for message in connection.sent]
        self.assertEqual(["callStart", "callCancel"], kinds[-2:])
        self.assertEqual(2, kinds.count("callStart"))


class VerdictReasonTest(testtools.TestCase):
    """Tests of the reason that is reported with a verdict."""

    @async_test
    async def test_the_reason_is_that_of_the_attempt_that_may_have_run(self) -> None:
        lost = Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken", "reset")
        refusal = Failure(Verdict.NOT_RUN, "draining")
        links = {name: FakeLink(name, refusal) for name in "bcdef"}
        failure = await ForwarderFixture({"a": FakeLink("a", lost), **links}).call(
            idempotent=True
        )
        self.assertTrue(all(link.sent for link in links.values()))
        self.assertEqual(lost, failure)


class MemberStateTest(testtools.TestCase):
    """Tests of what the balancer learns from failed attempts."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        rng = random.Random(1)
        self.shares = ColdShares(clock=self.clock, rng=rng)
        self.balancer = Balancer(
            availability_zone="z",
            region="r",
            clock=self.clock,
            rng=rng,
            cold_shares=self.shares,
        )

    def _fixture(self, **links: FakeLink) -> ForwarderFixture:
        return ForwarderFixture(links, self.clock, balancer=self.balancer)

    @async_test
    async def test_cold_refusal_of_a_member_that_departed_leaves_no_state(self) -> None:
        # Guards against state of departed members that is never dropped.
        link = FakeLink("a", Failure(Verdict.NOT_RUN, "backend_cold"))
        link.before_result = lambda: self.balancer.forget("a")
        await self._fixture(a=link).call()
        self.assertTrue(link.sent)
        others = [Member("b", "b", 1, "r", "z", 1)]
        self.assertIs(others, self.shares.within_share(others))

    @async_test
    async def test_fault_of_a_cold_member_does_not_end_its_ejection(self) -> None:
        # Guards against a member that restarts cold, fails every call, and is never
        # ejected again, because each fault counted as a success.
        broken = Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken")
        fixture = self._fixture(a=FakeLink("a", broken))
        for _ in range(5):
            await fixture.call()
        member = fixture.members[0]
        other = member._replace(node_id="b", host="b")
        self.assertEqual({"b"}, self._picked(member, other))
        fixture.members = [member._replace(cold=True)]
        await fixture.call()
        self.assertEqual({"b"}, self._picked(member, other))

    @async_test
    async def test_faults_of_a_cold_member_do_not_eject_it(self) -> None:
        broken = Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken")
        fixture = self._fixture(a=FakeLink("a", broken))
        member = fixture.members[0]
        fixture.members = [member._replace(cold=True)]
        for _ in range(9):
            await fixture.call()
        other = member._replace(node_id="b", host="b")
        self.assertEqual({"a", "b"}, self._picked(member, other))

    def _picked(self, *members: Member) -> set[str]:
        return {self.balancer.pick(members).node_id for _ in range(50)}


class NoMemberLeftTest(testtools.TestCase):
    """Tests of calls that find no further member after a failed attempt."""

    async def _call(self, failure: Failure) -> Failure:
        clock = ManualClock()
        balancer = Balancer(
            availability_zone="z", region="r", clock=clock, rng=random.Random(1)
        )
        links = {name: FakeLink(name, failure) for name in "ab"}
        return await ForwarderFixture(links, clock, balancer=balancer).call()

    @async_test
    async def test_reason_is_that_of_the_gate(self) -> None:
        # Guards against no_backend_server, which hides the evacuation from operators.
        evacuated = Failure(Verdict.NOT_RUN, "zone_evacuated", "z")
        self.assertEqual(evacuated, await self._call(evacuated))


class DeadConnectionTest(testtools.TestCase):
    """Tests of calls that met a dead connection to a backend server."""

    async def _call(
        self, *results: Failure, retries: int = 1, reserve: float = 9.0
    ) -> tuple[int, int]:
        """Make an idempotent call; each backend server fails all that it gets.

        :returns: how often the first and the second of two nodes got the call.
        """
        links = {
            name: FakeLink(name, result)
            for name, result in zip("ab", results, strict=True)
        }
        fixture = ForwarderFixture(links, ManualClock(), reserve=reserve)
        await fixture.call(idempotent=True, retries=retries)
        return len(links["a"].sent), len(links["b"].sent)

    @async_test
    async def test_the_same_backend_server_gets_the_call_once_more(self) -> None:
        # Guards against a loss of calls that may be sent to one backend server only.
        self.assertEqual((2, 0), await self._call(_DEAD, _DEAD, retries=0))

    @async_test
    async def test_a_further_one_is_tried_afterwards(self) -> None:
        self.assertEqual((2, 2), await self._call(_DEAD, _DEAD, retries=1))

    @async_test
    async def test_no_arrival_without_budget(self) -> None:
        for arrivals, reserve in ((2, 1.0), (3, 2.0), (4, 9.0)):
            sent = await self._call(_DEAD, _DEAD, reserve=reserve)
            self.assertEqual(arrivals, sum(sent), reserve)

    @async_test
    async def test_a_request_that_may_run_once_is_not_sent_again(self) -> None:
        link = FakeLink("a", _DEAD)
        fixture = ForwarderFixture({"a": link}, ManualClock())
        await fixture.call(idempotent=False)
        self.assertEqual(1, len(link.sent))


class ArrivalChargeTest(testtools.TestCase):
    """Tests of what the retry budget is charged."""

    async def _call(self, *results: Failure, retries: int = 1) -> tuple[int, int]:
        """Make an idempotent call to nodes with these results.

        :returns: the attempts that were made, and the charges of nine that were used.
        """
        links = {
            name: FakeLink(name, result)
            for name, result in zip("abcdefg", results, strict=False)
        }
        fixture = ForwarderFixture(links, ManualClock())
        await fixture.call(idempotent=True, retries=retries)
        left = 0
        while fixture.budget.try_spend("work"):
            left += 1
        return sum(len(link.sent) for link in links.values()), 9 - left

    @async_test
    async def test_attempts_that_no_backend_server_saw_cost_nothing(self) -> None:
        self.assertEqual((5, 0), await self._call(*[_DRAINING] * 5))

    @async_test
    async def test_arrivals_that_a_backend_server_rejects_are_charged(self) -> None:
        # Guards against repeated arrivals at addresses of other backend servers.
        for reason in ("other_instance", "backend_refused"):
            rejection = Failure(Verdict.NOT_RUN, reason)
            attempts, charges = await self._call(*[rejection] * 5, retries=3)
            self.assertGreater(attempts, 3, reason)
            self.assertEqual(attempts - 1, charges, reason)

    @async_test
    async def test_a_charge_without_an_arrival_is_given_back(self) -> None:
        self.assertEqual((6, 0), await self._call(_LOST, *[_DRAINING] * 5))

    @async_test
    async def test_a_charge_pays_for_one_arrival_after_refusals(self) -> None:
        result = await self._call(_LOST, _DRAINING, _DRAINING, _LOST)
        self.assertEqual((4, 1), result)


class RevokedKeyTest(testtools.TestCase):
    """Tests of calls whose API key is revoked while they are pending."""

    refusal: Failure | None = None

    async def _call(
        self, *results: Failure, idempotent: bool = True, revoked_by: int = 0
    ) -> tuple[Failure, int]:
        """Make a call whose key is revoked while some attempt runs.

        :param revoked_by: number of the attempt, 0 to revoke it before the first.
        :returns: the failure, and how often the call was sent.
        """
        links = {str(i): FakeLink(str(i), result) for i, result in enumerate(results)}
        sent = 0

        def note_sent() -> None:
            nonlocal sent
            sent += 1
            if sent == revoked_by:
                self.refusal = _UNKNOWN_KEY

        for link in links.values():
            link.before_result = note_sent
        self.refusal = None if revoked_by else _UNKNOWN_KEY
        fixture = ForwarderFixture(
            links, ManualClock(), identity_refusal=lambda _: self.refusal
        )
        failure = await fixture.call(idempotent=idempotent, retries=3)
        return failure, sent

    @async_test
    async def test_call_is_not_sent(self) -> None:
        self.assertEqual((_UNKNOWN_KEY, 0), await self._call(_DRAINING, _DRAINING))

    @async_test
    async def test_call_is_not_sent_again(self) -> None:
        for idempotent in (True, False):
            result = await self._call(
                _DRAINING, _DRAINING, _DRAINING, idempotent=idempotent, revoked_by=2
            )
            self.assertEqual((_UNKNOWN_KEY, 2), result)

    @async_test
    async def test_verdict_of_an_attempt_that_may_have_run_holds(self) -> None:
        # Guards against a 401, which says that nothing ran.
        result = await self._call(_LOST, _DRAINING, revoked_by=1)
        self.assertEqual((_LOST, 1), result)

    @async_test
    async def test_gate_that_revokes_a_key_ends_the_call(self) -> None:
        revoked = Failure(Verdict.NOT_RUN, KEY_REVOKED)
        self.assertEqual((revoked, 1), await self._call(revoked, revoked, revoked_by=9))
        self.assertEqual(
            (_UNKNOWN_KEY, 1), await self._call(revoked, revoked, revoked_by=1)
        )
