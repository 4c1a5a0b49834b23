"""Carries one call to a backend server, with retries that never run it twice."""

import asyncio
import functools

from burdockdock.clock import Clock
from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.duration_estimator import DurationEstimator
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict, may_retry
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.attempts import (
    BACKEND_REFUSED,
    FREE_SLOT_TRIES,
    MAX_MOVES,
    Attempt,
    AttemptFailure,
    Tried,
    is_refused_by_node,
)
from burdockdock.proxy.balancer import LARGE_ANSWER_PENALTIES, Balancer
from burdockdock.proxy.call import Call, Caller, ReplayableBody
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.outcomes import settle
from burdockdock.proxy.peer_link import PeerLinks
from burdockdock.proxy.remote_call import GateState, RemoteCall
from burdockdock.proxy.reply_times import PROMPT_REFUSALS, ReplyTimes
from burdockdock.proxy.usable_link import usable_link

# What an answer that was ended at its deadline takes to be told here.
_LAST_PIECE_S = 0.25
_DEADLINE_PASSED = "deadline_passed"
_NO_BACKEND_SERVER = "no_backend_server"
_SHED_STATUSES = frozenset({429, 503})
_TOO_SLOW = "peer_too_slow"
# Refusals that say something about load or a planned stop, not about faults.
_HEALTHY_REFUSALS = frozenset(
    {
        "queue_full",
        "tenant_queue_full",
        "queue_timeout",
        "draining",
        _DEADLINE_PASSED,
        "too_little_time",
        "backend_leaving",
        "not_here",
        "version_stopped",
        _TOO_SLOW,
        BACKEND_REFUSED,
    }
)


