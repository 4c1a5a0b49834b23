"""Replays the calls of three availability zones in virtual time, without a network.

The choice of members, the attempts and the odds of free slots are the product's own;
gates, backend servers and the network are modelled.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest, GateResults
from burdockdock.proxy.attempts import (
    AttemptFailure,
    RetryState,
    initial_state,
    is_refused_by_node,
)
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.call import Call
from burdockdock.proxy.free_slots import FreeSlotOdds
from burdockdock.proxy.member_choice import MemberChoice, ZoneCost
from burdockdock.proxy.pool import Locality, Pool

_SLOTS = 3
_QUEUE_LENGTH = 32
_NODES_PER_ZONE = 29
_TIMEOUT_S = 2.0
_HOP_S = 0.0005
_CROSSING_HOP_S = 0.001
_ROUTE = "route"
_SERVICE = "service"
_SMOOTHING_FACTOR = 0.1


class Load(NamedTuple):
    """A load to replay.

    :param factor: total load as a share of the capacity.
    :param servers: backend servers in each zone.
    :param demands: relative demand of each zone.
    :param heavy_share: share of calls that take seven times as long.
    """

    factor: float
    servers: tuple[int, ...] = (12, 12, 12)
    demands: tuple[float, ...] = (280.0, 219.0, 199.0)
    duration_s: float = 12.0
    target_s: float = 0.6
    heavy_share: float = 0.0


class Figures(NamedTuple):
    """Results of a replay.

    :param crossing: share of the calls that were served in another zone.
    :param crossing_attempts: attempts in another zone for each call.
    :param in_time: share of the calls that were answered before their target.
    """

    crossing: float
    crossing_attempts: float
    p50_s: float
    p99_s: float
    in_time: float
    attempts: float


class _Try(NamedTuple):
    """An attempt at a gate."""

    done: Callable[[Failure | None], None]
    service_s: float
    deadline_s: float
    target_s: float


class _Gate:
    """A modelled gate with its backend server."""

    def __init__(self, replay: "Replay", member: Member, mean_s: float) -> None:
        self.replay = replay
        self.member = member
        self.mean_s = mean_s
        self.learned_s = mean_s
        self.running = 0
        self.queue: deque[_Try] = deque()

    @property
    def load(self) -> int:
        """Calls running and queued."""
        return self.running + len(self.queue)

    def arrive(self, attempt: _Try, *, may_wait: bool) -> None:
        """Run, queue or refuse an attempt."""
        now_s = self.replay.clock.monotonic()
        if self.running < _SLOTS:
            self._start(attempt)
            return
        if not may_wait or len(self.queue) >= _QUEUE_LENGTH:
            attempt.done(Failure(Verdict.NOT_RUN, "queue_full"))
            return
        wait_s = (len(self.queue) + 1) * self.learned_s / _SLOTS
        if now_s + wait_s + 1.2 * self.learned_s > attempt.deadline_s:
            attempt.done(Failure(Verdict.NOT_RUN, "too_little_time"))
            return
        self.queue.append(attempt)

    def _start(self, attempt: _Try) -> None:
        self.running += 1
        service_s = attempt.service_s * self.mean_s
        self.replay.after(service_s, lambda: self._end(attempt, service_s))

    def _end(self, attempt: _Try, service_s: float) -> None:
        self.learned_s += _SMOOTHING_FACTOR * (service_s - self.learned_s)
        attempt.done(None)
        self.running -= 1
        now_s = self.replay.clock.monotonic()
        while self.queue and self.running < _SLOTS:
            on_target = [a for a in self.queue if a.target_s > now_s + self.learned_s]
            chosen = on_target[0] if on_target else self.queue[0]
            self.queue.remove(chosen)
            if now_s + 1.2 * self.learned_s > chosen.deadline_s:
                chosen.done(Failure(Verdict.NOT_RUN, "queue_timeout"))
                continue
            self._start(chosen)


class _Node:
    """A caller's node."""

    def __init__(self, replay: "Replay", member: Member, zone_cost: float) -> None:
        self.member = member
        self.balancer = Balancer(
            node_id=member.node_id,
            availability_zone=member.availability_zone,
            region=member.region,
            clock=replay.clock,
            rng=random.Random(member.node_id),
        )
        cost = ZoneCost(zone_cost, clock=replay.clock, metrics=Metrics())
        self.zone_first = zone_cost > 0
        self.choice = MemberChoice(
            endpoints=self,
            balancer=self.balancer,
            zone_cost=cost if self.zone_first else None,
        )
        self.odds = FreeSlotOdds(clock=replay.clock)
        locality = Locality(member.node_id, member.availability_zone, member.region)
        self.pool = Pool(locality, (g.member for g in replay.gates.values()))

    def for_call(self, service: str, *, full: frozenset[str]) -> Pool:
        """Return all members."""
        return self.pool


