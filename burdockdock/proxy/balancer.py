"""Choice of the backend server for an attempt of a call."""

import random
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.pool import EVEN_SHARES, Place, Pool, Shares

_EJECTION_BASE_S = 2.0
_EJECTION_CAP_S = 30.0
_FAILURES_TO_EJECT = 5
_MAX_EJECTED_SHARE = 0.5
_LOAD_FRESH_S = 2.0
# Where no gate told how long calls run.
_UNKNOWN_SERVICE_S = 0.1
# Backend servers slow down as they fill up: at full load by this share.
_CROWDING = 0.15
# A failed attempt costs about another one, and a budget that all calls share.
_FAILURE_COST = 4.0
# Differences below this share are no reason to send all calls to one place.
_JITTER = 0.05


class DistancePenalties(NamedTuple):
    """What an attempt beyond this node's own VM costs, in seconds of a call's time.

    :param same_zone_s: to another node of the availability zone.
    :param same_region_s: to another availability zone.
    :param other_region_s: to another region.
    :param shares: how near the members are that are compared in a large service.
    """

    same_zone_s: float = 0.002
    same_region_s: float = 0.02
    other_region_s: float = 0.1
    shares: Shares = EVEN_SHARES


_NO_RESULTS = GateResults()
DEFAULT_PENALTIES = DistancePenalties()
# Large answers cost the network between availability zones far more than time.
LARGE_ANSWER_PENALTIES = DistancePenalties(
    same_region_s=0.45, other_region_s=1.0, shares=Shares(14, 15)
)


class _Health(NamedTuple):
    """Results of one backend server as seen from this node."""

    failures_in_row: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class _Told(NamedTuple):
    """What a backend server's node told with an answer."""

    calls: int
    results: GateResults
    told_at_s: float


