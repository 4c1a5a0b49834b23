"""SWIM failure detector: nodes probe each other, without a central monitor.

Each node probes one member per period, directly and then through other members. A
member that does not answer is suspected before it is declared dead; it can refute the
suspicion with a higher incarnation (A. Das, I. Gupta, A. Motivala: SWIM, 2002).
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

_DIGEST_PING_COUNT = 2
# Long enough for the broadcast trees to reach every member that they can reach.
_DIGEST_PING_DELAY_S = 0.1
_INDIRECT_PROBE_COUNT = 3
# Suspects that are probed again in one period; the rest wait for a later period.
_MAX_REPROBES_PER_PERIOD = 16
# Minimum time between two refutations that this node broadcasts to all members.
_REFUTATION_INTERVAL_S = 1.0
_DEAD_MEMBER_PING_INTERVAL_PERIODS = 5
# Periods without any ack after which a node doubts its own link before other members.
_OWN_LINK_DOUBT_PERIODS = 1.5


class DetectorTiming(NamedTuple):
    """Timing of the failure detector.

    :param period_s: seconds between probes.
    :param ack_timeout_s: seconds to wait for an ack before probing indirectly.
    :param suspicion_timeout_s: seconds that a suspect has to refute the suspicion.
    :param gossip_probe_delay_s: seconds after which a node that learned of a suspicion
        only by gossip probes the suspect itself.
    :param max_lag_s: seconds by which a probe period may overrun; after a longer delay
        this node blames itself and restarts its suspicions.
    :param isolation_timeout_s: seconds without any ack after which this node suspects
        the other members anyway; it may be the last one alive.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.3
    suspicion_timeout_s: float = 4.0
    gossip_probe_delay_s: float = 8.0
    max_lag_s: float = 0.5
    isolation_timeout_s: float = 12.0


class _IndirectProbe(NamedTuple):
    """A probe that this node sends on behalf of another node.

    :param requester: address that the ack is forwarded to.
    :param sequence: sequence number that the requester gave the probe.
    :param target_id: node id of the probed member.
    """

    requester: Address
    sequence: int
    target_id: str


class _Suspicion(NamedTuple):
    """A suspicion of a member that did not answer some node's probe.

    :param incarnation: incarnation that is suspected.
    :param started_s: monotonic time in seconds at which the suspicion timeout started.
    :param probed: whether this node itself probes the suspect; False if it learned of
        the suspicion only by gossip.
    """

    incarnation: int
    started_s: float
    probed: bool = False


class PeerDigest(NamedTuple):
    """The state that a peer reported in a ping or an ack.

    :param member_digest: digest of its membership table.
    :param record_digest: digest of its record store.
    :param record_sum: sum of its record versions.
    :param address: source address; the peer may not be a member yet.
    :param head_version: its version of the head record, 0 if it has none.
    """

    node_id: str
    member_digest: int
    record_digest: int
    record_sum: int
    address: Address
    head_version: int = 0


