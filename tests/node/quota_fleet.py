"""The quota services of a whole fleet in virtual time, with a simulated network."""

import asyncio
import random
from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any, NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.quota import QuotaBounds, QuotaLimit
from burdockdock.coordination.quota_stock import Token
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.tree import rank
from burdockdock.coordination.verdict import Failure
from burdockdock.node.quota_service import QuotaService
from tests.virtual_time import LoopClock

ZONES = ("a", "b", "c")
_PROBE_PERIOD_S = 1.0
_SUSPICION_S = 4.0
_ISOLATION_S = 12.0
_DELAY_S = (0.0002, 0.0015)
_PORT = 7000
_DEAD = MemberState.DEAD


class Admission(NamedTuple):
    """What became of one request."""

    workspace: str
    node_id: str
    arrived_s: float
    ended_s: float
    failure: Failure | None


class SimulatedNode:
    """One node's quota service; it also stands in for the node's datagrams."""

    def __init__(self, fleet: "SimulatedFleet", node_id: str, incarnation: int) -> None:
        self.node_id = node_id
        self.zone = _zone_of(node_id)
        self.alive = True
        self.paused_since_s: float | None = None
        self.answers: deque[bool] = deque(maxlen=3)
        self.handlers: dict[str, Callable[[Any, Any], None]] = {}
        self.counters: dict[str, int] = defaultdict(int)
        self.sent = 0
        self._fleet = fleet
        self.membership = MembershipTable(
            member_of(node_id, incarnation), clock=fleet.clock
        )
        self.service = QuotaService(
            membership=self.membership,
            ranking=MemberRanking(self.membership),
            datagrams=self,
            limit_of=lambda workspace: fleet.limits.get(workspace),
            probe_answers=lambda: self.answers,
            bounds=fleet.bounds,
            clock=fleet.clock,
            rng=random.Random(f"{node_id}/{incarnation}"),
            count=self._count,
        )
        self.task = asyncio.create_task(self.service.run())

    def on(self, kind: str, handler: Callable[[Any, Any], None]) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Send a message over the simulated network."""
        self.sent += 1
        self._fleet.deliver(self, address[0], kind, SimpleNamespace(**fields))

    def _count(self, name: str, *, label: str = "", by: int = 1) -> None:
        self.counters[f"{name}/{label}" if name == "quota_grants" else name] += by


class SimulatedFleet:
    """Nodes in three zones, which can be cut off, killed and started again."""

    def __init__(
        self,
        *,
        nodes: int,
        limits: dict[str, QuotaLimit],
        seed: int,
        loss: float = 0.01,
        bounds: QuotaBounds | None = None,
    ) -> None:
        self.clock = LoopClock()
        self.limits = limits
        self.bounds = bounds or QuotaBounds()
        self.rng = random.Random(seed)
        self.loss = loss
        self.admissions: list[Admission] = []
        self.parts: dict[str, int] = defaultdict(int)
        self._incarnation = 1
        self._tasks: set[asyncio.Task[Any]] = set()
        ids = [f"{ZONES[i % 3]}{i}" for i in range(nodes)]
        self.nodes = {node_id: SimulatedNode(self, node_id, 1) for node_id in ids}
        for node in self.nodes.values():
            for other in ids:
                node.membership.merge(member_of(other, 1))
        self._probes = asyncio.create_task(self._probe())

    def close(self) -> None:
        """Stop the nodes."""
        self._probes.cancel()
        for node in self.nodes.values():
            node.task.cancel()

    def connected(self, a: str, b: str) -> bool:
        """Return whether datagrams pass between two nodes."""
        return (
            self.parts[a] == self.parts[b]
            and self.nodes[a].alive
            and self.nodes[b].alive
        )

    def deliver(self, sender: SimulatedNode, to: str, kind: str, message: Any) -> None:
        """Deliver a message after a delay, unless it is lost."""
        if self.rng.random() < self.loss or not self.connected(sender.node_id, to):
            return
        delay_s = self.rng.uniform(*_DELAY_S)
        loop = asyncio.get_running_loop()
        loop.call_later(
            delay_s, self._receive, self.nodes[to], kind, message, sender.node_id
        )

    def _receive(self, node: SimulatedNode, kind: str, message: Any, by: str) -> None:
        if node.alive and self.nodes[node.node_id] is node:
            node.handlers[kind](message, (by, _PORT))

    async def request(self, workspace: str, node_id: str) -> Token | Failure | None:
        """Send a request to a node; record whether it was admitted."""
        node = self.nodes[node_id]
        if not node.alive:
            return None
        arrived_s = self.clock.monotonic()
        result = await node.service.client.admit(workspace)
        failure = result if isinstance(result, Failure) else None
        self.admissions.append(
            Admission(workspace, node_id, arrived_s, self.clock.monotonic(), failure)
        )
        return result

    def start_request(self, workspace: str, node_id: str) -> None:
        """Send a request to a node, in a task of its own."""
        task = asyncio.create_task(self.request(workspace, node_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def grantor_of(self, workspace: str) -> str:
        """Return the id of the node that ranks first while all are alive."""
        return min(self.nodes, key=lambda n: rank(n, f"quota/{workspace}"))

    def cut(self, node_ids: Iterable[str]) -> None:
        """Cut nodes off from the others; both sides notice as the detector does."""
        cut = set(node_ids)
        rest = set(self.nodes) - cut
        part = max(self.parts.values(), default=0) + 1
        for node_id in cut:
            self.parts[node_id] = part
        self._lose(cut, seen_by=rest)
        self._lose(rest, seen_by=cut)

    def heal(self) -> None:
        """Connect all nodes; they find each other again within a second or two."""
        self.parts.clear()
        self._incarnation += 1
        for node_id in self.nodes:
            self._announce(node_id, self.rng.uniform(0.2, 2.0))

    def kill(self, node_id: str) -> None:
        """Kill a node."""
        node = self.nodes[node_id]
        node.alive = False
        node.task.cancel()
        self._lose({node_id}, seen_by=set(self.nodes) - {node_id})

    def restart(self, node_id: str) -> None:
        """Start a killed node again, with nothing but the membership."""
        self._incarnation += 1
        node = SimulatedNode(self, node_id, self._incarnation)
        source = next(n for n in self.nodes.values() if n.alive)
        for member in source.membership:
            node.membership.merge(member)
        self.nodes[node_id] = node
        self._announce(node_id, 0.0)

    def leave(self, node_id: str) -> None:
        """Let a node announce that it leaves."""
        node = self.nodes[node_id]
        member = node.membership.update_own(leaving=True)
        for other in self.nodes.values():
            if other is not node and self.connected(node_id, other.node_id):
                self._merge_later(other, member, self.rng.uniform(0.001, 0.05))

    def _announce(self, node_id: str, delay_s: float) -> None:
        incarnation = self._incarnation
        loop = asyncio.get_running_loop()

        def announce() -> None:
            node = self.nodes[node_id]
            if not node.alive:
                return
            member = member_of(node_id, incarnation + 1)
            node.membership.merge(member._replace(incarnation=incarnation))
            for other in self.nodes.values():
                if other is not node and self.connected(node_id, other.node_id):
                    self._merge_later(other, member, self.rng.uniform(0.005, 0.4))

        loop.call_later(delay_s, announce)

    def _lose(self, lost: set[str], *, seen_by: set[str]) -> None:
        """Let nodes suspect members and then take them for dead.

        Each node of a part probes one member per second. A node without any answer
        doubts its own link for 12 s before it suspects others.
        """
        # Sorted, since the order of a set of texts differs from run to run.
        observers = [n for n in sorted(seen_by) if self.nodes[n].alive]
        per_period = 1 - (1 - 1 / max(2, len(self.nodes))) ** len(observers)
        for node_id in sorted(lost):
            periods = self.rng.expovariate(per_period)
            suspected_s = self.rng.uniform(0.3, 1.3) + _PROBE_PERIOD_S * min(periods, 9)
            if len(observers) < 0.05 * len(self.nodes):
                suspected_s += _ISOLATION_S
            for observer in observers:
                node = self.nodes[observer]
                for state, at_s in (
                    (MemberState.SUSPECT, suspected_s),
                    (MemberState.DEAD, suspected_s + _SUSPICION_S),
                ):
                    self._change_later(node, node_id, state, at_s)

    def _change_later(
        self, node: SimulatedNode, node_id: str, state: MemberState, delay_s: float
    ) -> None:
        lost_incarnation = node.membership.get(node_id).incarnation
        part = self.parts[node.node_id]

        def change() -> None:
            known = node.membership.get(node_id)
            still_lost = not self.connected(node.node_id, node_id)
            if still_lost and part == self.parts[node.node_id]:
                if known.incarnation == lost_incarnation:
                    node.membership.merge(known._replace(state=state))

        delay_s += self.rng.uniform(0.005, 0.1)
        asyncio.get_running_loop().call_later(delay_s, change)

    def _merge_later(self, node: SimulatedNode, member: Member, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, node.membership.merge, member)

    async def _probe(self) -> None:
        """Let each node probe one member per second."""
        ids = list(self.nodes)
        while True:
            await asyncio.sleep(_PROBE_PERIOD_S)
            for node in self.nodes.values():
                probed = node.membership.get(self.rng.choice(ids))
                if probed.node_id != node.node_id and probed.state is not _DEAD:
                    node.answers.append(self.connected(node.node_id, probed.node_id))


def member_of(node_id: str, incarnation: int) -> Member:
    """Return a member's entry."""
    return Member(node_id, node_id, _PORT, "r", _zone_of(node_id), incarnation)


