"""Load balancing: choice of the backend server for each attempt of a call."""

import random
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.cold_share import ColdShares
from burdockdock.proxy.pool import DEFAULT_QUOTAS, Locality, Pool, SampleQuotas

_EJECTION_BASE_S = 2.0
_EJECTION_CAP_S = 30.0
_FAILURES_TO_EJECT = 5
_MAX_EJECTED_SHARE = 0.5
_REPORTED_LOAD_MAX_AGE_S = 2.0
# Assumed while no gate has reported how long its calls run.
_DEFAULT_SERVICE_TIME_S = 0.1
# Calls on a fully loaded backend server run longer by this share.
_FULL_LOAD_SLOWDOWN = 0.15
# A failed attempt costs another attempt and spends the retry budget of all calls.
_FAILURE_PENALTY = 4.0
# Randomizes expected durations by up to this share, so that small differences don't
# send all calls to one member.
_JITTER_SHARE = 0.05


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


class _Health(NamedTuple):
    """Failures and ejections of one backend server as seen by this node."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class _GateReport(NamedTuple):
    """The load and the results that a member's gate last reported."""

    calls: int
    results: GateResults
    received_at_s: float


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
        self._health: dict[str, _Health] = {}
        self._departed: set[str] = set()
        self._cold_shares = cold_shares or ColdShares(
            clock=clock, rng=rng, rate_of=lambda _service: 0.0, nodes=lambda: 1
        )

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
        candidates = self._without_ejected(sample, now_s)
        if len(candidates) == len(sample) < len(pool) - len(excluded):
            candidates = self._healthy_in_sample(sample, pool, now_s)
        candidates = self._cold_shares.within_share(candidates)
        mean_service_s = self._mean_service_s(candidates)
        chosen = min(
            candidates,
            key=lambda m: self._expected_duration_s(
                m, mean_service_s, penalties, now_s
            ),
            default=None,
        )
        if chosen is not None:
            self._cold_shares.sent(chosen)
        return chosen

    def started(self, node_id: str) -> None:
        """Count an attempt in flight."""
        self._departed.discard(node_id)
        self._in_flight[node_id] += 1

    def record_gate_state(
        self, node_id: str, calls: int, results: GateResults | None = None
    ) -> None:
        """Record the state that a member's gate reported.

        :param calls: number of calls running and queued at the gate.
        :param results: results of the gate's latest calls. If they lack a service
            time, the previous one is kept.
        """
        results = results or GateResults()
        previous = self._gate_reports.get(node_id)
        if not results.service_s and previous is not None:
            results = results._replace(service_s=previous.results.service_s)
        self._gate_reports[node_id] = _GateReport(
            calls, results, self._clock.monotonic()
        )

    def finished(self, node_id: str, *, failed: bool) -> None:
        """Record the end of an attempt.

        :param failed: whether the backend server or its node was at fault.
        """
        self._in_flight[node_id] -= 1
        self._update_health(node_id, failed)
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
        self._health.pop(node_id, None)
        self._cold_shares.forget(node_id)

    def _known_calls(
        self, node_id: str, report: _GateReport | None, now_s: float
    ) -> int:
        """Return the number of running and queued calls at a member.

        This is the larger of this node's own attempts there and a recent report.
        """
        calls = self._in_flight.get(node_id, 0)
        if report is None or now_s - report.received_at_s >= _REPORTED_LOAD_MAX_AGE_S:
            return calls
        return max(calls, report.calls)

    def _is_ejected(self, node_id: str, now_s: float) -> bool:
        """Return whether a member is currently ejected for its failures."""
        health = self._health.get(node_id)
        return health is not None and now_s < health.ejected_until_s

    def _expected_duration_s(
        self,
        member: Member,
        mean_service_s: float,
        penalties: DistancePenalties,
        now_s: float,
    ) -> float:
        """Return the expected duration of an attempt at a member, with jitter."""
        report = self._gate_reports.get(member.node_id)
        results = report.results if report is not None else _NO_RESULTS
        slots = max(1, member.slots)
        utilization = self._known_calls(member.node_id, report, now_s) / slots
        waiting = max(0.0, utilization + 1 / slots - 1.0)
        duration_s = results.service_s or mean_service_s
        duration_s *= 1.0 + waiting + _FULL_LOAD_SLOWDOWN * min(1.0, utilization)
        duration_s *= 1.0 + _FAILURE_PENALTY * results.failed_share
        duration_s += self._distance_penalty_s(member, penalties)
        return duration_s * (1.0 + _JITTER_SHARE * (2.0 * self._rng.random() - 1.0))

    def _mean_service_s(self, members: Sequence[Member]) -> float:
        """Return the mean reported service time, used for members without a report."""
        reports = [
            self._gate_reports[m.node_id]
            for m in members
            if m.node_id in self._gate_reports
        ]
        times_s = [r.results.service_s for r in reports if r.results.service_s]
        return sum(times_s) / len(times_s) if times_s else _DEFAULT_SERVICE_TIME_S

    def _distance_penalty_s(
        self, member: Member, penalties: DistancePenalties
    ) -> float:
        if member.node_id == self._locality.node_id:
            return 0.0
        if member.availability_zone == self._locality.availability_zone:
            return penalties.same_zone_s
        if member.region == self._locality.region:
            return penalties.same_region_s
        return penalties.other_region_s

    def _without_ejected(self, members: list[Member], now_s: float) -> list[Member]:
        """Leave out ejected members.

        Return all members if more than the maximum share of them is ejected.
        """
        healthy = [m for m in members if not self._is_ejected(m.node_id, now_s)]
        if len(healthy) < len(members) * (1 - _MAX_EJECTED_SHARE):
            return members
        return healthy

    def _healthy_in_sample(
        self, sample: list[Member], pool: Pool, now_s: float
    ) -> list[Member]:
        """Leave out the ejected members of a sample.

        The maximum ejected share applies to the pool, because a sample may contain a
        larger share of ejected members. Return the whole sample if the pool exceeds
        that share.
        """
        healthy = [m for m in sample if not self._is_ejected(m.node_id, now_s)]
        if not healthy or len(healthy) == len(sample):
            return sample
        ejected = sum(
            self._is_ejected(node_id, now_s)
            for node_id in self._health
            if pool.get(node_id) is not None
        )
        return sample if ejected > len(pool) * _MAX_EJECTED_SHARE else healthy

    def _update_health(self, node_id: str, failed: bool) -> None:
        if not failed:
            self._health.pop(node_id, None)
            return
        health = self._health.get(node_id, _Health())
        count = health.consecutive_failures + 1
        if count < _FAILURES_TO_EJECT:
            self._health[node_id] = health._replace(consecutive_failures=count)
            return
        ejection_s = min(_EJECTION_CAP_S, _EJECTION_BASE_S * 2**health.ejections)
        self._health[node_id] = _Health(
            0, health.ejections + 1, self._clock.monotonic() + ejection_s
        )
