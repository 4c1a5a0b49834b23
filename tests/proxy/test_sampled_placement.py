"""Tests that comparing a sample of members places calls as well as comparing all.

A simulation runs a loaded service of many members with both choices.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.balancer import (
    DEFAULT_PENALTIES,
    LARGE_ANSWER_PENALTIES,
    Balancer,
    DistancePenalties,
)
from burdockdock.proxy.free_slots import MAX_FREE_SLOT_ATTEMPTS
from burdockdock.proxy.pool import DEFAULT_QUOTAS, Locality, Pool, SampleQuotas

_MEMBER_COUNT = 64
_SLOTS = 3
_ZONE_COUNT = 3
_CALLER_COUNT = 16
_RELATIVE_SPEEDS = (0.5, 0.75, 1.0, 1.25, 1.5)
_MEAN_WORK_S = 0.2
_UTILIZATION = 0.8
_CALL_COUNT = 8_000
_WARM_UP_CALLS = 2_000


class _UnsampledPool(Pool):
    """A pool that is never sampled, so that all members are compared."""

    def sample(
        self,
        rng: random.Random,
        *,
        excluded: frozenset[str] = frozenset(),
        quotas: SampleQuotas = DEFAULT_QUOTAS,
    ) -> list[Member]:
        """Return all members that aren't excluded."""
        return [m for m in self if m.node_id not in excluded] or list(self)


class _Server:
    """A simulated member with its slots and its queue."""

    def __init__(self, member: Member, speed: float) -> None:
        self.member = member
        self.speed = speed
        self.free_at_s = [0.0] * _SLOTS
        self.end_times_s: list[float] = []

    def calls(self, now_s: float) -> int:
        """Return the number of calls running and queued."""
        self.end_times_s = [end_s for end_s in self.end_times_s if end_s > now_s]
        return len(self.end_times_s)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether a call would start immediately."""
        return self.free_at_s[0] <= now_s

    def run(self, now_s: float, work_s: float) -> float:
        """Run a call and return when it ends."""
        start_s = max(now_s, heapq.heappop(self.free_at_s))
        end_s = start_s + work_s / self.speed
        heapq.heappush(self.free_at_s, end_s)
        self.end_times_s.append(end_s)
        return end_s

    def results(self) -> GateResults:
        """Return the results that the member's gate reports."""
        return GateResults(_MEAN_WORK_S / self.speed)


class _Caller(NamedTuple):
    """A node that calls the service."""

    locality: Locality
    balancer: Balancer
    pool: Pool


class _Durations(NamedTuple):
    """Durations of the calls and the share of calls that left the zone."""

    mean_s: float
    p99_s: float
    other_zone_share: float