class FailureDetector:
    """Probes members and keeps the membership table up to date.

    :param on_digest: called with the digest in each received ping and ack.
    :param spread: broadcasts a member entry to all members at once; piggybacked updates
        take seconds to reach everyone.
    :param head_key: key of the head record; each ping and ack carries its version, so
        that a node with an older version notices.
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
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._probe_queue: list[str] = []
        self._suspicions: dict[str, _Suspicion] = {}
        self._period_count = 0
        self._last_refutation_s = float("-inf")
        self._last_ack_s = clock.monotonic()
        self._digest_timer: asyncio.TimerHandle | None = None
        membership.subscribe(self._on_member_change)
        datagrams.on("ping", self._on_ping)
        datagrams.on("ack", self._on_ack)
        datagrams.on("pingRequest", self._on_ping_request)

    async def run(self) -> None:
        """Probe one member per period until cancelled."""
        while True:
            started_s = self._clock.monotonic()
            target = self._next_target()
            answered = target is None or await self._probe(target)
            await self._sleep_until(started_s + self._timing.period_s)
            lag_s = self._clock.monotonic() - started_s - self._timing.period_s
            if lag_s > self._timing.max_lag_s:
                self._restart_suspicions()
                continue
            if not answered:
                self._suspect(target)
            if self._may_be_isolated():
                self._restart_suspicions()
            self._expire_suspicions()
            self._reprobe_suspects()
            self._end_period()

    def schedule_digest_pings(self) -> None:
        """Ping a few random members soon, to advertise a newly stored record.

        The broadcast trees may miss members, such as those that have just started; the
        digest in the ping tells them that they lack a record. Records that are stored
        before the pings are sent share the same pings.
        """
        if self._digest_timer is None:
            delay_s = _DIGEST_PING_DELAY_S * self._rng.uniform(0.5, 1.5)
            loop = asyncio.get_running_loop()
            self._digest_timer = loop.call_later(delay_s, self._send_digest_pings)

    def _send_digest_pings(self) -> None:
        self._digest_timer = None
        self._ping_all(self._random_members(_DIGEST_PING_COUNT))

    def ping(self, member: Member) -> None:
        """Send a ping without waiting for the ack."""
        self._send_ping(member)

    def _end_period(self) -> None:
        self._period_count += 1
        self._membership.remove_expired()
        if self._period_count % _DEAD_MEMBER_PING_INTERVAL_PERIODS == 0:
            self._ping_dead_member()

    def _ping_dead_member(self) -> None:
        """Ping a random dead member, so that the sides of a healed partition rejoin.

        Probes skip dead members, so neither side would probe the other otherwise.
        """
        dead = self._membership.dead()
        if dead:
            member = self._rng.choice(dead)
            self.ping(member)

    async def _probe(self, target: Member) -> bool:
        """Probe a member directly, then indirectly.

        :returns: whether an ack arrived within the period.
        """
        sequence, future = self._expect_ack()
        self._send_ping(target, sequence)
        try:
            if await self._wait_for_ack(future, self._timing.ack_timeout_s):
                return True
            helpers = self._choose_helpers(target)
            self._send_ping_requests(target, helpers, sequence)
            self._ping_all(helpers)
            left_s = self._timing.period_s - self._timing.ack_timeout_s
            return await self._wait_for_ack(future, left_s)
        finally:
            self._acks.pop(sequence, None)

    def _ping_all(self, members: list[Member]) -> None:
        """Ping members for what they know.

        While many nodes stop, several targets in a row may be gone, and this node would
        learn of no newer record from their acks.
        """
        for member in members:
            self.ping(member)

    def _send_ping_requests(
        self, target: Member, helpers: list[Member], sequence: int = 0
    ) -> None:
        """Ask helpers to probe a member on behalf of this node."""
        for helper in helpers:
            self._datagrams.send(
                (helper.host, helper.port),
                "pingRequest",
                sequence=sequence,
                nodeId=self._membership.own.node_id,
                targetId=target.node_id,
            )

    async def _wait_for_ack(
        self, future: "asyncio.Future[None]", wait_s: float
    ) -> bool:
        await asyncio.wait([future], timeout=wait_s)
        return future.done()

    async def _sleep_until(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self._clock.monotonic()))

    def _next_target(self) -> Member | None:
        """Return the next member to probe, in random round-robin order."""
        while True:
            if not self._probe_queue:
                own_id = self._membership.own.node_id
                live = self._membership.live()
                self._probe_queue = [m.node_id for m in live if m.node_id != own_id]
                self._rng.shuffle(self._probe_queue)
            if not self._probe_queue:
                return None
            member = self._membership.get(self._probe_queue.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _choose_helpers(self, target: Member) -> list[Member]:
        return self._random_members(_INDIRECT_PROBE_COUNT, exclude=target.node_id)

    def _random_members(self, count: int, *, exclude: str = "") -> list[Member]:
        """Return up to ``count`` random live members other than this node.

        Those that leave are returned only if there are too few others.

        :param exclude: node id of a member to leave out as well.
        """
        excluded = (self._membership.own.node_id, exclude)
        candidates = [m for m in self._membership.live() if m.node_id not in excluded]
        staying = [m for m in candidates if not m.leaving]
        if len(staying) >= count:
            candidates = staying
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _suspect(self, target: Member) -> None:
        """Suspect a member that did not answer this node's probe."""
        suspect = self._membership.suspect(target.node_id)
        self._gossip_finding(suspect)
        suspicion = self._suspicions.get(target.node_id)
        if suspicion is not None and not suspicion.probed:
            self._start_probing(target.node_id, suspicion)

    def _start_probing(self, node_id: str, suspicion: "_Suspicion") -> None:
        """Let this node probe a suspect itself, and restart the suspicion timeout."""
        now_s = self._clock.monotonic()
        self._suspicions[node_id] = suspicion._replace(started_s=now_s, probed=True)

    def _reprobe_suspects(self) -> None:
        """Probe again the suspects that did not answer this node, up to a limit."""
        probed = [key for key, s in self._suspicions.items() if s.probed]
        if not probed:
            return
        helpers = self._random_members(_INDIRECT_PROBE_COUNT)
        for node_id in self._rng.sample(
            probed, min(_MAX_REPROBES_PER_PERIOD, len(probed))
        ):
            member = self._membership.get(node_id)
            if member is not None:
                self.ping(member)
                self._send_ping_requests(
                    member, [h for h in helpers if h.node_id != node_id]
                )

    def _expire_suspicions(self) -> None:
        """Declare suspects dead that did not refute the suspicion in time.

        A suspicion learned by gossip alone never does that: after a delay, this node
        probes the suspect itself first.
        """
        now_s = self._clock.monotonic()
        for node_id, suspicion in list(self._suspicions.items()):
            age_s = now_s - suspicion.started_s
            if suspicion.probed and age_s >= self._timing.suspicion_timeout_s:
                self._declare_dead(node_id, suspicion)
            elif not suspicion.probed and age_s >= self._timing.gossip_probe_delay_s:
                self._start_probing(node_id, suspicion)

    def _declare_dead(self, node_id: str, suspicion: "_Suspicion") -> None:
        del self._suspicions[node_id]
        dead = self._membership.confirm_dead(node_id, incarnation=suspicion.incarnation)
        self._gossip_finding(dead)
        if dead is not None:
            self._spread(dead)

    def _may_be_isolated(self) -> bool:
        """Return whether missing acks may be caused by this node's own link."""
        without_ack_s = self._clock.monotonic() - self._last_ack_s
        doubt_own_link_s = _OWN_LINK_DOUBT_PERIODS * self._timing.period_s
        return doubt_own_link_s < without_ack_s < self._timing.isolation_timeout_s

    def _restart_suspicions(self) -> None:
        """Restart all suspicion timeouts, because this node was late or isolated."""
        now_s = self._clock.monotonic()
        self._suspicions = {
            node_id: suspicion._replace(started_s=now_s)
            for node_id, suspicion in self._suspicions.items()
        }

    def _on_member_change(self, member: Member, known: Member | None) -> None:
        # The trees may miss a member, whose next version then waits for dead parents.
        if member.state is MemberState.DEAD or self._is_own(member):
            self._gossip.add(member)
        if member.state is MemberState.SUSPECT:
            suspicion = _Suspicion(member.incarnation, self._clock.monotonic())
            self._suspicions[member.node_id] = suspicion
        else:
            self._suspicions.pop(member.node_id, None)

    def _is_own(self, member: Member) -> bool:
        return member.node_id == self._membership.own.node_id

    def _gossip_finding(self, member: Member | None) -> None:
        """Log and gossip a state change that this node detected itself.

        Changes from the broadcast trees or an exchange are already on their
        way to the other members.
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
        fields = self._state_fields(sequence, self._entry_to_refute(member.node_id))
        self._datagrams.send((member.host, member.port), "ping", **fields)

    def _spread_refutation(self) -> None:
        """Broadcast this node's entry, at most once per refutation interval."""
        now_s = self._clock.monotonic()
        if now_s - self._last_refutation_s >= _REFUTATION_INTERVAL_S:
            self._last_refutation_s = now_s
            self._spread(self._membership.own)

    def _entry_to_refute(self, node_id: str) -> Member | None:
        """Return a member's entry if the member has to refute it, else None."""
        member = self._membership.get(node_id)
        is_refutable = member is not None and member.state is not MemberState.ALIVE
        return member if is_refutable else None

    def _state_fields(self, sequence: int, first: Member | None) -> dict[str, Any]:
        """Return the fields of a ping or an ack that describe this node's state.

        :param sequence: sequence number of the probe, 0 if no ack is awaited.
        :param first: an entry to send ahead of the piggybacked updates.
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
        self._merge_state(ping, address)
        fields = self._state_fields(ping.sequence, self._entry_to_refute(ping.nodeId))
        self._datagrams.send(address, "ack", **fields)

    def _on_ack(self, ack: Message, address: Address) -> None:
        self._last_ack_s = self._clock.monotonic()
        self._merge_state(ack, address)
        future = self._acks.get(ack.sequence)
        if future is not None and not future.done():
            future.set_result(None)
        probe = self._indirect_probes.pop(ack.sequence, None)
        if probe is not None:
            target = self._membership.get(probe.target_id)
            fields = self._state_fields(probe.sequence, target)
            self._datagrams.send(probe.requester, "ack", **fields)

    def _on_ping_request(self, request: Message, address: Address) -> None:
        target = self._membership.get(request.targetId)
        if target is None:
            return
        self._sequence += 1
        self._indirect_probes[self._sequence] = _IndirectProbe(
            address, request.sequence, request.targetId
        )
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._timing.period_s, self._indirect_probes.pop, self._sequence, None
        )
        self._send_ping(target, self._sequence)

    def _merge_state(self, state: Message, address: Address) -> None:
        own = self._membership.own
        for packed in state.members:
            update = merge_member(self._membership, packed)
            if update is not None:
                self._gossip.add(update)
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
