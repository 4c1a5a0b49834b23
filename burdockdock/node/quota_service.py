"""Quotas on a node: requests for tokens and grants, as datagrams between nodes."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.membership import (
    Member,
    MembershipTable,
    MemberState,
)
from burdockdock.coordination.quota import (
    Grantor,
    QuotaAsk,
    QuotaBounds,
    QuotaGrant,
    QuotaLimit,
)
from burdockdock.coordination.quota_deputy import Deputy
from burdockdock.coordination.quota_share import FleetShare
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.logs import log_event
from burdockdock.overlay.datagrams import Address
from burdockdock.protocol import Message
from burdockdock.proxy.quota_client import QuotaClient

_TICK_INTERVAL_S = 0.5
# Without a tick for longer than this, the process was stopped or starved, and other
# nodes may have granted tokens meanwhile. A suspect has 4 s before another takes over;
# a few ticks late are usual on a busy machine.
_STALL_S = 2.0
# Time until all nodes have heard of a change of the membership. A grantor that follows
# one taken for dead grants nothing before it.
_HANDOVER_S = 0.5
_SHARE_INTERVAL_S = 0.1
_LOGGED_SHARE_CHANGE = 0.05
# Ten times what a node asks for at once; a message may have up to 65,535.
_MAX_COUNT = 1000


class QuotaDatagrams(Protocol):
    """Sends and receives messages, one per datagram."""

    def on(self, kind: str, handler: Callable[[Message, Address], None]) -> None:
        """Register the handler for a kind of message."""
        ...

    def send(self, address: Address, kind: str, **fields: object) -> None:
        """Send a message, without any guarantee of delivery."""
        ...


class QuotaService:
    """Grants tokens of the workspaces that this node ranks first for.

    ``client`` admits the calls of this node's callers.

    :param limit_of: returns the limit of a workspace, None if it has none.
    :param probe_answers: returns whether this node's latest probes were answered.
    :param count: increments a counter, given its name and a label.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        ranking: MemberRanking,
        datagrams: QuotaDatagrams,
        limit_of: Callable[[str], QuotaLimit | None],
        probe_answers: Callable[[], Sequence[bool]],
        bounds: QuotaBounds,
        clock: Clock,
        rng: random.Random,
        count: Callable[..., None],
    ) -> None:
        self._membership = membership
        self._ranking = ranking
        self._datagrams = datagrams
        self._limit_of = limit_of
        self._probe_answers = probe_answers
        self._clock = clock
        self._count = count
        self._own_id = membership.own.node_id
        now_s = clock.monotonic()
        self._grantor = Grantor(bounds, empty_since_s=now_s)
        self._grantors: dict[str, tuple[Member, Member]] = {}
        self._deputy = Deputy(bounds)
        self._fleet = FleetShare()
        self._share = 1.0
        self._share_at_s = float("-inf")
        self._share_generation = -1
        self._logged_share = 1.0
        self._ticked_s = now_s
        self.client = QuotaClient(
            self._own_id,
            limit_of=limit_of,
            send=self._send,
            node_count=self._known_count,
            bounds=bounds,
            clock=clock,
            rng=rng,
            count=count,
        )
        membership.subscribe(self._on_member_change)
        datagrams.on("quotaRequest", self._on_request)
        datagrams.on("quotaGrant", self._on_grant)

    async def run(self) -> None:
        """Drop what isn't needed any more; runs until cancelled."""
        # Other nodes granted tokens until they heard of this one.
        now_s = self._clock.monotonic()
        self._grantor.reset(now_s + _HANDOVER_S)
        self._ticked_s = now_s
        while True:
            await sleep_to_tick(_TICK_INTERVAL_S)
            now_s = self._clock.monotonic()
            self._check_stall(now_s)
            self._ticked_s = now_s
            self._fleet_share(now_s)
            self._forget_unlimited()
            self._grantor.prune(now_s)
            self._deputy.prune(now_s)
            self.client.prune()

    def _send(self, ask: QuotaAsk, to_deputy: bool) -> QuotaGrant | None:
        """Send a request, or answer it if this node is the one that is asked.

        :param to_deputy: whether to ask the grantor's deputy.
        """
        grantor, deputy = self._grantors_of(ask.workspace)
        asked = deputy if to_deputy else grantor
        if asked.node_id == self._own_id:
            return self._decide(ask, self._clock.monotonic())
        self._send_ask(asked, ask)
        return None

    def _send_ask(self, asked: Member, ask: QuotaAsk) -> None:
        self._datagrams.send(
            (asked.host, asked.port),
            "quotaRequest",
            nodeId=ask.node_id,
            workspace=ask.workspace,
            number=ask.number,
            count=ask.count,
        )

    def _on_request(self, message: Message, address: Address) -> None:
        count = min(message.count, _MAX_COUNT)
        ask = QuotaAsk(message.workspace, message.nodeId, message.number, count)
        now_s = self._clock.monotonic()
        self._fleet.note_asked(ask.node_id, now_s)
        grant = QuotaGrant(ask.number, 0)
        if count:
            grant = self._decide(ask, now_s)
        self._datagrams.send(
            address,
            "quotaGrant",
            workspace=ask.workspace,
            number=grant.number,
            count=grant.count,
            retryAfterMs=round(grant.retry_after_s * 1000),
            notGrantor=not grant.is_grantor,
            probe=not count,
        )

    def _on_grant(self, message: Message, _address: Address) -> None:
        if message.probe:
            now_s = self._clock.monotonic()
            self._deputy.note_answer(message.workspace, message.number, now_s)
            return
        grant = QuotaGrant(
            message.number,
            message.count,
            message.retryAfterMs / 1000,
            not message.notGrantor,
        )
        self.client.take_grant(message.workspace, grant)

    def _decide(self, ask: QuotaAsk, now_s: float) -> QuotaGrant:
        """Grant or deny tokens as the grantor, as its deputy, or as neither."""
        grant = QuotaGrant(ask.number, 0, is_grantor=False)
        limit = self._limit_of(ask.workspace)
        if limit is not None:
            grantor, deputy = self._grantors_of(ask.workspace)
            if grantor.node_id == self._own_id:
                self._check_stall(now_s)
                share = self._fleet_share(now_s)
                grant = self._grantor.grant(ask, limit, share=share, now_s=now_s)
            elif deputy.node_id == self._own_id:
                grant = self._decide_as_deputy(ask, limit, grantor, now_s)
        label = "denied" if grant.retry_after_s else "whole"
        self._count("quota_grants", label=label if grant.is_grantor else "not_grantor")
        return grant

    def _decide_as_deputy(
        self, ask: QuotaAsk, limit: QuotaLimit, grantor: Member, now_s: float
    ) -> QuotaGrant:
        probe = self._deputy.next_probe(ask.workspace, now_s)
        if probe is not None:
            self._send_ask(
                grantor, QuotaAsk(ask.workspace, self._own_id, probe.number, 0)
            )
        share = self._fleet_share(now_s)
        grant = self._deputy.grant(ask, limit, share=share, now_s=now_s)
        if grant.count:
            self._count("quota_deputy_granted", by=grant.count)
        return grant

    def _grantors_of(self, workspace: str) -> tuple[Member, Member]:
        """Return the first two members by rank that don't leave."""
        found = self._grantors.get(workspace)
        if found is None:
            ranked = self._ranking.in_all_zones(f"quota/{workspace}")
            staying = [m for m in ranked if not m.leaving] or ranked
            found = staying[0], staying[min(1, len(staying) - 1)]
            self._grantors[workspace] = found
        return found

    def _forget_unlimited(self) -> None:
        """Drop workspaces that have no limit any more."""
        for workspace in list(self._grantors):
            if self._limit_of(workspace) is None:
                del self._grantors[workspace]
        for workspace in self._grantor.workspaces:
            if self._limit_of(workspace) is None:
                self._grantor.forget(workspace)

    def _known_count(self) -> int:
        """Return the number of nodes that share the quotas.

        Floors of a part that is cut off must not grow as it takes the others for dead.
        """
        now_s = self._clock.monotonic()
        return self._fleet.known_count(len(self._membership.live()), now_s)

    def _check_stall(self, now_s: float) -> None:
        stalled_s = now_s - self._ticked_s
        if stalled_s > _STALL_S:
            self._ticked_s = now_s
            self._grantor.reset(now_s)
            log_event("quota.grantor_resumed", stalled_s=stalled_s)

    def _fleet_share(self, now_s: float) -> float:
        """Return the share of each rate that this node may grant."""
        generation = self._membership.generation
        age_s = now_s - self._share_at_s
        if age_s > _SHARE_INTERVAL_S or generation != self._share_generation:
            self._share_at_s = now_s
            self._share_generation = generation
            self._share = self._fleet.share(
                self._membership.live(), answers=self._probe_answers(), now_s=now_s
            )
            if abs(self._share - self._logged_share) >= _LOGGED_SHARE_CHANGE:
                self._logged_share = self._share
                log_event("quota.share", share=self._share)
        return self._share

    def _on_member_change(self, member: Member, previous: Member | None) -> None:
        now_s = self._clock.monotonic()
        self._fleet.note_member(member, now_s)
        if _grantor_key(member) == (previous and _grantor_key(previous)):
            return
        self._grantors.clear()
        self.client.note_new_grantors()
        if not _may_grant(member):
            # A member that leaves stops to grant before it says so.
            left = member.leaving
            self._grantor.start_empty(now_s if left else now_s + _HANDOVER_S)
            return
        for workspace in self._grantor.workspaces:
            if self._grantors_of(workspace)[0].node_id != self._own_id:
                self._grantor.forget(workspace)


def _grantor_key(member: Member) -> tuple[bool, str, int]:
    """Return what decides whether and where a member is asked for tokens."""
    return _may_grant(member), member.host, member.port


def _may_grant(member: Member) -> bool:
    return member.state is not MemberState.DEAD and not member.leaving