class _Simulation:
    """A service called by many nodes, each of which knows only its own answers."""

    def __init__(
        self, pool_of: Callable[..., Pool], penalties: DistancePenalties
    ) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(11)
        self.penalties = penalties
        self.servers = {
            server.member.node_id: server
            for server in (
                _Server(
                    _member(i),
                    _RELATIVE_SPEEDS[i // _ZONE_COUNT % len(_RELATIVE_SPEEDS)],
                )
                for i in range(_MEMBER_COUNT)
            )
        }
        self.callers = [self._caller(i, pool_of) for i in range(_CALLER_COUNT)]
        self.answers: list[tuple[float, int, str]] = []
        self.call_counts: Counter[str] = Counter()

    def run(self) -> _Durations:
        """Simulate a steady load and return the durations of its calls."""
        speeds = sum(server.speed for server in self.servers.values())
        calls_per_s = _UTILIZATION * speeds * _SLOTS / _MEAN_WORK_S
        durations_s = []
        for _ in range(_CALL_COUNT):
            self.clock.advance(self.rng.expovariate(calls_per_s))
            self._receive_answers()
            durations_s.append(self._run_call(self.rng.randrange(_CALLER_COUNT)))
        durations_s = sorted(durations_s[_WARM_UP_CALLS:])
        mean_s = sum(durations_s) / len(durations_s)
        other_zone_share = self.call_counts["far"] / _CALL_COUNT
        return _Durations(
            mean_s, durations_s[int(len(durations_s) * 0.99)], other_zone_share
        )

    def _caller(self, i: int, pool_of: Callable[..., Pool]) -> _Caller:
        member = _member(i)
        locality = Locality(member.node_id, member.availability_zone, member.region)
        balancer = Balancer(
            node_id=member.node_id,
            availability_zone=member.availability_zone,
            region=member.region,
            clock=self.clock,
            rng=random.Random(i),
        )
        members = [server.member for server in self.servers.values()]
        return _Caller(locality, balancer, pool_of(locality, members))

    def _run_call(self, index: int) -> float:
        now_s = self.clock.monotonic()
        caller = self.callers[index]
        server, delay_s = self._choose_server(caller, now_s)
        work_s = _MEAN_WORK_S * self.rng.uniform(0.5, 1.5)
        end_s = server.run(now_s + delay_s, work_s)
        node_id = server.member.node_id
        caller.balancer.started(node_id)
        heapq.heappush(self.answers, (end_s, index, node_id))
        is_near = server.member.availability_zone == caller.locality.availability_zone
        self.call_counts["near" if is_near else "far"] += 1
        return end_s - now_s

    def _choose_server(self, caller: _Caller, now_s: float) -> tuple[_Server, float]:
        """Try a few members for a free slot, then let the call queue.

        :returns: the chosen member and the network delay of all tries in seconds.
        """
        tried_ids: frozenset[str] = frozenset()
        delay_s = 0.0
        for _ in range(MAX_FREE_SLOT_ATTEMPTS):
            server = self._pick(caller, tried_ids)
            delay_s += self._network_delay_s(caller, server)
            if server.has_free_slot(now_s):
                return server, delay_s
            self._report_load(caller, server)
            tried_ids |= {server.member.node_id}
        server = self._pick(caller, frozenset())
        return server, delay_s + self._network_delay_s(caller, server)

    def _pick(self, caller: _Caller, tried_ids: frozenset[str]) -> _Server:
        member = caller.balancer.pick(
            caller.pool, excluded=tried_ids, penalties=self.penalties
        )
        return self.servers[member.node_id]

    def _network_delay_s(self, caller: _Caller, server: _Server) -> float:
        if server.member.node_id == caller.locality.node_id:
            return 0.0
        is_near = server.member.availability_zone == caller.locality.availability_zone
        return (
            DEFAULT_PENALTIES.same_zone_s
            if is_near
            else DEFAULT_PENALTIES.same_region_s
        )

    def _receive_answers(self) -> None:
        now_s = self.clock.monotonic()
        while self.answers and self.answers[0][0] <= now_s:
            _, index, node_id = heapq.heappop(self.answers)
            caller = self.callers[index]
            self._report_load(caller, self.servers[node_id])
            caller.balancer.finished(node_id, failed=False)

    def _report_load(self, caller: _Caller, server: _Server) -> None:
        calls = server.calls(self.clock.monotonic())
        caller.balancer.record_gate_state(
            server.member.node_id, calls, server.results()
        )


def _member(i: int) -> Member:
    zone = f"z{i % _ZONE_COUNT}"
    return Member(f"n{i}", "h", i, "r", zone, 1, ready=True, slots=_SLOTS)


class SampledPlacementTest(testtools.TestCase):
    """Tests that calls end as soon with a sample as with all members compared."""

    def test_calls_end_as_soon_as_without_sampling(self) -> None:
        unsampled = _Simulation(_UnsampledPool, DEFAULT_PENALTIES).run()
        sampled = _Simulation(Pool, DEFAULT_PENALTIES).run()
        self.assertLess(sampled.mean_s, unsampled.mean_s * 1.01)
        self.assertLess(sampled.p99_s, unsampled.p99_s * 1.05)

    def test_large_answers_come_from_own_zone_as_often_as_without_sampling(
        self,
    ) -> None:
        unsampled = _Simulation(_UnsampledPool, LARGE_ANSWER_PENALTIES).run()
        sampled = _Simulation(Pool, LARGE_ANSWER_PENALTIES).run()
        self.assertLess(sampled.other_zone_share, unsampled.other_zone_share + 0.01)
        self.assertLess(sampled.mean_s, unsampled.mean_s * 1.01)
        self.assertLess(sampled.p99_s, unsampled.p99_s * 1.05)
