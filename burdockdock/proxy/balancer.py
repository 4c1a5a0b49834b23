"""Load balancing: choice of the backend server for each attempt of a call."""

import random
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.cold_share import ColdShares
from burdockdock.proxy.member_health import MemberHealth
from burdockdock.proxy.placement import (
    JITTER_SHARE,
    Candidate,
    Choice,
    CrossingTerms,
    choose,
)
from burdockdock.proxy.pool import DEFAULT_QUOTAS, Locality, Pool, SampleQuotas
from burdockdock.proxy.zone_loads import Place, ZoneLoads

# A report is used for this time. Without a zone cost it counts in full until then; with
# one it loses weight linearly.
_REPORTED_LOAD_MAX_AGE_S = 2.0
# Assumed while no gate has reported how long its calls run.
_DEFAULT_SERVICE_TIME_S = 0.1
# Calls on a fully loaded backend server run longer by this share.
_FULL_LOAD_SLOWDOWN = 0.15
# A failed attempt costs another attempt and spends the retry budget of all calls.
_FAILURE_PENALTY = 4.0


class DistancePenalties(NamedTuple):
    """Seconds added to the expected duration of an attempt at another node.

    :param same_zone_s: for another node in the same availability zone.
    :param same_region_s: for another availability zone in the same region.
    :param other_region_s: for another region.
    :param quotas: how many nearby members the sample of a large service contains.
    """

    same_zone_s: float = 0.002
    same_region_s: float = 0.02
    other_region_s: float = 0.1
    quotas: SampleQuotas = DEFAULT_QUOTAS


_NO_RESULTS = GateResults()
DEFAULT_PENALTIES = DistancePenalties()
# The bandwidth that large answers take between availability zones costs far more than
# their additional latency.
LARGE_ANSWER_PENALTIES = DistancePenalties(
    same_region_s=0.45, other_region_s=1.0, quotas=SampleQuotas(14, 15)
)


class _GateReport(NamedTuple):
    """The load and the results that a member's gate last reported.

    :param in_flight: this node's attempts at the member at that time.
    """

    calls: int
    results: GateResults
    received_at_s: float
    in_flight: int = 0


