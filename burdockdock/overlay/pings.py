"""Pings and acks between members, which carry the state of their senders."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import (
    Member,
    MembershipTable,
    MemberState,
)
from burdockdock.coordination.records import RecordStore
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.overlay.gossip import GossipQueue
from burdockdock.protocol import Message
from burdockdock.protocol.members import merge_member, pack_member

# Minimum time between two refutations that this node broadcasts to all members.
_REFUTATION_INTERVAL_S = 1.0


class _IndirectProbe(NamedTuple):
    """A probe that this node sends on behalf of another node.

    :param requester: address that the ack is forwarded to.
    :param sequence: sequence number that the requester gave the probe.
    :param target_id: node id of the probed member.
    """

    requester: Address
    sequence: int
    target_id: str


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


class Pings:
    """Sends and answers pings, and pings members on behalf of other nodes.

    ``last_ack_s`` is the monotonic time in seconds of the last ack.

    :param gossip: member entries that pings and acks piggyback.
    :param on_digest: called with the digest in each received ping and ack.
    :param spread: broadcasts a member entry to all members at once.
    :param head_key: key of the head record.
    :param request_timeout_s: seconds for which an ack to a ping on behalf of another
        node is forwarded.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        records: RecordStore,
        datagrams: Datagrams,
        gossip: GossipQueue,
        clock: Clock,
        on_digest: Callable[[PeerDigest], None],
        spread: Callable[[Member], None],
        head_key: str,
        request_timeout_s: float,
    ) -> None:
        self._membership = membership
        self._records = records
        self._datagrams = datagrams
        self._gossip = gossip
        self._clock = clock
        self._on_digest = on_digest
        self._spread = spread
        self._head_key = head_key
        self._request_timeout_s = request_timeout_s
        self._sequence = 0
        self._acks: dict[int, asyncio.Future[None]] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._last_refutation_s = float("-inf")
        self.last_ack_s = clock.monotonic()
        datagrams.on("ping", self._on_ping)
        datagrams.on("ack", self._on_ack)
        datagrams.on("pingRequest", self._on_ping_request)

    def expect_ack(self) -> tuple[int, "asyncio.Future[None]"]:
        """Return a sequence number for a ping, and a future that its ack completes."""
        self._sequence += 1
        future = asyncio.get_running_loop().create_future()
        self._acks[self._sequence] = future
        return self._sequence, future

    def forget_ack(self, sequence: int) -> None:
        """Await the ack with a sequence number no longer."""
        self._acks.pop(sequence, None)

    def send(self, member: Member, sequence: int = 0) -> None:
        """Ping a member.

        :param sequence: sequence number of the probe, 0 if no ack is awaited.
        """
        fields = self._state_fields(sequence, self._entry_to_refute(member.node_id))
        self._datagrams.send((member.host, member.port), "ping", **fields)

    def send_requests(
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
        self.last_ack_s = self._clock.monotonic()
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
            self._request_timeout_s, self._indirect_probes.pop, self._sequence, None
        )
        self.send(target, self._sequence)

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
