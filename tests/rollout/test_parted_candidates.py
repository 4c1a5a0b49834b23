"""Model test of rollouts: candidates, lease, records and cuts in random orders."""

import random
from collections.abc import Callable
from typing import NamedTuple

import testtools

from burdockdock.rollout.model import Phase
from tests.rollout.parted_fleet import (
    NEW,
    OLD,
    ROLLOUT_S,
    Event,
    PartedFleet,
    running,
)
from tests.virtual_time import run_virtually

_ORDERS = 300
_RETURN_ORDERS = 200
_START_S = 0.5
_NODES = 7
# Time in which all nodes agree after a cut, and in which a bad version is stopped.
_AGREEMENT_S = 5.0
_STOP_S = 5.0
_BAD_ANSWERS = 50
_MAX_COPY_AGE_S = 9.0
# Time in which the lease is taken anew after a return: its term of 4 s, and a second
# each for noticing the return and for the next try.
_LEASE_TAKEN_S = 6.0
# Time after which the operator starts a rollout again that the platform lost.
_OPERATOR_DELAY_S = 1.0
_CUT_KINDS = (
    "cut",
    "cut_platform",
    "cut_together",
    "cut_together_platform",
)


class Case(NamedTuple):
    """One order of events.

    :param bad_from_s: from when on the new version fails; None if it is good.
    :param again: whether a rollout that was rolled back is followed by another one of
        the same version.
    """

    seed: int
    events: tuple[Event, ...]
    bad_from_s: float | None
    services: tuple[str, ...]
    again: bool = False

    @property
    def restarts_behind_cut(self) -> bool:
        """Whether several nodes that a cut parts together may forget all others.

        Then nothing tells them that they are but a part of the service.
        """
        cut = next(e for e in self.events if e.kind.startswith("cut"))
        restarted = any(e.kind == "restart" for e in self.events)
        return "together" in cut.kind and restarted

    def returned_s(self, *, before_s: float) -> float:
        """Return when the platform last returned from a copy, -inf if never."""
        return max(
            [e.at_s for e in self.events if e.kind == "return" and e.at_s <= before_s],
            default=float("-inf"),
        )

    @property
    def end_s(self) -> float:
        """When everything must be settled."""
        last_s = max(event.at_s for event in self.events)
        rollouts_s = _START_S + ROLLOUT_S * (2 + self.again)
        returned_s = self.returned_s(before_s=last_s)
        if returned_s > 0:
            last_s = max(last_s, returned_s + _LEASE_TAKEN_S)
            # The first rollout may end only now, and be followed by another one.
            again_s = self.again * (ROLLOUT_S + _AGREEMENT_S)
            rollouts_s = max(rollouts_s, last_s + _LEASE_TAKEN_S + again_s)
        return max(last_s + 2 * _AGREEMENT_S, rollouts_s)


def _pair(
    rng: random.Random, kind: str, until: str, length_s: tuple[float, float]
) -> list[Event]:
    """Return an event that lasts for some time, and its end."""
    at_s = rng.uniform(0.0, ROLLOUT_S + 2.0)
    nodes = tuple(rng.sample(range(_NODES), rng.randint(1, 3)))
    end_s = at_s + rng.uniform(*length_s)
    return [Event(at_s, kind, nodes), Event(end_s, until)]


def random_case(seed: int) -> Case:
    """Return an order of events that follows from a seed."""
    rng = random.Random(f"case/{seed}")
    events = _pair(rng, rng.choice(_CUT_KINDS), "heal", (1.0, 14.0))
    if rng.random() < 0.3:
        events += _pair(rng, "pause", "resume", (0.5, 6.0))
    if rng.random() < 0.3:
        events += _pair(rng, "platform_down", "platform_up", (0.5, 5.0))
    if rng.random() < 0.3:
        events += _pair(rng, "answers_lost", "answers_back", (0.2, 3.0))
    for _ in range(rng.choice((0, 0, 1, 2))):
        at_s = rng.uniform(0.0, ROLLOUT_S)
        events.append(Event(at_s, "restart", (rng.randrange(_NODES),)))
    bad_from_s = rng.uniform(0.0, ROLLOUT_S) if rng.random() < 0.4 else None
    services = ("desk",) if rng.random() < 0.8 else ("desk", "trip")
    again = rng.random() < 0.2
    return Case(seed, tuple(sorted(events)), bad_from_s, services, again)


