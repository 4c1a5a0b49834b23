"""Detection of failed members by probes, without an observer set aside.

Each node probes one member a period, directly and then through others, and
suspects it before it is taken for dead; the member refutes by a higher incarnation
(A. Das, I. Gupta, A. Motivala: SWIM, 2002).
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import (
    Member,
    MembershipTable,
    MemberState,
)
from burdockdock.coordination.records import RecordStore
from burdockdock.logs import log_event
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.overlay.gossip import GossipQueue
from burdockdock.protocol import Message
from burdockdock.protocol.members import merge_member, pack_member

_NEWS_PROBES = 2
# The trees have delivered by then where they can.
_NEWS_DELAY_S = 0.1
_INDIRECT_PROBES = 3
# Suspects asked again in one period; the others wait for theirs.
_MOST_ASKED = 16
# Own entries sent to everyone by this node's refutations, at most one in this time.
_REFUTATION_INTERVAL_S = 1.0
_KNOCK_PERIODS = 5
# Periods without an answer from anybody after which a node doubts its own link first.
_UNHEARD_PERIODS = 1.5


class DetectorTiming(NamedTuple):
    """Times of the failure detector.

    :param period_s: seconds between probes.
    :param ack_timeout_s: seconds to wait before probing through others.
    :param suspicion_s: seconds a suspect has to refute.
    :param hearsay_s: seconds after which a node that only heard of a suspicion asks
        the suspect itself.
    :param late_s: own delay from which on this node suspects itself first.
    :param alone_s: seconds without an answer from anybody after which the others are
        doubted all the same, as when this node is the last one.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.3
    suspicion_s: float = 4.0
    hearsay_s: float = 8.0
    late_s: float = 0.5
    alone_s: float = 12.0


class _RelayedProbe(NamedTuple):
    """A probe made for another node.

    :param back: where its answer goes.
    :param sequence: the other node's own number of the probe.
    """

    back: Address
    sequence: int
    target_id: str


class _Suspicion(NamedTuple):
    """A member that did not answer somebody.

    :param since_s: monotonic seconds.
    :param probed: whether it was this node that it did not answer.
    """

    incarnation: int
    since_s: float
    probed: bool = False


class PeerDigest(NamedTuple):
    """What a peer's message says of its state.

    :param address: where it came from; the peer may not be a member yet.
    :param head_version: its version of the record that every node names, 0 where it
        names none.
    """

    node_id: str
    member_digest: int
    record_digest: int
    record_sum: int
    address: Address
    head_version: int = 0


