"""SWIM failure detector: nodes probe each other, without a central monitor.

Each node probes one member per period, directly and then through other members. A
member that does not answer is suspected before it is declared dead; it can refute the
suspicion with a higher incarnation (A. Das, I. Gupta, A. Motivala: SWIM, 2002).
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import (
    Member,
    MembershipTable,
    MemberState,
)
from burdockdock.coordination.records import RecordStore
from burdockdock.overlay.datagrams import Datagrams
from burdockdock.overlay.gossip import GossipQueue
from burdockdock.overlay.pings import PeerDigest, Pings
from burdockdock.overlay.suspicions import Suspicions

_DIGEST_PING_COUNT = 2
_REMEMBERED_ANSWERS = 3
# Long enough for the broadcast trees to reach every member that they can reach.
_DIGEST_PING_DELAY_S = 0.1
_INDIRECT_PROBE_COUNT = 3
# Suspects that are probed again in one period; the rest wait for a later period.
_MAX_REPROBES_PER_PERIOD = 16
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
        self._clock = clock
        self._rng = rng
        self._timing = timing or DetectorTiming()
        self._gossip = GossipQueue()
        self._probe_queue: list[str] = []
        self._period_count = 0
        self._recent_answers: deque[bool] = deque(maxlen=_REMEMBERED_ANSWERS)
        self._digest_timer: asyncio.TimerHandle | None = None
        self._suspicions = Suspicions(
            membership=membership,
            gossip=self._gossip,
            clock=clock,
            spread=spread,
            timeout_s=self._timing.suspicion_timeout_s,
            gossip_probe_delay_s=self._timing.gossip_probe_delay_s,
        )
        membership.subscribe(self._on_member_change)
        self._pings = Pings(
            membership=membership,
            records=records,
            datagrams=datagrams,
            gossip=self._gossip,
            clock=clock,
            on_digest=on_digest,
            spread=spread,
            head_key=head_key,
            request_timeout_s=self._timing.period_s,
        )

    @property
    def recent_answers(self) -> tuple[bool, ...]:
        """Whether this node's latest probes were answered, the last one last."""
        return tuple(self._recent_answers)

    async def run(self) -> None:
        """Probe one member per period until cancelled."""
        while True:
            started_s = self._clock.monotonic()
            target = self._next_target()
            answered = target is None or await self._probe(target)
            await self._sleep_until(started_s + self._timing.period_s)
            lag_s = self._clock.monotonic() - started_s - self._timing.period_s
            if lag_s > self._timing.max_lag_s:
                self._suspicions.restart()
                continue
            self._recent_answers.append(answered)
            if not answered:
                self._suspicions.suspect(target)
            if self._may_be_isolated():
                self._suspicions.restart()
            self._suspicions.expire()
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

    def ping_some(self) -> None:
        """Ping a few random members for what they know."""
        self._ping_all(self._random_members(_DIGEST_PING_COUNT))

    def _send_digest_pings(self) -> None:
        self._digest_timer = None
        self.ping_some()

    def ping(self, member: Member) -> None:
        """Send a ping without waiting for the ack."""
        self._pings.send(member)

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
        sequence, future = self._pings.expect_ack()
        self._pings.send(target, sequence)
        try:
            if await self._wait_for_ack(future, self._timing.ack_timeout_s):
                return True
            helpers = self._choose_helpers(target)
            self._pings.send_requests(target, helpers, sequence)
            self._ping_all(helpers)
            left_s = self._timing.period_s - self._timing.ack_timeout_s
            return await self._wait_for_ack(future, left_s)
        finally:
            self._pings.forget_ack(sequence)

    def _ping_all(self, members: list[Member]) -> None:
        """Ping members for what they know.

        While many nodes stop, several targets in a row may be gone, and this node would
        learn of no newer record from their acks.
        """
        for member in members:
            self.ping(member)

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

    def _reprobe_suspects(self) -> None:
        """Probe again the suspects that did not answer this node, up to a limit."""
        probed = self._suspicions.probed_ids()
        if not probed:
            return
        helpers = self._random_members(_INDIRECT_PROBE_COUNT)
        for node_id in self._rng.sample(
            probed, min(_MAX_REPROBES_PER_PERIOD, len(probed))
        ):
            member = self._membership.get(node_id)
            if member is not None:
                self.ping(member)
                self._pings.send_requests(
                    member, [h for h in helpers if h.node_id != node_id]
                )

    def _may_be_isolated(self) -> bool:
        """Return whether missing acks may be caused by this node's own link."""
        without_ack_s = self._clock.monotonic() - self._pings.last_ack_s
        doubt_own_link_s = _OWN_LINK_DOUBT_PERIODS * self._timing.period_s
        return doubt_own_link_s < without_ack_s < self._timing.isolation_timeout_s

    def _on_member_change(self, member: Member, known: Member | None) -> None:
        # The trees may miss a member, whose next version then waits for dead parents.
        if member.state is MemberState.DEAD or self._is_own(member):
            self._gossip.add(member)
        self._suspicions.note_change(member)

    def _is_own(self, member: Member) -> bool:
        return member.node_id == self._membership.own.node_id
