"""Forwards calls to backend servers, and retries them where that is safe."""

import asyncio
import functools
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.duration_estimator import DurationEstimator
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import (
    KEY_REVOKED,
    Failure,
    Verdict,
    may_retry,
)
from burdockdock.gate.model import BACKEND_COLD
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.answer_relay import relay_answer, wait_for_head
from burdockdock.proxy.arrival_charges import ArrivalCharges
from burdockdock.proxy.attempt_results import (
    DEADLINE_PASSED,
    PEER_TOO_SLOW,
    is_backend_fault,
    log_failed_attempt,
    unproved_refusal,
)
from burdockdock.proxy.attempts import (
    Attempt,
    AttemptFailure,
    RetryState,
    initial_state,
    is_final,
)
from burdockdock.proxy.authentication import Identity
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.call import Call, Caller, ReplayableBody
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.free_slots import FreeSlotOdds
from burdockdock.proxy.local_link import LocalLink
from burdockdock.proxy.member_choice import MemberChoice, ZoneCost
from burdockdock.proxy.no_member import no_member_failure, refusal_without_members
from burdockdock.proxy.outcomes import resolve_outcome
from burdockdock.proxy.peer_link import PeerLink, PeerLinks
from burdockdock.proxy.ready_check import ReadyCheck, always_ready
from burdockdock.proxy.remote_call import GateState
from burdockdock.proxy.reply_times import PROMPT_REFUSALS, ReplyTimes
from burdockdock.proxy.usable_link import usable_link