class FailureDetector:
    """Probes members and keeps the membership table up to date.

    :param on_digest: told what each message says of its sender's state.
    :param spread: sends an entry to all members at once; updates take seconds.
    :param head_key: key of the record whose version each message names, so that a
        node that lacks the newest one knows it.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        records: RecordStore,
        datagrams: Datagrams,
        clock: Clock,
        rng: random.Random,
        on_digest: Callable[[PeerDigest], None],
        spread: Callable[[Member], None],
        timing: DetectorTiming | None = None,
        head_key: str = "",
    ) -> None:
        self._membership = membership
        self._records = records
        self._datagrams = datagrams
        self._clock = clock
        self._rng = rng
        self._on_digest = on_digest
        self._spread = spread
        self._head_key = head_key
        self._timing = timing or DetectorTiming()
        self._gossip = GossipQueue()
        self._sequence = 0
        self._acks: dict[int, asyncio.Future[None]] = {}
        self._relayed: dict[int, _RelayedProbe] = {}
        self._order: list[str] = []
        self._suspected: dict[str, _Suspicion] = {}
        self._periods = 0
        self._refuted_s = float("-inf")
        self._answered_s = clock.monotonic()
        self._news: asyncio.TimerHandle | None = None
        membership.subscribe(self._on_change)
        datagrams.on("ping", self._on_ping)
        datagrams.on("ack", self._on_ack)
        datagrams.on("pingRequest", self._on_ping_request)

    async def run(self) -> None:
        """Probe one member a period, for ever."""
        while True:
            started_s = self._clock.monotonic()
            target = self._next_target()
            answered = target is None or await self._probe(target)
            await self._sleep_until(started_s + self._timing.period_s)
            late_s = self._clock.monotonic() - started_s - self._timing.period_s
            if late_s > self._timing.late_s:
                self._forgive_all()
                continue
            if not answered:
                self._suspect(target)
            if self._is_unheard():
                self._forgive_all()
            self._confirm_suspects()
            self._ask_suspects()
            self._end_period()

    def tell_news(self) -> None:
        """Show a few members this node's digest soon after it stored something new.

        Members that the trees missed, such as those that have just started, learn of
        it from whoever knows them; what is new meanwhile rides along.
        """
        if self._news is None:
            delay_s = _NEWS_DELAY_S * self._rng.uniform(0.5, 1.5)
            loop = asyncio.get_running_loop()
            self._news = loop.call_later(delay_s, self._show_digest)

    def _show_digest(self) -> None:
        self._news = None
        for member in self._others(_NEWS_PROBES):
            self.ping(member)

    def ping(self, member: Member) -> None:
        """Send a probe without waiting for its answer."""
        self._send_ping(member)

    def _end_period(self) -> None:
        self._periods += 1
        self._membership.remove_expired()
        if self._periods % _KNOCK_PERIODS == 0:
            self._knock()

    def _knock(self) -> None:
        """Try a lost address again: after a split, nobody else would."""
        dead = self._membership.dead()
        if dead:
            member = self._rng.choice(dead)
            self.ping(member)

    async def _probe(self, target: Member) -> bool:
        """Probe a member directly, then through others."""
        sequence, future = self._expect_ack()
        self._send_ping(target, sequence)
        try:
            if await self._acked(future, self._timing.ack_timeout_s):
                return True
            self._ask_helpers(target, self._helpers(target), sequence)
            left_s = self._timing.period_s - self._timing.ack_timeout_s
            return await self._acked(future, left_s)
        finally:
            self._acks.pop(sequence, None)

    def _ask_helpers(
        self, target: Member, helpers: list[Member], sequence: int = 0
    ) -> None:
        """Let a few others probe a member."""
        for helper in helpers:
            self._datagrams.send(
                (helper.host, helper.port),
                "pingRequest",
                sequence=sequence,
                nodeId=self._membership.own.node_id,
                targetId=target.node_id,
            )

    async def _acked(self, future: "asyncio.Future[None]", wait_s: float) -> bool:
        await asyncio.wait([future], timeout=wait_s)
        return future.done()

    async def _sleep_until(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self._clock.monotonic()))

    def _next_target(self) -> Member | None:
        """Take members in a random order, each once before any again."""
        while True:
            if not self._order:
                own_id = self._membership.own.node_id
                live = self._membership.live()
                self._order = [m.node_id for m in live if m.node_id != own_id]
                self._rng.shuffle(self._order)
            if not self._order:
                return None
            member = self._membership.get(self._order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _helpers(self, target: Member) -> list[Member]:
        return self._others(_INDIRECT_PROBES, but=target.node_id)

    def _others(self, count: int, *, but: str = "") -> list[Member]:
        """Return some live members at random, this node left out."""
        left_out = (self._membership.own.node_id, but)
        others = [m for m in self._membership.live() if m.node_id not in left_out]
        return self._rng.sample(others, min(count, len(others)))

    def _suspect(self, target: Member) -> None:
        """Suspect a member that did not answer this node."""
        suspect = self._membership.suspect(target.node_id)
        self._gossip_change(suspect)
        suspicion = self._suspected.get(target.node_id)
        if suspicion is not None and not suspicion.probed:
            self._take_up(target.node_id, suspicion)

    def _take_up(self, node_id: str, suspicion: "_Suspicion") -> None:
        """Begin to ask a suspect; its time to refute begins anew."""
        now_s = self._clock.monotonic()
        self._suspected[node_id] = suspicion._replace(since_s=now_s, probed=True)

    def _ask_suspects(self) -> None:
        """Ask the members again that did not answer this node."""
        probed = [key for key, s in self._suspected.items() if s.probed]
        if not probed:
            return
        helpers = self._others(_INDIRECT_PROBES)
        for node_id in self._rng.sample(probed, min(_MOST_ASKED, len(probed))):
            member = self._membership.get(node_id)
            if member is not None:
                self.ping(member)
                self._ask_helpers(member, [h for h in helpers if h.node_id != node_id])

    def _confirm_suspects(self) -> None:
        """Take suspects for dead that did not refute, and none on hearsay."""
        now_s = self._clock.monotonic()
        for node_id, suspicion in list(self._suspected.items()):
            age_s = now_s - suspicion.since_s
            if suspicion.probed and age_s >= self._timing.suspicion_s:
                self._confirm(node_id, suspicion)
            elif not suspicion.probed and age_s >= self._timing.hearsay_s:
                self._take_up(node_id, suspicion)

    def _confirm(self, node_id: str, suspicion: "_Suspicion") -> None:
        del self._suspected[node_id]
        dead = self._membership.confirm_dead(node_id, incarnation=suspicion.incarnation)
        self._gossip_change(dead)
        if dead is not None:
            self._spread(dead)

    def _is_unheard(self) -> bool:
        """Tell whether this node's own link may be why others don't answer it."""
        unheard_s = self._clock.monotonic() - self._answered_s
        doubts_itself_s = _UNHEARD_PERIODS * self._timing.period_s
        return doubts_itself_s < unheard_s < self._timing.alone_s

    def _forgive_all(self) -> None:
        """Restart all suspicions: it was this node that was late, or not heard."""
        now_s = self._clock.monotonic()
        self._suspected = {
            node_id: suspicion._replace(since_s=now_s)
            for node_id, suspicion in self._suspected.items()
        }

    def _on_change(self, member: Member, known: Member | None) -> None:
        if member.node_id == self._membership.own.node_id:
            self._gossip.add(member)
        if member.state is MemberState.SUSPECT:
            suspicion = _Suspicion(member.incarnation, self._clock.monotonic())
            self._suspected[member.node_id] = suspicion
        else:
            self._suspected.pop(member.node_id, None)

    def _gossip_change(self, member: Member | None) -> None:
        """Tell others what this node found out itself.

        What came along the trees or by an exchange is on its way to them already.
        """
        if member is not None:
            log_event(
                "member.believed",
                member=member.node_id,
                state=member.state.name.lower(),
                incarnation=member.incarnation,
            )
            self._gossip.add(member)

    def _expect_ack(self) -> tuple[int, "asyncio.Future[None]"]:
        self._sequence += 1
        future = asyncio.get_running_loop().create_future()
        self._acks[self._sequence] = future
        return self._sequence, future

    def _send_ping(self, member: Member, sequence: int = 0) -> None:
        fields = self._state_fields(sequence, self._doubted(member.node_id))
        self._datagrams.send((member.host, member.port), "ping", **fields)

    def _spread_refutation(self) -> None:
        """Send this node's entry to everyone, unless it was only just sent."""
        now_s = self._clock.monotonic()
        if now_s - self._refuted_s >= _REFUTATION_INTERVAL_S:
            self._refuted_s = now_s
            self._spread(self._membership.own)

    def _doubted(self, node_id: str) -> Member | None:
        """Return the entry of a member that it must hear of to refute it."""
        member = self._membership.get(node_id)
        doubted = member is not None and member.state is not MemberState.ALIVE
        return member if doubted else None

    def _state_fields(self, sequence: int, first: Member | None) -> dict[str, Any]:
        """Return what a probe or its answer says of this node's state.

        :param first: an entry that the receiver must hear of, before all updates.
        """
        updates = self._gossip.take(len(self._membership))
        if first is not None:
            updates.insert(0, first)
        return {
            "sequence": sequence,
            "nodeId": self._membership.own.node_id,
            "members": [pack_member(member) for member in updates],
            "memberDigest": self._membership.digest,
            "recordDigest": self._records.digest,
            "recordSum": self._records.version_sum,
            "headVersion": self._records.held_version(self._head_key),
        }

    def _on_ping(self, ping: Message, address: Address) -> None:
        self._take_in(ping, address)
        fields = self._state_fields(ping.sequence, self._doubted(ping.nodeId))
        self._datagrams.send(address, "ack", **fields)

    def _on_ack(self, ack: Message, address: Address) -> None:
        self._answered_s = self._clock.monotonic()
        self._take_in(ack, address)
        future = self._acks.get(ack.sequence)
        if future is not None and not future.done():
            future.set_result(None)
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None:
            target = self._membership.get(relayed.target_id)
            fields = self._state_fields(relayed.sequence, target)
            self._datagrams.send(relayed.back, "ack", **fields)

    def _on_ping_request(self, request: Message, address: Address) -> None:
        target = self._membership.get(request.targetId)
        if target is None:
            return
        self._sequence += 1
        self._relayed[self._sequence] = _RelayedProbe(
            address, request.sequence, request.targetId
        )
        loop = asyncio.get_running_loop()
        loop.call_later(self._timing.period_s, self._relayed.pop, self._sequence, None)
        self._send_ping(target, self._sequence)

    def _take_in(self, state: Message, address: Address) -> None:
        own = self._membership.own
        for packed in state.members:
            news = merge_member(self._membership, packed)
            if news is not None:
                self._gossip.add(news)
        if self._membership.own != own:
            self._spread_refutation()
        self._records.note_advertised(self._head_key, state.headVersion)
        self._on_digest(
            PeerDigest(
                state.nodeId,
                state.memberDigest,
                state.recordDigest,
                state.recordSum,
                address,
                state.headVersion,
            )
        )
