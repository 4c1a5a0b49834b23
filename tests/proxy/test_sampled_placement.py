"""A loaded service of many members, placed by a sample and by comparing all."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.attempts import MAX_FREE_SLOT_ATTEMPTS
from burdockdock.proxy.balancer import LARGE_ANSWERS, NEAR_CALLS, Balancer, Distances
from burdockdock.proxy.pool import EVEN_SHARES, Place, Pool, Shares

_MEMBERS = 64
_SLOTS = 3
_ZONES = 3
_CALLERS = 16
_SPEEDS = (0.5, 0.75, 1.0, 1.25, 1.5)
_WORK_S = 0.2
_LOAD = 0.8
_CALLS = 8_000
_WARM_UP_CALLS = 2_000


class _Whole(Pool):
    """A pool of which all members are compared."""

    def sample(
        self,
        rng: random.Random,
        *,
        excluded: frozenset[str] = frozenset(),
        shares: Shares = EVEN_SHARES,
    ) -> list[Member]:
        """Return all members that were not tried."""
        return [m for m in self if m.node_id not in excluded] or list(self)


class _Server:
    """A member with its slots and its queue."""

    def __init__(self, member: Member, speed: float) -> None:
        self.member = member
        self.speed = speed
        self.free_at_s = [0.0] * _SLOTS
        self.ends_s: list[float] = []

    def calls(self, now_s: float) -> int:
        """Return the calls that run and wait."""
        self.ends_s = [end_s for end_s in self.ends_s if end_s > now_s]
        return len(self.ends_s)

    def has_free_slot(self, now_s: float) -> bool:
        """Tell whether a call would start at once."""
        return self.free_at_s[0] <= now_s

    def run(self, now_s: float, work_s: float) -> float:
        """Take a call; return when it ends."""
        start_s = max(now_s, heapq.heappop(self.free_at_s))
        end_s = start_s + work_s / self.speed
        heapq.heappush(self.free_at_s, end_s)
        self.ends_s.append(end_s)
        return end_s

    def results(self) -> GateResults:
        """Return what the member's gate tells."""
        return GateResults(_WORK_S / self.speed)


class _Caller(NamedTuple):
    """One node that calls the service."""

    place: Place
    balancer: Balancer
    pool: Pool


class _Finish(NamedTuple):
    """How long calls took to their end, and how many left the zone."""

    mean_s: float
    p99_s: float
    far_share: float


class _Replay:
    """One service that many nodes call at once, each with what it heard itself."""

    def __init__(self, pool_of: Callable[..., Pool], distances: Distances) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(11)
        self.distances = distances
        self.servers = {
            server.member.node_id: server
            for server in (
                _Server(_member(i), _SPEEDS[i // _ZONES % len(_SPEEDS)])
                for i in range(_MEMBERS)
            )
        }
        self.callers = [self._caller(i, pool_of) for i in range(_CALLERS)]
        self.answers: list[tuple[float, int, str]] = []
        self.seen: Counter[str] = Counter()

    def finish(self) -> _Finish:
        """Return how the calls of a steady load ended."""
        speeds = sum(server.speed for server in self.servers.values())
        calls_per_s = _LOAD * speeds * _SLOTS / _WORK_S
        taken_s = []
        for _ in range(_CALLS):
            self.clock.advance(self.rng.expovariate(calls_per_s))
            self._hear_answers()
            taken_s.append(self._run_call(self.rng.randrange(_CALLERS)))
        taken_s = sorted(taken_s[_WARM_UP_CALLS:])
        mean_s = sum(taken_s) / len(taken_s)
        far_share = self.seen["far"] / _CALLS
        return _Finish(mean_s, taken_s[int(len(taken_s) * 0.99)], far_share)

    def _caller(self, i: int, pool_of: Callable[..., Pool]) -> _Caller:
        member = _member(i)
        place = Place(member.node_id, member.availability_zone, member.region)
        balancer = Balancer(
            node_id=member.node_id,
            availability_zone=member.availability_zone,
            region=member.region,
            clock=self.clock,
            rng=random.Random(i),
        )
        members = [server.member for server in self.servers.values()]
        return _Caller(place, balancer, pool_of(place, members))

    def _run_call(self, index: int) -> float:
        now_s = self.clock.monotonic()
        caller = self.callers[index]
        server, cost_s = self._place(caller, now_s)
        work_s = _WORK_S * self.rng.uniform(0.5, 1.5)
        end_s = server.run(now_s + cost_s, work_s)
        node_id = server.member.node_id
        caller.balancer.started(node_id)
        heapq.heappush(self.answers, (end_s, index, node_id))
        is_near = server.member.availability_zone == caller.place.availability_zone
        self.seen["near" if is_near else "far"] += 1
        return end_s - now_s

    def _place(self, caller: _Caller, now_s: float) -> tuple[_Server, float]:
        """Ask a few for a free slot, then let the call wait; return the time spent."""
        asked: frozenset[str] = frozenset()
        cost_s = 0.0
        for _ in range(MAX_FREE_SLOT_ATTEMPTS):
            server = self._pick(caller, asked)
            cost_s += self._way_s(caller, server)
            if server.has_free_slot(now_s):
                return server, cost_s
            self._tell(caller, server)
            asked |= {server.member.node_id}
        server = self._pick(caller, frozenset())
        return server, cost_s + self._way_s(caller, server)

    def _pick(self, caller: _Caller, asked: frozenset[str]) -> _Server:
        member = caller.balancer.pick(
            caller.pool, excluded=asked, distances=self.distances
        )
        return self.servers[member.node_id]

    def _way_s(self, caller: _Caller, server: _Server) -> float:
        if server.member.node_id == caller.place.node_id:
            return 0.0
        near = server.member.availability_zone == caller.place.availability_zone
        return NEAR_CALLS.zone_s if near else NEAR_CALLS.region_s

    def _hear_answers(self) -> None:
        now_s = self.clock.monotonic()
        while self.answers and self.answers[0][0] <= now_s:
            _, index, node_id = heapq.heappop(self.answers)
            caller = self.callers[index]
            self._tell(caller, self.servers[node_id])
            caller.balancer.finished(node_id, failed=False)

    def _tell(self, caller: _Caller, server: _Server) -> None:
        calls = server.calls(self.clock.monotonic())
        caller.balancer.tell_load(server.member.node_id, calls, server.results())


def _member(i: int) -> Member:
    zone = f"z{i % _ZONES}"
    return Member(f"n{i}", "h", i, "r", zone, 1, ready=True, slots=_SLOTS)


class SampledPlacementTest(testtools.TestCase):
    """Tests that a sample places calls as well as comparing all does."""

    def test_calls_end_as_soon(self) -> None:
        whole = _Replay(_Whole, NEAR_CALLS).finish()
        sampled = _Replay(Pool, NEAR_CALLS).finish()
        self.assertLess(sampled.mean_s, whole.mean_s * 1.01)
        self.assertLess(sampled.p99_s, whole.p99_s * 1.05)

    def test_large_answers_come_from_near_as_often(self) -> None:
        whole = _Replay(_Whole, LARGE_ANSWERS).finish()
        sampled = _Replay(Pool, LARGE_ANSWERS).finish()
        self.assertLess(sampled.far_share, whole.far_share + 0.01)
        self.assertLess(sampled.mean_s, whole.mean_s * 1.01)
        self.assertLess(sampled.p99_s, whole.p99_s * 1.05)