class Forwarder:
    """Sends calls to other nodes' gates."""

    def __init__(
        self,
        *,
        links: PeerLinks,
        endpoints: Endpoints,
        balancer: Balancer,
        clock: Clock,
        metrics: Metrics,
        retry_budget: FleetRetryBudget,
    ) -> None:
        self._endpoints = endpoints
        self._balancer = balancer
        self._clock = clock
        self._metrics = metrics
        self._budget = retry_budget
        self._reply_times = ReplyTimes(clock=clock)
        self._durations = DurationEstimator()
        self._usable_link = functools.partial(
            usable_link, links=links, clock=clock, reply_times=self._reply_times
        )
        self._settle = functools.partial(settle, links=links, clock=clock)

    async def forward(self, call: Call, caller: Caller) -> Failure | None:
        """Carry a call to its answer.

        :returns: None when the answer was passed on whole or broken off visibly,
            else a failure of which the caller was not told yet.
        """
        self._budget.record_call(call.request.service)
        body = ReplayableBody(caller, call.request.body_length)
        late = await self._read_first(call, body)
        if late is not None:
            return late
        # A large answer waits for a near backend server rather than come from afar.
        free_slots = 0 if call.large_answer and call.may_wait else FREE_SLOT_TRIES
        tried = Tried(
            call.retries, MAX_MOVES, free_slots, may_not_wait=not call.may_wait
        )
        decisive: Failure | None = None
        while True:
            outcome = await self._attempt(call, caller, body, tried)
            if outcome is None:
                return None
            failure = outcome.failure
            if decisive is None or failure.verdict >= decisive.verdict:
                decisive = failure
            self._log_attempt(call, outcome)
            following = tried.after(outcome)
            attempts_left = 0 if following is None else 1
            if not self._should_retry(call, body, failure, attempts_left):
                break
            tried = following or tried
            self._metrics.count("retries", label=failure.reason)
        # What an earlier attempt may have done holds whatever the last one did.
        return decisive

    async def _read_first(self, call: Call, body: ReplayableBody) -> Failure | None:
        """Read what a call needs of its body to begin; its time bounds that."""
        if not call.request.body_length:
            return None
        try:
            async with asyncio.timeout(self._left_ms(call) / 1000):
                await body.read_first()
        except TimeoutError:
            return Failure(Verdict.NOT_RUN, "request_body_late")
        return None

    async def _attempt(
        self,
        call: Call,
        caller: Caller,
        body: ReplayableBody,
        tried: Tried,
    ) -> AttemptFailure | None:
        member = self._pick(call, tried)
        if member is None:
            detail = f"no backend server of {call.request.service} takes calls now"
            failure = Failure(Verdict.NOT_RUN, _NO_BACKEND_SERVER, detail)
            return AttemptFailure("", failure)
        self._balancer.started(member.node_id)
        failed = True
        try:
            may_wait = (
                call.key != "" or not tried.free_slots_left or not body.replayable
            )
            result = await self._run_on(member, call, caller, body, may_wait=may_wait)
            failed = _is_fault(result)
        finally:
            self._balancer.finished(member.node_id, failed=failed)
        if isinstance(result, Failure):
            return AttemptFailure(member.node_id, result)
        return None

    def _pick(self, call: Call, tried: Tried) -> Member | None:
        """Choose by load; a caller's key always goes where it is remembered."""
        service = call.request.service
        if call.key:
            return self._endpoints.member_for_key(service, call.key)
        members = self._endpoints.for_call(service, full=tried.excluded)
        if call.large_answer:
            return self._balancer.pick(
                members, excluded=tried.excluded, penalties=LARGE_ANSWER_PENALTIES
            )
        return self._balancer.pick(members, excluded=tried.excluded)

    async def _run_on(
        self,
        member: Member,
        call: Call,
        caller: Caller,
        body: ReplayableBody,
        *,
        may_wait: bool,
    ) -> AnswerHead | Failure:
        """Send a call to one node.

        :param may_wait: whether it may wait there, or must find a slot free.
        """
        link = await self._usable_link(member, call)
        if isinstance(link, Failure):
            return link
        if self._left_ms(call) <= 0:
            return Failure(Verdict.NOT_RUN, _DEADLINE_PASSED)
        # A refusal on the way at the deadline would leave the caller in doubt.
        reply_s = self._reply_times.expected_s(member.node_id)
        time_left_ms = self._left_ms(call) - round(reply_s * 1000)
        if time_left_ms <= 0:
            return Failure(Verdict.NOT_RUN, _TOO_SLOW, f"replies in {reply_s:.3f} s")
        needed_s = self._durations.min_time_left_s(call.request.route)
        if time_left_ms < needed_s * 1000:
            self._durations.record_refusal(call.request.route)
            detail = f"usually takes {needed_s:.3f} s"
            return Failure(Verdict.NOT_RUN, "too_little_time", detail)
        request = call.request._replace(
            time_left_ms=time_left_ms,
            target_left_ms=self._target_left_ms(call),
            queue_length=call.request.queue_length if may_wait else 0,
            body=body.start,
            end=body.start_is_all,
        )
        started_s = self._clock.monotonic()
        link.note_call_sent(started_s)
        attempt = Attempt(member, link, link.start(request), started_s)
        return await self._follow(attempt, call, caller, body)

    async def _follow(
        self, attempt: Attempt, call: Call, caller: Caller, body: ReplayableBody
    ) -> AnswerHead | Failure:
        """Send the rest of the body while waiting for the answer."""
        upload = None
        if not body.start_is_all:
            upload = asyncio.create_task(body.send_rest(attempt.remote))
        try:
            head = await self._head_in_time(attempt.remote, call)
            self._time_reply(attempt, head)
            if isinstance(head, Failure):
                refusal = attempt.remote.refusal
                if refusal is not None:
                    self._take_in(attempt, call, refusal)
                return await self._settle(attempt, call, head)
            self._take_in(attempt, call, GateState(head.load, head.results))
            await self._relay(attempt, call, head, caller)
            return head
        finally:
            if upload is not None:
                upload.cancel()
            attempt.remote.cancel()

    def _take_in(self, attempt: Attempt, call: Call, state: GateState) -> None:
        """Take in what a gate told of itself."""
        self._balancer.record_load(attempt.member.node_id, *state)
        if state.results.service_s:
            self._durations.record(call.request.route, state.results.service_s)

    def _time_reply(self, attempt: Attempt, head: AnswerHead | Failure) -> None:
        """Learn from a reply how long the way there and back takes."""
        node_id = attempt.member.node_id
        took_s = self._clock.monotonic() - attempt.started_s
        if not isinstance(head, Failure):
            self._reply_times.bound(node_id, took_s)
        elif head.reason in PROMPT_REFUSALS:
            self._reply_times.record(node_id, took_s)
        elif head.reason == _DEADLINE_PASSED:
            attempt.remote.on_late_refusal = functools.partial(
                self._time_reply, attempt
            )

    async def _head_in_time(
        self, remote: RemoteCall, call: Call
    ) -> AnswerHead | Failure:
        left_s = call.deadline_s - self._clock.monotonic()
        try:
            async with asyncio.timeout(left_s):
                return await remote.head()
        except TimeoutError:
            return Failure(Verdict.MAY_HAVE_RUN, _DEADLINE_PASSED)

    async def _relay(
        self, attempt: Attempt, call: Call, head: AnswerHead, caller: Caller
    ) -> None:
        await caller.send_head(head)
        while True:
            piece = await self._next_piece(attempt.remote, call)
            if isinstance(piece, Failure):
                self._log_broken_off(call, attempt.member, piece)
                caller.break_off()
                return
            if piece is None:
                caller.finish()
                return
            await caller.send_body(piece)

    def _should_retry(
        self,
        call: Call,
        body: ReplayableBody,
        failure: Failure,
        attempts_left: int,
    ) -> bool:
        """Tell whether a further attempt is right, and spend the budget for it.

        A refusal by a node costs the backend servers nothing, so that it needs no
        budget.
        """
        return (
            attempts_left > 0
            and failure.reason != _NO_BACKEND_SERVER
            and may_retry(failure, idempotent=call.request.idempotent)
            and body.replayable
            and self._left_ms(call) > 0
            and (
                is_refused_by_node(failure)
                or self._budget.try_spend(call.request.service)
            )
        )

    async def _next_piece(
        self, remote: RemoteCall, call: Call
    ) -> bytes | Failure | None:
        """Wait for the next piece of an answer, which its node ends by the deadline."""
        left_s = call.deadline_s - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left_s) + _LAST_PIECE_S):
                return await remote.read_body()
        except TimeoutError:
            return Failure(Verdict.RAN, "answer_stopped")

    def _log_broken_off(self, call: Call, member: Member, failure: Failure) -> None:
        self._metrics.count("answers_broken_off", label=failure.reason)
        log_event(
            "call.answer_broken_off",
            request=call.request.request_id,
            service=call.request.service,
            node_tried=member.node_id,
            reason=failure.reason,
            detail=failure.detail,
            left_ms=self._left_ms(call),
        )

    def _log_attempt(self, call: Call, outcome: AttemptFailure) -> None:
        log_event(
            "call.attempt_failed",
            request=call.request.request_id,
            service=call.request.service,
            node_tried=outcome.node_id,
            verdict=outcome.failure.verdict.name.lower(),
            reason=outcome.failure.reason,
            detail=outcome.failure.detail,
            left_ms=self._left_ms(call),
        )

    def _target_left_ms(self, call: Call) -> int:
        """Return the time left to the target, never the 0 that means none."""
        if not call.target_s:
            return 0
        return int((call.target_s - self._clock.monotonic()) * 1000) or -1

    def _left_ms(self, call: Call) -> int:
        return call.left_ms(self._clock.monotonic())


def _is_fault(result: AnswerHead | Failure) -> bool:
    """Tell whether a result speaks against the backend server's health."""
    if isinstance(result, Failure):
        return result.reason not in _HEALTHY_REFUSALS
    return result.status >= 500 and result.status not in _SHED_STATUSES