def random_return_case(seed: int) -> Case:
    """Return an order of events in which the platform returns from older copies."""
    case = random_case(seed)
    rng = random.Random(f"returns/{seed}")
    at_s = rng.uniform(_START_S, ROLLOUT_S + 3.0)
    events = list(case.events)
    for _ in range(rng.choice((1, 1, 2, 3))):
        events.append(Event(at_s, "return", age_s=rng.uniform(0.0, _MAX_COPY_AGE_S)))
        at_s += rng.choice((rng.uniform(0.0, 2.0), rng.uniform(2.0, 9.0)))
    return case._replace(events=tuple(sorted(events)))


class _Checks:
    """The invariants, checked at each tick of a case."""

    def __init__(self, fleet: PartedFleet, case: Case) -> None:
        self._fleet = fleet
        self._case = case
        self._judging_since_s: dict[str, float] = {}
        self._restarted_rollouts: set[str] = set()
        self.broken = ""

    def check(self) -> None:
        """Check every invariant; keep the first that is broken."""
        for service in self._case.services:
            for check in (
                self._one_outcome,
                self._one_writer_of_an_epoch,
                self._outcome_in_force,
                self._some_calls_are_sent,
                self._all_agree,
                self._good_version_has_no_fault,
                self._bad_version_is_stopped,
            ):
                reason = check(service)
                if reason and not self.broken:
                    self.broken = f"{check.__name__}: {reason} at {self._now_s:.2f} s"

    @property
    def _now_s(self) -> float:
        return self._fleet.now_s

    @property
    def _settled(self) -> bool:
        """Whether the last event is longer ago than nodes need to agree."""
        return self._now_s > self._case.end_s - _AGREEMENT_S

    def _one_outcome(self, service: str) -> str:
        for key, phases in self._fleet.outcomes().items():
            if key[0] == service and len(phases) > 1:
                return f"rollout {key} ended as {sorted(phases)}"
        stored = self._fleet.stored(service)
        if self._settled and (stored is None or not stored.phase.final):
            return f"not ended: {stored}"
        return ""

    def _one_writer_of_an_epoch(self, _: str) -> str:
        shared = self._fleet.platform.shared_epochs
        return shared[0] if shared else ""

    def _outcome_in_force(self, service: str) -> str:
        """A version that a node knows as moved to isn't refused there."""
        for node in self._fleet.nodes:
            rollout = node.participant.view.get(service)
            if rollout is None or rollout.phase is not Phase.DONE:
                continue
            if NEW in node.slots(service) and not node.weights(service).get(NEW):
                return f"node {node.index} refuses a version that is done"
        return ""

    def _some_calls_are_sent(self, service: str) -> str:
        """While a version has servers that a node knows, it sends calls to some."""
        for node in self._fleet.nodes:
            slots = node.slots(service)
            weights = node.weights(service)
            if slots and weights and not any(weights.get(v) for v in slots):
                return f"node {node.index} refuses {sorted(slots)}"
        return ""

    def _all_agree(self, service: str) -> str:
        since_s = self._now_s - max(
            [e.at_s for e in self._case.events if e.at_s <= self._now_s], default=0.0
        )
        if since_s <= _AGREEMENT_S or self._fleet.cut or not self._settled:
            return ""
        views = {repr(sorted(n.weights(service).items())) for n in self._fleet.nodes}
        return f"nodes differ: {sorted(views)}" if len(views) > 1 else ""

    def _good_version_has_no_fault(self, service: str) -> str:
        if self._case.bad_from_s is not None or self._case.restarts_behind_cut:
            return ""
        for state in self._fleet.platform.states:
            reason = state.history[-1].reason
            faulty = state.phase is Phase.ROLLED_BACK and "failures" in reason
            if state.service == service and faulty:
                return f"a good version was rolled back: {reason}"
        return ""

    def _bad_version_is_stopped(self, service: str) -> str:
        """Nodes that reach most others stop a bad version, cut or not."""
        now_s = self._now_s
        if not self._fleet.judging(service):
            self._judging_since_s.pop(service, None)
            return ""
        since_s = self._judging_since_s.setdefault(service, now_s)
        stored = self._fleet.stored(service)
        if stored is None:
            return ""
        started_s = self._fleet.seconds_of(stored.started_at)
        seen = self._fleet.bad_answers_at_s.get(service, [])
        seen = [at_s for at_s in seen if at_s >= started_s]
        if len(seen) < _BAD_ANSWERS:
            return ""
        returned_s = self._case.returned_s(before_s=now_s)
        stopped_by_s = max(
            seen[_BAD_ANSWERS - 1] + _STOP_S,
            since_s + _STOP_S,
            returned_s + _LEASE_TAKEN_S,
        )
        if stored.phase is Phase.DONE:
            late = self._fleet.seconds_of(stored.step_at) > stopped_by_s
            return "a bad version was ended as done" if late else ""
        if now_s <= stopped_by_s:
            return ""
        for node in self._fleet.majority():
            slots = node.slots(service)
            if not self._fleet.runs(node.index) or OLD not in slots:
                continue
            if self._fleet.calls_reach(node, service, NEW):
                return f"node {node.index} still sends calls to a bad version"
        return ""


