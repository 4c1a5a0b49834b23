"""Chooses the member that an attempt of a call is sent to."""

from collections.abc import Iterable

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.attempts import RetryState
from burdockdock.proxy.balancer import LARGE_ANSWER_PENALTIES, Balancer
from burdockdock.proxy.call import Call
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.placement import Choice, CrossingTerms
from burdockdock.proxy.route_sizes import (
    RouteSizes,
    answer_head_size_bytes,
    request_size_bytes,
)


class ZoneCost:
    """What a call pays for a zone crossing, by the size that its route usually has.

    :param cost_s_per_kb: expected seconds that a call must gain for each KB that
        crosses.
    """

    def __init__(self, cost_s_per_kb: float, *, clock: Clock, metrics: Metrics) -> None:
        self._cost_s_per_kb = cost_s_per_kb
        self._clock = clock
        self._metrics = metrics
        self.sizes = RouteSizes(clock=clock)

    def terms(self, call: Call) -> CrossingTerms:
        """Return the cost of a crossing and the time left, the target's if it is ahead.

        A call that has missed its target only has to meet its deadline.
        """
        size_kb = self.sizes.expected_kb(
            call.request.route, large_answer=call.large_answer
        )
        now_s = self._clock.monotonic()
        left_s = call.deadline_s - now_s
        if call.target_s > now_s:
            left_s = min(left_s, call.target_s - now_s)
        return CrossingTerms(self._cost_s_per_kb * size_kb, left_s)

    def record_size(self, call: Call, head: AnswerHead, body_bytes: int) -> None:
        """Learn what a call of this route sends and receives.

        :param body_bytes: bytes of the answer's body that came after its head.
        """
        size_bytes = request_size_bytes(call.request) + body_bytes
        size_bytes += answer_head_size_bytes(head)
        self.sizes.record(call.request.route, size_bytes)

    def note_crossing(self, call: Call, choice: Choice) -> None:
        """Count and log an attempt in another zone with the reason."""
        self._metrics.count("zone_crossings", label=choice.reason)
        log_event(
            "call.crossed",
            request=call.request.request_id,
            service=call.request.service,
            node_tried=choice.candidate.member.node_id,
            reason=choice.reason,
            home_s=round(choice.home_s, 3),
            elsewhere_s=round(choice.elsewhere_s, 3),
        )


class MemberChoice:
    """Chooses members by load, by the cost of a crossing, or by an idempotency key.

    :param zone_cost: the cost of a zone crossing, None where it has none.
    """

    def __init__(
        self,
        *,
        endpoints: Endpoints,
        balancer: Balancer,
        zone_cost: ZoneCost | None,
    ) -> None:
        self._endpoints = endpoints
        self._balancer = balancer
        self._zone_cost = zone_cost

    def pick(self, call: Call, retry_state: RetryState) -> Member | None:
        """Choose a member for the next attempt of a call.

        A key always selects the same member, which remembers the requests that had it.
        """
        service, regions = call.request.service, call.allowed_regions
        if call.key:
            return self._endpoints.member_for_key(service, call.key, regions=regions)
        excluded = retry_state.excluded
        members = retry_state.choose_from(
            self._endpoints.for_call(service, full=excluded, regions=regions)
        )
        if retry_state.again_id:
            member = _find(members, retry_state.again_id)
            if member is not None:
                return member
        if self._zone_cost is not None:
            return self._pick_by_zone(call, members, excluded, self._zone_cost)
        if call.large_answer:
            return self._balancer.pick(
                members, excluded=excluded, penalties=LARGE_ANSWER_PENALTIES
            )
        return self._balancer.pick(members, excluded=excluded)

    def crosses(self, member: Member) -> bool:
        """Return whether an attempt pays for a zone crossing."""
        return self._zone_cost is not None and self._balancer.crosses(member)

    def _pick_by_zone(
        self,
        call: Call,
        members: Iterable[Member],
        excluded: frozenset[str],
        zone_cost: ZoneCost,
    ) -> Member | None:
        choice = self._balancer.pick_by_zone(
            members, excluded=excluded, terms=zone_cost.terms(call)
        )
        if choice is None:
            return None
        member = choice.candidate.member
        if self._balancer.crosses(member):
            zone_cost.note_crossing(call, choice)
        return member


def _find(members: Iterable[Member], node_id: str) -> Member | None:
    return next((m for m in members if m.node_id == node_id), None)