class Balancer:
    """Picks the member with the shortest expected duration of a call.

    All members of a small service are compared, and a sample of a larger service, so
    that the cost of a choice doesn't grow with the fleet. Backend servers differ in
    speed, and any of them may be full at times. The expected duration is therefore the
    service time that the member's gate reports, increased for queued calls,
    utilization, failures and distance.

    :param node_id: id of this node, empty if it has no backend server.
    :param availability_zone: availability zone of this node.
    :param region: region of this node.
    :param cold_shares: what this node may send to cold members, None for no limit.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        region: str,
        clock: Clock,
        rng: random.Random,
        node_id: str = "",
        cold_shares: ColdShares | None = None,
    ) -> None:
        self._locality = Locality(node_id, availability_zone, region)
        self._clock = clock
        self._rng = rng
        self._in_flight: dict[str, int] = defaultdict(int)
        self._gate_reports: dict[str, _GateReport] = {}
        self._health = MemberHealth()
        self._departed: set[str] = set()
        self._cold_shares = cold_shares or ColdShares(clock=clock, rng=rng)
        self._places: dict[str, tuple[Place, int]] = {}
        self._zone_loads = ZoneLoads()

    def crosses(self, member: Member) -> bool:
        """Return whether a call to a member leaves the availability zone."""
        return member.availability_zone != self._locality.availability_zone

    def pick(
        self,
        members: Sequence[Member],
        *,
        excluded: frozenset[str] = frozenset(),
        penalties: DistancePenalties = DEFAULT_PENALTIES,
    ) -> Member | None:
        """Return the member to send an attempt to, or None without members.

        :param members: members that may take the call.
        :param excluded: node ids that were already tried.
        :param penalties: cost of the distance to a member.
        """
        pool = members if isinstance(members, Pool) else Pool(self._locality, members)
        now_s = self._clock.monotonic()
        quotas = penalties.quotas
        sample = pool.sample(self._rng, excluded=excluded, quotas=quotas)
        candidates = self._health.without_ejected(sample, now_s)
        if len(candidates) == len(sample) < len(pool) - len(excluded):
            candidates = self._health.healthy_in_sample(sample, pool, now_s)
        candidates = self._cold_shares.within_share(candidates)
        mean_service_s = self._mean_service_s(candidates)
        chosen = min(
            candidates,
            key=lambda m: self._expected_duration_s(
                m, mean_service_s, penalties, now_s
            ),
            default=None,
        )
        self._cold_shares.sent(chosen)
        return chosen

    def pick_by_zone(
        self,
        members: Iterable[Member],
        *,
        excluded: frozenset[str] = frozenset(),
        terms: CrossingTerms,
    ) -> Choice | None:
        """Return the choice of a member where a zone crossing has a cost.

        A gate's report loses weight with its age, in favour of the mean of its zone,
        while :meth:`pick` counts it in full until it expires.

        :param members: members that may take the call.
        :param excluded: node ids that failed.
        :param terms: the cost, and the time in which the call has to end.
        """
        pool = members if isinstance(members, Pool) else Pool(self._locality, members)
        now_s = self._clock.monotonic()
        home, elsewhere = pool.sample_by_zone(self._rng, excluded=excluded)
        sample = usable = home + elsewhere
        if self._health:
            usable = self._health.healthy_in_sample(sample, pool, now_s)
        usable = self._cold_shares.within_share(usable)
        if len(usable) < len(sample):
            home = [m for m in usable if not self.crosses(m)]
            elsewhere = [m for m in usable if self.crosses(m)]
        mean_service_s = self._mean_service_s(home or elsewhere)
        choice = choose(
            self._candidates(home, mean_service_s, now_s),
            self._candidates(elsewhere, mean_service_s, now_s),
            terms=terms,
            uniform=self._rng.random,
        )
        if choice is not None:
            member = choice.candidate.member
            self._cold_shares.sent(member)
            self._note_place(member)
        return choice

    def started(self, node_id: str) -> None:
        """Count an attempt in flight."""
        self._departed.discard(node_id)
        self._in_flight[node_id] += 1

    def record_gate_state(
        self,
        node_id: str,
        calls: int,
        results: GateResults | None = None,
        refused: bool = False,
    ) -> None:
        """Record the state that a member's gate reported.

        :param calls: number of calls running and queued at the gate.
        :param results: results of the gate's latest calls. If they lack a service
            time, the previous one is kept.
        :param refused: whether it came with a failure, so that the number of calls
            doesn't include this node's attempt.
        """
        results = results or GateResults()
        previous = self._gate_reports.get(node_id)
        if not results.service_s and previous is not None:
            results = results._replace(service_s=previous.results.service_s)
        now_s = self._clock.monotonic()
        self._gate_reports[node_id] = _GateReport(
            calls, results, now_s, self._in_flight.get(node_id, 0) - refused
        )
        placed = self._places.get(node_id)
        if placed is not None:
            place, slots = placed
            self._zone_loads.record(place, calls / slots, now_s=now_s)

    def finished(self, node_id: str, *, failed: bool | None) -> None:
        """Record the end of an attempt.

        :param failed: whether the backend server or its node was at fault, None if
            the attempt says nothing about the member's health.
        """
        self._in_flight[node_id] -= 1
        if failed is not None:
            self._health.record(node_id, failed=failed, now_s=self._clock.monotonic())
        if not self._in_flight[node_id]:
            del self._in_flight[node_id]
            if node_id in self._departed:
                self.forget(node_id)

    def refused_as_cold(self, node_id: str) -> None:
        """Record that a member's gate refused an attempt since it is cold."""
        self._cold_shares.refused(node_id)

    def forget(self, node_id: str) -> None:
        """Drop the state of a member that left.

        The state is kept until the attempts in flight at the member have ended.
        """
        if node_id in self._in_flight:
            self._departed.add(node_id)
            return
        self._departed.discard(node_id)
        self._gate_reports.pop(node_id, None)
        self._health.forget(node_id)
        self._cold_shares.forget(node_id)
        place, _ = self._places.pop(node_id, (None, 0))
        self._forget_if_left(place)

    def _note_place(self, member: Member) -> None:
        """Note where a member is, which may change while it stays a member."""
        place = Place(member.service, member.availability_zone)
        previous, _ = self._places.get(member.node_id, (place, 0))
        self._places[member.node_id] = place, max(1, member.slots)
        if previous != place:
            self._forget_if_left(previous)

    def _forget_if_left(self, place: Place | None) -> None:
        """Drop the mean of a place that no member is in any more."""
        if place is not None and all(p != place for p, _ in self._places.values()):
            self._zone_loads.forget(place)

    def _known_calls(
        self, node_id: str, report: _GateReport | None, now_s: float
    ) -> int:
        """Return the number of running and queued calls at a member.

        This is the larger of this node's own attempts there and a recent report.
        """
        calls = self._in_flight.get(node_id, 0)
        if not _is_recent(report, now_s):
            return calls
        return max(calls, report.calls)

    def _expected_duration_s(
        self,
        member: Member,
        mean_service_s: float,
        penalties: DistancePenalties,
        now_s: float,
    ) -> float:
        """Return the expected duration of an attempt at a member, with jitter.

        A recent report counts in full, whatever its age, unlike in :meth:`_candidates`.
        """
        report = self._gate_reports.get(member.node_id)
        results = report.results if report is not None else _NO_RESULTS
        slots = max(1, member.slots)
        utilization = self._known_calls(member.node_id, report, now_s) / slots
        service_s = results.service_s or mean_service_s
        wait_s = max(0.0, utilization + 1 / slots - 1.0) * service_s
        if wait_s and results.remaining_s and _is_recent(report, now_s):
            new_calls = self._in_flight.get(member.node_id, 0) - report.in_flight
            work_s = results.remaining_s + new_calls * service_s
            wait_s = max(0.0, work_s) / slots
        duration_s = service_s * (1.0 + _FULL_LOAD_SLOWDOWN * min(1.0, utilization))
        duration_s += wait_s
        duration_s *= 1.0 + _FAILURE_PENALTY * results.failed_share
        duration_s += self._distance_penalty_s(member, penalties)
        return duration_s * (1.0 + JITTER_SHARE * (2.0 * self._rng.random() - 1.0))

    def _candidates(
        self, members: list[Member], mean_service_s: float, now_s: float
    ) -> list[Candidate]:
        """Return members with the parts of their expected durations.

        A report loses weight with its age in favour of the mean of its zone. What this
        node sent since the report is added at once. The loop is written out, because
        it takes most of the processor time of a choice.
        """
        reports, in_flight = self._gate_reports, self._in_flight
        own_id = self._locality.node_id
        zone, utilization, distance_s = "", 0.0, 0.0
        candidates = []
        for member in members:
            if member.availability_zone != zone:
                zone = member.availability_zone
                place = Place(member.service, zone)
                utilization = self._zone_loads.expected(place, now_s=now_s)
                distance_s = self._zone_distance_s(member, DEFAULT_PENALTIES)
            node_id = member.node_id
            slots = member.slots or 1
            own_calls = in_flight.get(node_id, 0)
            calls = utilization * slots
            service_s, failed_share, weight = mean_service_s, 0.0, 0.0
            report = reports.get(node_id)
            if report is not None:
                reported_calls, results, at_s, own_then = report
                service_s, failed_share, remaining_s = results
                service_s = service_s or mean_service_s
                weight = 1.0 - (now_s - at_s) / _REPORTED_LOAD_MAX_AGE_S
                if weight > 0.0:
                    calls += weight * (reported_calls + own_calls - own_then - calls)
            if calls < own_calls:
                calls = own_calls
            waiting = calls + 1.0 - slots
            wait_s = service_s * waiting / slots if waiting > 0.0 else 0.0
            if wait_s and weight > 0.0 and remaining_s:
                work_s = remaining_s + (own_calls - own_then) * service_s
                wait_s += weight * (max(0.0, work_s) / slots - wait_s)
            busy = calls / slots if calls < slots else 1.0
            penalty_s = service_s * _FULL_LOAD_SLOWDOWN * busy
            if node_id != own_id:
                penalty_s += distance_s
            if failed_share:
                penalty_s += _FAILURE_PENALTY * failed_share * (service_s + wait_s)
            candidates.append(Candidate(member, service_s, wait_s, penalty_s))
        return candidates

    def _mean_service_s(self, members: Sequence[Member]) -> float:
        """Return the mean reported service time, used for members without a report."""
        reports = self._gate_reports
        total_s, count = 0.0, 0
        for member in members:
            report = reports.get(member.node_id)
            if report is not None and report.results.service_s:
                total_s += report.results.service_s
                count += 1
        return total_s / count if count else _DEFAULT_SERVICE_TIME_S

    def _distance_penalty_s(
        self, member: Member, penalties: DistancePenalties
    ) -> float:
        if member.node_id == self._locality.node_id:
            return 0.0
        return self._zone_distance_s(member, penalties)

    def _zone_distance_s(self, member: Member, penalties: DistancePenalties) -> float:
        if member.availability_zone == self._locality.availability_zone:
            return penalties.same_zone_s
        if member.region == self._locality.region:
            return penalties.same_region_s
        return penalties.other_region_s


def _is_recent(report: _GateReport | None, now_s: float) -> bool:
    return (
        report is not None and now_s - report.received_at_s < _REPORTED_LOAD_MAX_AGE_S
    )
