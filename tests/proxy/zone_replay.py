"""Replays the calls of three availability zones in virtual time, without a network.

The choice of members, the attempts and the odds of free slots are the product's own;
gates, backend servers and the network are modelled.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure
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
from tests.proxy.modelled_gate import SLOTS, GateAttempt, ModelledGate

_NODES_PER_ZONE = 29
_HOP_S = 0.0005
_CROSSING_HOP_S = 0.001
_ROUTE = "route"
_SERVICE = "service"


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
    timeout_s: float = 2.0
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
    short_p99_s: float
    short_in_time: float
    long_p99_s: float


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

    def for_call(self, service: str, **_: object) -> Pool:
        """Return all members."""
        return self.pool


class _RunningCall:
    """A call with its attempts."""

    def __init__(
        self, replay: "Replay", node: _Node, service_s: float, *, is_heavy: bool
    ) -> None:
        self.replay = replay
        self.node = node
        self.service_s = service_s
        self.is_heavy = is_heavy
        self.started_s = replay.clock.monotonic()
        workspace = "heavy" if is_heavy else "light"
        request = CallRequest(
            "id", workspace, "c", _ROUTE, _SERVICE, 0, True, "GET", "/", ()
        )
        self.call = Call(
            request,
            self.started_s + replay.load.timeout_s,
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
            load, results = gate.load, gate.results()
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

        attempt = GateAttempt(
            on_done,
            self.service_s,
            self.call.request,
            self.call.deadline_s,
            self.call.target_s,
        )
        self.replay.after(hop_s, lambda: gate.arrive(attempt, may_wait=may_wait))

    def _after(
        self, failure: Failure | None, node_id: str, *, crossed: bool, leaves: bool
    ) -> None:
        now_s = self.replay.clock.monotonic()
        if failure is None:
            self.replay.durations_s.append((self.is_heavy, now_s - self.started_s))
            self.replay.crossings += leaves
            return
        assert is_refused_by_node(failure)
        self.state = self.state.after(AttemptFailure(node_id, failure, crossed))
        if self.state is None or now_s >= self.call.deadline_s:
            self.replay.failures += 1
            return
        self.attempt()


class Replay:
    """A replay of one load.

    :param reports_work: whether gates report their remaining work.
    :param tells_long: whether gates treat long requests in their own way.
    """

    def __init__(
        self,
        load: Load,
        *,
        zone_cost: float,
        seed: int = 1,
        reports_work: bool = True,
        tells_long: bool = True,
    ) -> None:
        self.tells_long = tells_long
        self.load = load
        self.reports_work = reports_work
        self.clock = ManualClock()
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.durations_s: list[tuple[bool, float]] = []
        self.attempts = self.crossing_attempts = self.crossings = self.failures = 0
        self.gates: dict[str, ModelledGate] = {}
        zones = range(len(load.servers))
        for zone in zones:
            for i in range(load.servers[zone]):
                member = _member(zone, i, slots=SLOTS)
                mean_s = 0.1 + 0.15 * (i + 0.5) / load.servers[zone]
                self.gates[member.node_id] = ModelledGate(self, member, mean_s)
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
        capacity = sum(SLOTS / (g.mean_s * work_s) for g in self.gates.values())
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
            is_heavy = self._rng.random() < self.load.heavy_share
            if is_heavy:
                service_s *= 7.0
            _RunningCall(self, node, service_s, is_heavy=is_heavy).attempt()
            self._schedule_call(zone, rate)

        self.after(self._rng.expovariate(rate), arrive)

    def _figures(self) -> Figures:
        durations_s = sorted(d for _, d in self.durations_s)
        short_s = [d for is_heavy, d in self.durations_s if not is_heavy]
        count = len(durations_s) + self.failures
        in_time = sum(d <= self.load.target_s for d in durations_s)
        return Figures(
            self.crossings / count,
            self.crossing_attempts / count,
            durations_s[len(durations_s) // 2],
            _p99(durations_s),
            in_time / count,
            self.attempts / count,
            _p99(short_s),
            sum(d <= self.load.target_s for d in short_s) / len(short_s),
            _p99([d for is_heavy, d in self.durations_s if is_heavy]),
        )


def _p99(durations_s: list[float]) -> float:
    return sorted(durations_s)[int(len(durations_s) * 0.99)] if durations_s else 0.0


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