class Forwarder:
    """Sends calls to the gates of the nodes that have the backend servers.

    :param local_link: way to this node's own gate; without one, the node opens a
        connection to itself.
    :param signature: name of the header that signs answers, empty if none does.
    :param identity_refusal: returns why a request must not be sent any more by the
        configuration in force, None if it may.
    :param zone_cost: the cost of a zone crossing, None where it has none.
    """

    def __init__(
        self,
        *,
        links: PeerLinks,
        endpoints: Endpoints,
        balancer: Balancer,
        clock: Clock,
        metrics: Metrics,
        retry_budget: FleetRetryBudget,
        local_link: LocalLink | None = None,
        signature: str = "",
        identity_refusal: Callable[[Identity], Failure | None] = lambda _: None,
        zone_cost: ZoneCost | None = None,
    ) -> None:
        self._endpoints = endpoints
        self._zone_cost = zone_cost
        self._choice = MemberChoice(
            endpoints=endpoints, balancer=balancer, zone_cost=zone_cost
        )
        self._balancer = balancer
        self._clock = clock
        self._metrics = metrics
        self._budget = retry_budget
        self._local_link = local_link
        self._signature = signature
        self._identity_refusal = identity_refusal
        self._reply_times = ReplyTimes(clock=clock)
        self._durations = DurationEstimator()
        self._free_slots = FreeSlotOdds(clock=clock)
        self._usable_link = functools.partial(
            usable_link, links=links, clock=clock, reply_times=self._reply_times
        )
        self._resolve_outcome = functools.partial(
            resolve_outcome, links=links, clock=clock
        )

    async def forward(
        self, call: Call, caller: Caller, *, check_ready: ReadyCheck = always_ready
    ) -> Failure | None:
        """Forward a call and relay its answer to the caller.

        :param check_ready: returns why not to make the first attempt.
        :returns: None once the answer was relayed completely or aborted visibly, else
            a failure that still has to be reported to the caller.
        """
        self._budget.record_call(call.request.service)
        body = ReplayableBody(caller, call.request.body_length)
        refusal = await self._refusal_before_first_attempt(call, body, check_ready)
        if refusal is not None:
            return refusal
        asks = self._free_slots.is_worth_asking(call.request.service)
        zone_first = self._zone_cost is not None
        retry_state = initial_state(call, asks=asks, zone_first=zone_first)
        charges = ArrivalCharges(call.request.service, budget=self._budget)
        strongest_failure: Failure | None = None
        while True:
            outcome = await self._attempt(call, caller, body, retry_state)
            if outcome is None:
                return None
            failure = outcome.failure
            charges.record_failure(failure)
            if strongest_failure is None or _outweighs(outcome, strongest_failure):
                strongest_failure = failure
            log_failed_attempt(
                call.request,
                outcome.node_id,
                failure,
                left_ms=self._time_left_ms(call),
            )
            next_state = retry_state.after(outcome)
            if next_state is None or not self._should_retry(
                call, body, outcome, charges
            ):
                break
            retry_state = next_state
            self._metrics.count("retries", label=failure.reason)
        charges.end()
        if strongest_failure.reason == KEY_REVOKED:
            # This node may have the gate's newer version by now.
            refusal = self._identity_refusal(call.identity)
            return strongest_failure if refusal is None else refusal
        # Keep the strongest verdict: if an earlier attempt may have run, a later
        # refusal doesn't change that.
        return strongest_failure

    async def _refusal_before_first_attempt(
        self, call: Call, body: ReplayableBody, check_ready: ReadyCheck
    ) -> Failure | None:
        """Buffer the beginning of the request's body, until the deadline at most."""
        if call.request.body_length:
            refusal = refusal_without_members(call, self._endpoints)
            if refusal is not None:
                return refusal
        return await body.read_prefix(self._time_left_ms(call) / 1000, check_ready)

    async def _attempt(
        self,
        call: Call,
        caller: Caller,
        body: ReplayableBody,
        retry_state: RetryState,
    ) -> AttemptFailure | None:
        member = self._choice.pick(call, retry_state)
        if member is None:
            return AttemptFailure("", no_member_failure(call, self._endpoints))
        node_id = member.node_id
        crossed = self._choice.crosses(member)
        self._balancer.started(node_id)
        # A fault of a cold member says nothing about its health.
        failed = fault = None if member.cold else True
        try:
            may_wait = (
                call.key != ""
                or retry_state.may_wait_at(node_id, crossed=crossed)
                or not body.replayable
            )
            result = await self._send_to(
                member,
                call,
                caller,
                body,
                may_wait=may_wait,
                earlier_may_have_run=retry_state.may_have_run,
            )
            if not may_wait and not crossed:
                self._free_slots.record_result(call.request.service, result)
            if isinstance(result, Failure) and result.reason == BACKEND_COLD:
                # The end of the attempt drops the state of a member that has left.
                self._balancer.refused_as_cold(node_id)
            failed = fault if is_backend_fault(result) else False
        finally:
            self._balancer.finished(node_id, failed=failed)
        if isinstance(result, Failure):
            return AttemptFailure(node_id, result, crossed, member.availability_zone)
        return None

    async def _send_to(
        self,
        member: Member,
        call: Call,
        caller: Caller,
        body: ReplayableBody,
        *,
        may_wait: bool,
        earlier_may_have_run: bool,
    ) -> AnswerHead | Failure:
        """Send a call to one node and relay its answer.

        :param may_wait: whether it may queue there; otherwise it needs a free slot.
        :param earlier_may_have_run: whether an earlier attempt may have run it.
        """
        link = await self._link_to(member, call)
        if isinstance(link, Failure):
            return link
        refusal = self._identity_refusal(call.identity)
        if refusal is not None:
            return refusal
        if self._time_left_ms(call) <= 0:
            return Failure(Verdict.NOT_RUN, DEADLINE_PASSED)
        # Reserve time for the reply: if the deadline passed while a refusal is on its
        # way, it would be unknown whether the call ran.
        reply_s = self._reply_times.expected_s(member.node_id)
        time_left_ms = self._time_left_ms(call) - round(reply_s * 1000)
        if time_left_ms <= 0:
            return Failure(
                Verdict.NOT_RUN, PEER_TOO_SLOW, f"replies in {reply_s:.3f} s"
            )
        needed_s = self._durations.min_time_left_s(call.request.route)
        if time_left_ms < needed_s * 1000:
            self._durations.record_refusal(call.request.route)
            detail = f"the route usually takes {needed_s:.3f} s"
            return Failure(Verdict.NOT_RUN, "too_little_time", detail)
        request = call.request._replace(
            time_left_ms=time_left_ms,
            target_left_ms=call.target_left_ms(self._clock.monotonic()),
            queue_length=call.request.queue_length if may_wait else 0,
            body=body.prefix,
            end=body.prefix_is_whole_body,
        )
        started_s = self._clock.monotonic()
        link.note_call_sent(started_s)
        attempt = Attempt(member, link, link.start(request), started_s)
        return await self._exchange(
            attempt, call, caller, body, earlier_may_have_run=earlier_may_have_run
        )

    async def _link_to(
        self, member: Member, call: Call
    ) -> PeerLink | LocalLink | Failure:
        local = self._local_link
        if local is not None and local.peer.node_id == member.node_id:
            return local
        return await self._usable_link(member, call)

    async def _exchange(
        self,
        attempt: Attempt,
        call: Call,
        caller: Caller,
        body: ReplayableBody,
        *,
        earlier_may_have_run: bool,
    ) -> AnswerHead | Failure:
        """Send the rest of the body while waiting for the answer and relaying it."""
        upload = None
        if not body.prefix_is_whole_body:
            upload = asyncio.create_task(body.send_rest(attempt.remote))
        try:
            head = await wait_for_head(attempt.remote, call, clock=self._clock)
            self._record_reply_time(attempt, head)
            if isinstance(head, Failure):
                refusal = attempt.remote.refusal
                if refusal is not None:
                    self._record_gate_state(attempt, call, refusal)
                return await self._resolve_outcome(attempt, call, head)
            self._record_gate_state(attempt, call, GateState(head.load, head.results))
            unproved = unproved_refusal(
                head,
                earlier_may_have_run=earlier_may_have_run,
                signature=self._signature,
            )
            if unproved is not None:
                return unproved
            body_bytes = await relay_answer(
                attempt,
                call,
                head,
                caller,
                clock=self._clock,
                metrics=self._metrics,
            )
            if self._zone_cost is not None:
                self._zone_cost.record_size(call, head, body_bytes)
            return head
        finally:
            if upload is not None:
                upload.cancel()
            attempt.remote.cancel()

    def _record_gate_state(
        self, attempt: Attempt, call: Call, state: GateState
    ) -> None:
        """Record the load and the call durations that a gate reported."""
        self._balancer.record_gate_state(attempt.member.node_id, *state)
        if state.results.service_s:
            self._durations.record(call.request.route, state.results.service_s)

    def _record_reply_time(self, attempt: Attempt, head: AnswerHead | Failure) -> None:
        """Update the estimate of a node's round-trip time.

        A prompt refusal measures the round trip; an answer only bounds it from above.
        """
        node_id = attempt.member.node_id
        took_s = self._clock.monotonic() - attempt.started_s
        if not isinstance(head, Failure):
            self._reply_times.bound(node_id, took_s)
        elif head.reason in PROMPT_REFUSALS:
            self._reply_times.record(node_id, took_s)
        elif head.reason == DEADLINE_PASSED:
            attempt.remote.on_late_refusal = functools.partial(
                self._record_reply_time, attempt
            )

    def _should_retry(
        self,
        call: Call,
        body: ReplayableBody,
        outcome: AttemptFailure,
        charges: ArrivalCharges,
    ) -> bool:
        """Return whether to make another attempt; charge it if needed."""
        return (
            outcome.node_id != ""
            and not is_final(outcome.failure)
            and may_retry(outcome.failure, idempotent=call.request.idempotent)
            and body.replayable
            and self._time_left_ms(call) > 0
            and charges.may_arrive()
        )

    def _time_left_ms(self, call: Call) -> int:
        return call.time_left_ms(self._clock.monotonic())


def _outweighs(outcome: AttemptFailure, earlier: Failure) -> bool:
    """Return whether a later failure is reported to the caller rather than an earlier.

    With the same verdict it is, unless it only says that no member was left to try:
    the earlier one says why.
    """
    verdict = outcome.failure.verdict
    if verdict == earlier.verdict:
        return outcome.node_id != ""
    return verdict > earlier.verdict