def _zone_of(node_id: str) -> str:
    return node_id[0]


def tolerance_used(
    admissions: Iterable[Admission], limits: dict[str, QuotaLimit], bounds: QuotaBounds
) -> tuple[float, str, float]:
    """Return how much of the tolerance the worst window uses.

    :returns: requests beyond rate and burst, as a share of those tolerated: above 1 the
        bound is broken; the workspace, and the end of the window.
    """
    times: dict[str, list[float]] = defaultdict(list)
    for admission in admissions:
        if admission.failure is None:
            times[admission.workspace].append(admission.ended_s)
    worst = (float("-inf"), "", 0.0)
    for workspace, ran in times.items():
        limit = limits[workspace]
        allowed = limit.rate_per_s * bounds.window_s + limit.burst
        tolerance = bounds.overage * allowed + bounds.slack
        ran.sort()
        for i, ended_s in enumerate(ran):
            first = bisect_right(ran, ended_s - bounds.window_s)
            used = (i + 1 - first - allowed) / tolerance
            worst = max(worst, (used, workspace, ended_s))
    return worst


def admitted_share(
    admissions: Iterable[Admission],
    limits: dict[str, QuotaLimit],
    *,
    since_s: float = 0.0,
) -> dict[str, tuple[int, int]]:
    """Return each workspace's admitted requests, and those inside its quota.

    :param since_s: requests that arrived before don't count, though they use tokens.
    :returns: for each workspace, how many were admitted and how many an ideal bucket,
        which is empty at first, as a new grantor's is, admits.
    """
    admitted: dict[str, int] = defaultdict(int)
    inside: dict[str, int] = defaultdict(int)
    tokens = dict.fromkeys(limits, (0.0, 0.0))
    for admission in sorted(admissions, key=lambda a: a.arrived_s):
        workspace, now_s = admission.workspace, admission.arrived_s
        limit = limits[workspace]
        held, at_s = tokens[workspace]
        depth = max(1.0, limit.burst)
        held = min(depth, held + (now_s - at_s) * limit.rate_per_s)
        counts = now_s >= since_s
        if held >= 1.0:
            held -= 1.0
            inside[workspace] += counts
        tokens[workspace] = (held, now_s)
        admitted[workspace] += counts and admission.failure is None
    return {w: (admitted[w], inside[w]) for w in inside}
