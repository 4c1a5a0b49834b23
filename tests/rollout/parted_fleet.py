"""A fleet of candidates and gates in virtual time that cuts part, from a seed.

Participants, owners, leases, records and views are those of a node. The platform, the
links and the callers are stand-ins.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import datetime, timedelta
from types import SimpleNamespace
from typing import Any, NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.gate.model import BackendServer, CallResult
from burdockdock.node.rollouts import RolloutParticipant
from burdockdock.node.store_returns import StoreReturns
from burdockdock.platform_api.era import ordered_version
from burdockdock.rollout.model import ROLLOUT_PREFIX, Phase, Rollout, rollout_from
from burdockdock.rollout.owners import is_candidate
from burdockdock.rollout.start import start_rollout
from burdockdock.rollout.view import is_behind
from tests.rollout.shared_platform import NodePlatform, SharedPlatform
from tests.virtual_time import LoopClock

OLD, NEW = "1", "2"
TICK_S = 0.25
ROLLOUT_S = 11.0
_CALLS_PER_TICK = 6
_CLOSE_DELAY_S = 0.01
_GATES_PER_VERSION = 3
_BYSTANDERS = 1
# Times of the failure detector: from a cut until the others, or the one that is cut
# off, hold members for dead.
_DEATH_S = 5.0
_ISOLATED_DEATH_S = 16.0
_CUT_OFF_FAILURE_SHARE = 0.9
# Time limit of a call that a backend server makes to another service.
_INNER_CALL_S = 0.6
_BAD_FAILURE_SHARE = 0.5
_NORMAL_FAILURE_SHARE = 0.001
_LATENCY_S = 0.006


class Event(NamedTuple):
    """Something that happens to the fleet.

    :param nodes: indices of the nodes that it concerns.
    :param age_s: age of the copy from which the platform returns.
    """

    at_s: float
    kind: str
    nodes: tuple[int, ...] = ()
    age_s: float = 0.0


class _Datagrams:
    """One node's datagrams, which a cut drops."""

    def __init__(self, fleet: "PartedFleet", index: int) -> None:
        self._fleet = fleet
        self._index = index
        self.handlers: dict[str, Callable[[Any, Any], None]] = {}

    def on(self, kind: str, handler: Callable[[Any, Any], None]) -> None:
        """Register the handler of a kind of message."""
        self.handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: Any) -> None:
        """Deliver a message if its target can be reached."""
        target = address[1]
        if self._fleet.runs(self._index) and self._fleet.linked(self._index, target):
            message = _as_message(fields)
            self._fleet.deliver(target, kind, message)


class _FleetNode:
    """One node: its records, its view of the members, and its participant."""

    def __init__(self, fleet: "PartedFleet", index: int, member: Member) -> None:
        self.index = index
        self.clock = LoopClock()
        self.membership = MembershipTable(member, clock=self.clock)
        self.ranking = MemberRanking(self.membership)
        self.records = RecordStore(accept=self._accepts)
        holder = f"{member.node_id}/{member.incarnation}"
        self.platform = NodePlatform(fleet, index, process=holder)
        self._slots: dict[tuple[str, int], dict[str, int]] = {}
        self.datagrams = _Datagrams(fleet, index)
        self.participant = RolloutParticipant(
            records=self.records,
            membership=self.membership,
            ranking=self.ranking,
            datagrams=self.datagrams,
            platform=self.platform,
            clock=self.clock,
            holder=holder,
            spread=lambda record: fleet.spread(index, record),
            notifier=SimpleNamespace(enabled=False),
            change_own=lambda **changes: fleet.change_member(index, **changes),
            running_calls=lambda: 0,
            slots_of=self.slots,
        )
        self.store_returns = StoreReturns(
            platform=self.platform,
            records=self.records,
            view=self.participant.view,
            spread=lambda record: fleet.spread(index, record),
            on_return=self.participant.store_returned,
            rng=fleet.return_rng,
        )
        self.task = asyncio.create_task(self.participant.run())

    def slots(self, service: str) -> dict[str, int]:
        """Return the slots of each version that this node knows to take calls."""
        key = (service, self.membership.generation)
        if key not in self._slots:
            self._slots[key] = self._count_slots(service)
        return self._slots[key]

    def weights(self, service: str) -> dict[str, float]:
        """Return the weights by which this node sends calls."""
        return self.participant.weights(service)

    def _count_slots(self, service: str) -> dict[str, int]:
        found: dict[str, int] = {}
        for m in self.membership:
            if m.takes_work and m.service == service:
                found[m.service_version] = found.get(m.service_version, 0) + m.slots
        return found

    def _accepts(self, record: Record) -> bool:
        held_version = self.records.held_version(record.key)
        return self.participant.view.accepts(record, held_version)

    def close(self) -> None:
        """Stop the node's tasks, also those that start in the same turn of the loop."""
        self.task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(_CLOSE_DELAY_S, self.participant.close)
        loop.call_later(_CLOSE_DELAY_S, self.store_returns.close)