async def _run(case: Case) -> str:
    """Play a case; return which invariant it broke first, empty if none."""
    fleet = PartedFleet(case.seed, services=case.services, bad_from_s=case.bad_from_s)
    checks = _Checks(fleet, case)
    events = list(case.events)
    with running(fleet):
        started = False
        while fleet.now_s < case.end_s and not checks.broken:
            if not started and fleet.now_s >= _START_S:
                started = True
                for service in case.services:
                    await fleet.start_rollout(service)
            while events and events[0].at_s <= fleet.now_s:
                fleet.apply(events.pop(0))
            await fleet.tick()
            if case.again:
                await _start_again(fleet, case)
            if started:
                await _start_lost(fleet, case)
            if started:
                checks.check()
    return checks.broken


async def _start_again(fleet: PartedFleet, case: Case) -> None:
    """Start a second rollout of a service whose first one was rolled back."""
    for service in case.services:
        stored = fleet.stored(service)
        if stored and stored.number == 1 and stored.phase is Phase.ROLLED_BACK:
            await fleet.start_rollout(service)


async def _start_lost(fleet: PartedFleet, case: Case) -> None:
    """Start again what the platform lost, as an operator does a bit later."""
    returned_s = case.returned_s(before_s=fleet.now_s)
    if fleet.now_s < returned_s + _OPERATOR_DELAY_S:
        return
    for service in case.services:
        if fleet.stored(service) is None:
            await fleet.start_rollout(service)


def play(case: Case) -> str:
    """Play a case in virtual time; return which invariant it broke first."""
    broken = []

    async def run() -> None:
        random.seed(case.seed)
        broken.append(await _run(case))

    run_virtually(run())
    return broken[0]


class PartedCandidatesTest(testtools.TestCase):
    """Tests that a rollout has one outcome, whatever is parted."""

    def _check_all(self, make: Callable[[int], Case], count: int) -> None:
        found = {}
        for seed in range(count):
            broken = play(make(seed))
            if broken:
                found[seed] = broken
        self.assertEqual({}, found)

    def test_random_orders_of_events(self) -> None:
        self._check_all(random_case, _ORDERS)

    def test_returns_of_the_platform_from_older_copies(self) -> None:
        self._check_all(random_return_case, _RETURN_ORDERS)