class Balancer:
    """Picks the member where a call is expected to end first.

    All members of a small service are compared, of a larger one a sample, so that the
    choice costs no more in a larger fleet. It answers loads under which backend servers
    differ in speed and are full in turn: the time at a member is what its gate tells of
    its calls, longer by those that wait there, by its failures, and by the distance.

    :param node_id: this node's own, empty where it has no backend server.
    :param availability_zone: this node's own.
    :param region: this node's own.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        region: str,
        clock: Clock,
        rng: random.Random,
        node_id: str = "",
    ) -> None:
        self._place = Place(node_id, availability_zone, region)
        self._clock = clock
        self._rng = rng
        self._in_flight: dict[str, int] = defaultdict(int)
        self._told: dict[str, _Told] = {}
        self._health: dict[str, _Health] = {}
        self._gone: set[str] = set()

    def pick(
        self,
        members: Sequence[Member],
        *,
        excluded: frozenset[str] = frozenset(),
        penalties: DistancePenalties = DEFAULT_PENALTIES,
    ) -> Member | None:
        """Return the member to send an attempt to.

        :param members: those that may take the call.
        :param excluded: node ids that were tried already.
        """
        pool = members if isinstance(members, Pool) else Pool(self._place, members)
        now_s = self._clock.monotonic()
        shares = penalties.shares
        sample = pool.sample(self._rng, excluded=excluded, shares=shares)
        candidates = self._without_ejected(sample, now_s)
        if len(candidates) == len(sample) < len(pool) - len(excluded):
            candidates = self._healthy_of_sample(sample, pool, now_s)
        usual_s = self._usual_service_s(candidates)
        return min(
            candidates,
            key=lambda m: self._expected_s(m, usual_s, penalties, now_s),
            default=None,
        )

    def started(self, node_id: str) -> None:
        """Count an attempt in flight."""
        self._gone.discard(node_id)
        self._in_flight[node_id] += 1

    def record_load(
        self, node_id: str, calls: int, results: GateResults | None = None
    ) -> None:
        """Take in what a backend server's node told of its load.

        :param calls: calls that run and wait there.
        """
        results = results or GateResults()
        known = self._told.get(node_id)
        if not results.service_s and known is not None:
            results = results._replace(service_s=known.results.service_s)
        self._told[node_id] = _Told(calls, results, self._clock.monotonic())

    def finished(self, node_id: str, *, failed: bool) -> None:
        """Take in how an attempt ended.

        :param failed: the backend server's or its node's own fault.
        """
        self._in_flight[node_id] -= 1
        self._judge(node_id, failed)
        if not self._in_flight[node_id]:
            del self._in_flight[node_id]
            if node_id in self._gone:
                self.forget(node_id)

    def forget(self, node_id: str) -> None:
        """Drop what is known of a member that is gone.

        Attempts still in flight there end first.
        """
        if node_id in self._in_flight:
            self._gone.add(node_id)
            return
        self._gone.discard(node_id)
        self._told.pop(node_id, None)
        self._health.pop(node_id, None)

    def _calls_at(self, node_id: str, told: _Told | None, now_s: float) -> int:
        """Return how many calls a member has, as far as this node knows."""
        calls = self._in_flight.get(node_id, 0)
        if told is None or now_s - told.told_at_s >= _LOAD_FRESH_S:
            return calls
        return max(calls, told.calls)

    def _is_ejected(self, node_id: str, now_s: float) -> bool:
        """Tell whether a member is left out for its failures."""
        health = self._health.get(node_id)
        return health is not None and now_s < health.ejected_until_s

    def _expected_s(
        self, member: Member, usual_s: float, penalties: DistancePenalties, now_s: float
    ) -> float:
        """Return how long an attempt at a member is expected to take."""
        told = self._told.get(member.node_id)
        results = told.results if told is not None else _NO_RESULTS
        slots = max(1, member.slots)
        utilization = self._calls_at(member.node_id, told, now_s) / slots
        waiting = max(0.0, utilization + 1 / slots - 1.0)
        expected_s = results.service_s or usual_s
        expected_s *= 1.0 + waiting + _CROWDING * min(1.0, utilization)
        expected_s *= 1.0 + _FAILURE_COST * results.failed_share
        expected_s += self._distance_penalty_s(member, penalties)
        return expected_s * (1.0 + _JITTER * (2.0 * self._rng.random() - 1.0))

    def _usual_service_s(self, members: list[Member]) -> float:
        """Return the mean time told, for members that told none yet."""
        told = [self._told[m.node_id] for m in members if m.node_id in self._told]
        known = [entry.results.service_s for entry in told if entry.results.service_s]
        return sum(known) / len(known) if known else _UNKNOWN_SERVICE_S

    def _distance_penalty_s(
        self, member: Member, penalties: DistancePenalties
    ) -> float:
        if member.node_id == self._place.node_id:
            return 0.0
        if member.availability_zone == self._place.availability_zone:
            return penalties.same_zone_s
        if member.region == self._place.region:
            return penalties.same_region_s
        return penalties.other_region_s

    def _without_ejected(self, members: list[Member], now_s: float) -> list[Member]:
        """Leave out ejected members, but never more than a share of them."""
        healthy = [m for m in members if not self._is_ejected(m.node_id, now_s)]
        if len(healthy) < len(members) * (1 - _MAX_EJECTED_SHARE):
            return members
        return healthy

    def _healthy_of_sample(
        self, sample: list[Member], pool: Pool, now_s: float
    ) -> list[Member]:
        """Leave out ejected members unless more than a share of the pool is.

        A sample may hold a larger share of them than the pool does.
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

    def _judge(self, node_id: str, failed: bool) -> None:
        if not failed:
            self._health.pop(node_id, None)
            return
        health = self._health.get(node_id, _Health())
        count = health.failures_in_row + 1
        if count < _FAILURES_TO_EJECT:
            self._health[node_id] = health._replace(failures_in_row=count)
            return
        seconds_s = min(_EJECTION_CAP_S, _EJECTION_BASE_S * 2**health.ejections)
        self._health[node_id] = _Health(
            0, health.ejections + 1, self._clock.monotonic() + seconds_s
        )