class _RunningCall:
    """A call with its attempts."""

    def __init__(self, replay: "Replay", node: _Node, service_s: float) -> None:
        self.replay = replay
        self.node = node
        self.service_s = service_s
        self.started_s = replay.clock.monotonic()
        request = CallRequest("id", "w", "c", _ROUTE, _SERVICE, 0, True, "GET", "/", ())
        self.call = Call(
            request,
            self.started_s + _TIMEOUT_S,
            1,
            target_s=self.started_s + replay.load.target_s,
        )
        asks = node.odds.is_worth_asking(_SERVICE)
        state = initial_state(self.call, asks=asks, zone_first=node.zone_first)
        self.state: RetryState | None = state

    def attempt(self) -> None:
        """Send the next attempt."""
        member = self.node.choice.pick(self.call, self.state)
        node_id = member.node_id
        gate = self.replay.gates[node_id]
        leaves = member.availability_zone != self.node.member.availability_zone
        crossed = self.node.choice.crosses(member)
        may_wait = self.state.may_wait_at(node_id, crossed=crossed)
        self.node.balancer.started(node_id)
        hop_s = _CROSSING_HOP_S if leaves else _HOP_S
        self.replay.attempts += 1
        self.replay.crossing_attempts += leaves

        def on_done(failure: Failure | None) -> None:
            load, results = gate.load, GateResults(gate.learned_s)
            self.replay.after(hop_s, lambda: on_result(failure, load, results))

        def on_result(failure: Failure | None, load: int, results: GateResults) -> None:
            self.node.balancer.record_gate_state(
                node_id, load, results, refused=failure is not None
            )
            self.node.balancer.finished(node_id, failed=False)
            if not may_wait and not crossed:
                if failure is None or failure.reason == "queue_full":
                    self.node.odds.record(_SERVICE, found=failure is None)
            self._after(failure, node_id, crossed=crossed, leaves=leaves)

        attempt = _Try(
            on_done, self.service_s, self.call.deadline_s, self.call.target_s
        )
        self.replay.after(hop_s, lambda: gate.arrive(attempt, may_wait=may_wait))

    def _after(
        self, failure: Failure | None, node_id: str, *, crossed: bool, leaves: bool
    ) -> None:
        now_s = self.replay.clock.monotonic()
        if failure is None:
            self.replay.durations_s.append((self.started_s, now_s - self.started_s))
            self.replay.crossings += leaves
            return
        assert is_refused_by_node(failure)
        self.state = self.state.after(AttemptFailure(node_id, failure, crossed))
        if self.state is None or now_s >= self.call.deadline_s:
            self.replay.failures += 1
            return
        self.attempt()


class Replay:
    """A replay of one load."""

    def __init__(self, load: Load, *, zone_cost: float, seed: int = 1) -> None:
        self.load = load
        self.clock = ManualClock()
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.durations_s: list[tuple[float, float]] = []
        self.attempts = self.crossing_attempts = self.crossings = self.failures = 0
        self.gates: dict[str, _Gate] = {}
        zones = range(len(load.servers))
        for zone in zones:
            for i in range(load.servers[zone]):
                member = _member(zone, i, slots=_SLOTS)
                mean_s = 0.1 + 0.15 * (i + 0.5) / load.servers[zone]
                self.gates[member.node_id] = _Gate(self, member, mean_s)
        self.nodes = [
            [_Node(self, _member(zone, i), zone_cost) for i in range(_NODES_PER_ZONE)]
            for zone in zones
        ]

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        at_s = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def run(self) -> Figures:
        """Replay the load and return its figures."""
        work_s = 1.0 + 6.0 * self.load.heavy_share
        capacity = sum(_SLOTS / (g.mean_s * work_s) for g in self.gates.values())
        total = sum(self.load.demands)
        for zone, demand in enumerate(self.load.demands):
            rate = capacity * self.load.factor * demand / total
            if rate:
                self._schedule_call(zone, rate)
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.monotonic()))
            action()
        return self._figures()

    def _schedule_call(self, zone: int, rate: float) -> None:
        def arrive() -> None:
            if self.clock.monotonic() > self.load.duration_s:
                return
            node = self._rng.choice(self.nodes[zone])
            service_s = self._rng.uniform(0.6, 1.4)
            if self._rng.random() < self.load.heavy_share:
                service_s *= 7.0
            _RunningCall(self, node, service_s).attempt()
            self._schedule_call(zone, rate)

        self.after(self._rng.expovariate(rate), arrive)

    def _figures(self) -> Figures:
        durations_s = sorted(d for _, d in self.durations_s)
        count = len(durations_s) + self.failures
        in_time = sum(d <= self.load.target_s for d in durations_s)
        return Figures(
            self.crossings / count,
            self.crossing_attempts / count,
            durations_s[len(durations_s) // 2],
            durations_s[int(len(durations_s) * 0.99)],
            in_time / count,
            self.attempts / count,
        )


def _member(zone: int, i: int, *, slots: int = 0) -> Member:
    return Member(
        f"z{zone}-{i}",
        "h",
        1,
        "r",
        f"z{zone}",
        1,
        ready=True,
        service=_SERVICE,
        slots=slots,
    )