class PartedFleet:
    """Nodes, platform and callers, driven by ticks of virtual time.

    :param bad_from_s: from when on the new version fails; None if it is good.
    """

    def __init__(
        self,
        seed: int,
        *,
        services: tuple[str, ...] = ("desk",),
        bad_from_s: float | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        # Of its own, so that a seed draws the same calls with and without returns.
        self.return_rng = random.Random(f"returns/{seed}")
        self.services = services
        self.bad_from_s = bad_from_s
        self.platform = SharedPlatform()
        self.platform_down = False
        self.answers_lost = False
        self.cut: frozenset[int] = frozenset()
        self.cut_together = False
        self.cut_from_platform = False
        self.cut_at_s = 0.0
        self.healed_at_s = 0.0
        self.bad_answers_at_s: dict[str, list[float]] = {}
        self._paused: dict[int, asyncio.Event] = {}
        self._queued: dict[int, list[tuple[str, Any]]] = {}
        self._restarts = 0
        self.members = self._build_members()
        self.nodes = [_FleetNode(self, i, m) for i, m in enumerate(self.members)]
        for node in self.nodes:
            for member in self.members:
                node.membership.merge(member)

    @property
    def now_s(self) -> float:
        """Virtual seconds since the start."""
        return asyncio.get_running_loop().time()

    def seconds_of(self, at: datetime) -> float:
        """Return the virtual seconds of a wall-clock time."""
        clock = self.nodes[0].clock
        return self.now_s - (clock.now() - at).total_seconds()

    def linked(self, one: int, other: int) -> bool:
        """Return whether two nodes reach each other."""
        if one == other:
            return True
        if self.cut_together:
            return (one in self.cut) == (other in self.cut)
        return one not in self.cut and other not in self.cut

    def runs(self, index: int) -> bool:
        """Return whether a node's process isn't paused."""
        return index not in self._paused

    def reaches_platform(self, index: int) -> bool:
        """Return whether a node reaches the platform."""
        cut_off = self.cut_from_platform and index in self.cut
        return self.runs(index) and not self.platform_down and not cut_off

    async def wait_resumed(self, index: int) -> None:
        """Wait while a node is paused."""
        event = self._paused.get(index)
        if event is not None:
            await event.wait()

    def deliver(self, target: int, kind: str, message: Any) -> None:
        """Pass a message to a node, or queue it while the node is paused."""
        if not self.runs(target):
            self._queued.setdefault(target, []).append((kind, message))
            return
        self.nodes[target].datagrams.handlers[kind](message, None)

    def spread(self, origin: int, record: Record) -> None:
        """Store a record at its origin and at all nodes that it reaches."""
        self.nodes[origin].records.put(record)
        for node in self.nodes:
            if self.linked(origin, node.index) and self._both_run(origin, node.index):
                node.records.put(record)

    def change_member(self, index: int, **changes: object) -> None:
        """Change a node's own entry, and tell the nodes that it reaches."""
        updated = self.nodes[index].membership.update_own(**changes)
        self.members[index] = updated
        for node in self.nodes:
            if self.linked(index, node.index):
                node.membership.merge(updated)

    def outcomes(self) -> dict[tuple[str, int], set[Phase]]:
        """Return the final phases that the platform ever held of each rollout."""
        found: dict[tuple[str, int], set[Phase]] = {}
        for state in self.platform.states:
            if state.phase.final:
                key = (state.service, state.number)
                found.setdefault(key, set()).add(state.phase)
        return found

    def stored(self, service: str) -> Rollout | None:
        """Return a service's rollout as the platform holds it."""
        found = self.platform.objects.get(ROLLOUT_PREFIX + service)
        return rollout_from(found.value) if found else None

    async def start_rollout(self, service: str) -> None:
        """Start a rollout as an operator does."""
        now = self.nodes[0].clock.now()
        await start_rollout(
            self.platform,
            service=service,
            from_version=OLD,
            to_version=NEW,
            deadline=now + timedelta(seconds=ROLLOUT_S),
            author="op",
            reason="test",
            clock=self.nodes[0].clock,
        )

    def return_platform(self, age_s: float) -> None:
        """Let the platform return from a copy.

        What no running node knows of can't be kept by anybody.
        """
        lost = self.platform.return_from_copy(age_s)
        known = [
            found
            for node in self.nodes
            if self.runs(node.index)
            for found in node.participant.view.all()
        ]
        self.platform.forget(
            state
            for state in lost
            if not any(_covers(rollout, state) for rollout in known)
        )

    def apply(self, event: Event) -> None:
        """Let an event happen."""
        kind = event.kind
        if kind.startswith("cut"):
            self.cut = frozenset(event.nodes)
            self.cut_together = "together" in kind
            self.cut_from_platform = "platform" in kind
            self.cut_at_s = self.now_s
        elif kind == "heal":
            self._heal()
        elif kind == "pause":
            self._pause(event.nodes)
        elif kind == "resume":
            self._resume()
        elif kind == "restart":
            for index in event.nodes:
                self._restart(index)
        elif kind in ("platform_down", "platform_up"):
            self.platform_down = kind == "platform_down"
        elif kind in ("answers_lost", "answers_back"):
            self.answers_lost = kind == "answers_lost"
        elif kind == "return":
            self.return_platform(event.age_s)

    async def tick(self) -> None:
        """Let a tick of time pass, with its calls, records and stopped servers."""
        await asyncio.sleep(TICK_S)
        for service in self.services:
            self._call(service)
        self._relay_and_sync()
        self._update_members()
        self._stop_old_servers()

    def majority(self) -> list[_FleetNode]:
        """Return the nodes that reach more than half of the fleet."""
        count = len(self.nodes)
        return [
            node
            for node in self.nodes
            if 2 * sum(self.linked(node.index, i) for i in range(count)) > count
        ]

    def judging(self, service: str) -> bool:
        """Return whether a running candidate reaches more than half of the fleet."""
        return any(
            self.runs(node.index)
            and is_candidate(service, node.membership, node.ranking)
            for node in self.majority()
        )

    def calls_reach(self, node: _FleetNode, service: str, version: str) -> bool:
        """Return whether a node's calls reach a version's gates.

        They don't if the node sends none, or every gate refuses them.
        """
        weights = node.weights(service)
        if version not in node.slots(service) or (weights and not weights.get(version)):
            return False
        return any(
            self.linked(node.index, m.port)
            and self.runs(m.port)
            and not self.nodes[m.port].participant.is_stopped(service, version)
            for m in self.members
            if m.service == service and m.service_version == version and m.ready
        )

    def close(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.close()

    def _build_members(self) -> list[Member]:
        places = [
            (service, version)
            for service in self.services
            for version in (OLD, NEW)
            for _ in range(_GATES_PER_VERSION)
        ]
        places += [("", "")] * _BYSTANDERS
        return [
            Member(
                f"node-{self.rng.randrange(10**6)}-{i}",
                "host",
                i,
                "r",
                "z",
                1,
                ready=bool(service),
                service=service,
                service_version=version,
                slots=8 if service else 0,
            )
            for i, (service, version) in enumerate(places)
        ]

    def _both_run(self, origin: int, target: int) -> bool:
        return self.runs(origin) and self.runs(target)

    def _call(self, service: str) -> None:
        for node in self.nodes:
            if self.runs(node.index):
                self._call_from(node, service)

    def _call_from(self, node: _FleetNode, service: str) -> None:
        weights = node.weights(service)
        targets = [
            m
            for m in node.membership
            if m.takes_work and m.service == service and self.linked(node.index, m.port)
        ]
        versions = sorted({m.service_version for m in targets})
        shares = [weights.get(v, 0.0) if weights else 1.0 for v in versions]
        if not any(shares):
            return
        calls: Counter[str] = Counter()
        by_id = {m.node_id: m for m in targets}
        for version in self.rng.choices(versions, shares, k=_CALLS_PER_TICK):
            gates = [m for m in targets if m.service_version == version]
            calls[self.rng.choice(gates).node_id] += 1
        for node_id, count in calls.items():
            self._serve(by_id[node_id], service, count)

    def _serve(self, gate: Member, service: str, calls: int) -> None:
        """Let a gate serve calls of one node, and observe their results."""
        version = gate.service_version
        node = self.nodes[gate.port]
        if not self.runs(node.index) or node.participant.is_stopped(service, version):
            return
        backend = BackendServer(service, version, "h", 1)
        failure_share = self._failure_share(gate)
        for _ in range(calls):
            failed = self.rng.random() < failure_share
            result = CallResult("route", "w", "class", _LATENCY_S, failed, False)
            node.participant.observe(result, backend)
            if failed and version == NEW and self._is_bad():
                self._count_bad_answer(node, service)

    def _count_bad_answer(self, node: _FleetNode, service: str) -> None:
        """Record a bad answer, unless it was given behind a cut."""
        if node in self.majority():
            self.bad_answers_at_s.setdefault(service, []).append(self.now_s)

    def _failure_share(self, gate: Member) -> float:
        """Return how many of a gate's calls fail; one cut off can't call others."""
        parted_s = self.now_s - self.cut_at_s
        if gate.port in self.cut and parted_s >= _INNER_CALL_S:
            return _CUT_OFF_FAILURE_SHARE
        if gate.service_version == NEW and self._is_bad():
            return _BAD_FAILURE_SHARE
        return _NORMAL_FAILURE_SHARE

    def _is_bad(self) -> bool:
        return self.bad_from_s is not None and self.now_s >= self.bad_from_s

    def _relay_and_sync(self) -> None:
        for node in self.nodes:
            if self.reaches_platform(node.index):
                self._relay(node)
        for one in self.nodes:
            for other in self.nodes:
                same = one.records.digest == other.records.digest
                if same or not self.linked(one.index, other.index):
                    continue
                if self._both_run(one.index, other.index):
                    for record in one.records.newer_than(other.records.versions()):
                        other.records.put(record)

    def _relay(self, node: _FleetNode) -> None:
        node.platform.note_era()
        for key, found in self.platform.objects.items():
            if key.startswith(ROLLOUT_PREFIX):
                version = ordered_version(self.platform.era_number, found.version)
                if version > node.records.version(key):
                    value = rollout_from(found.value).encode()
                    node.records.put(Record(key, version, value))

    def _update_members(self) -> None:
        """Let nodes hold for dead whom they didn't reach for long."""
        if not self.cut:
            return
        parted_s = self.now_s - self.cut_at_s
        for node in self.nodes:
            limit_s = _ISOLATED_DEATH_S if node.index in self.cut else _DEATH_S
            if parted_s < limit_s:
                continue
            for member in node.membership.live():
                if not self.linked(node.index, member.port):
                    node.membership.suspect(member.node_id)
                    node.membership.confirm_dead(
                        member.node_id, incarnation=member.incarnation
                    )

    def _heal(self) -> None:
        self.cut = frozenset()
        self.healed_at_s = self.now_s
        self._refresh_members()

    def _refresh_members(self) -> None:
        """Let all nodes refute what is believed of them."""
        for node in self.nodes:
            updated = node.membership.update_own(state=MemberState.ALIVE)
            self.members[node.index] = updated
        for node in self.nodes:
            for member in self.members:
                if self.linked(node.index, member.port):
                    node.membership.merge(member)

    def _pause(self, indices: tuple[int, ...]) -> None:
        for index in indices:
            self._paused.setdefault(index, asyncio.Event())

    def _resume(self) -> None:
        paused, self._paused = self._paused, {}
        for event in paused.values():
            event.set()
        queued, self._queued = self._queued, {}
        for target, messages in queued.items():
            for kind, message in messages:
                self.deliver(target, kind, message)

    def _restart(self, index: int) -> None:
        """Replace a node's process by one that knows nothing."""
        previous = self.nodes[index]
        previous.close()
        self._restarts += 1
        member = previous.membership.own
        member = member._replace(incarnation=member.incarnation + 1000 * self._restarts)
        self.members[index] = member
        node = _FleetNode(self, index, member)
        self.nodes[index] = node
        for other in self.nodes:
            if self.linked(index, other.index):
                other.membership.merge(member)
                node.membership.merge(self.members[other.index])

    def _stop_old_servers(self) -> None:
        """Stop the old version's servers once the platform holds the rollout as done.

        A node hears of it from the backend server beside it, cut off or not.
        """
        for service in self.services:
            stored = self.stored(service)
            if stored is None or stored.phase is not Phase.DONE:
                continue
            for node in self.nodes:
                own = node.membership.own
                if own.service == service and own.service_version == OLD and own.ready:
                    self.change_member(node.index, ready=False, leaving=True)


def _as_message(value: Any) -> Any:
    """Return a value whose dicts are read by attribute, as a decoded message is."""
    if isinstance(value, dict):
        return SimpleNamespace(**{k: _as_message(v) for k, v in value.items()})
    if isinstance(value, list):
        return [_as_message(item) for item in value]
    return value


@contextmanager
def running(fleet: PartedFleet) -> Iterator[PartedFleet]:
    """Close a fleet's nodes at the end."""
    try:
        yield fleet
    finally:
        fleet.close()


def _covers(rollout: Rollout, state: Rollout) -> bool:
    """Return whether a known state of a rollout is as far as another one."""
    same_service = rollout.service == state.service
    return same_service and not is_behind(rollout, state)
