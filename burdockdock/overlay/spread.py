"""Dissemination of records and member changes along two broadcast trees."""

from collections.abc import Callable
from typing import NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.tree import children, entry_nodes
from burdockdock.overlay.datagrams import MAX_DATAGRAM_BYTES, Address, Datagrams
from burdockdock.protocol import Message
from burdockdock.protocol.deflated import deflate, inflate
from burdockdock.protocol.members import (
    merge_member,
    pack_member,
    pack_record,
    unpack_record,
)

# Up to this fleet size, the origin of a message sends it to every member directly.
_DIRECT_BROADCAST_MAX_MEMBERS = 32
_TREE_SALTS = ("first", "second")
# Leaves 200 bytes of a datagram for the fields besides the value: the mesh, the sender,
# the key and the versions.
_MAX_VALUE_BYTES = MAX_DATAGRAM_BYTES - 200
# Maximum size of a delta before it is deflated, and after it is inflated. A longer one
# would need a compression ratio above 16 to fit into a datagram, which is unlikely.
_MAX_INFLATED_BYTES = 16 * _MAX_VALUE_BYTES


class DeltaCodec(NamedTuple):
    """Encodes and applies deltas of a record whose state is kept outside the store.

    For a version that arrived as a delta, the store holds a record with the version and
    an empty value.

    :param encode_whole: returns the newest state as bytes.
    :param encode_delta: returns the delta from a base version to the newest state, None
        if the base version is no longer available.
    :param apply_delta: returns the record that results from applying a delta, None if
        the delta was computed against another state.
    """

    encode_whole: Callable[[], bytes]
    encode_delta: Callable[[int], bytes | None]
    apply_delta: Callable[[Record], Record | None]


class Spreader:
    """Forwards new records and member changes to this node's children in two trees.

    The two trees order the members differently, so a member misses a message only if
    its parents in both trees fail; anti-entropy repairs that.

    :param deltas: delta codecs by record key.
    :param fetch: called with a node id, and the cause as a keyword argument, to fetch
        records from that node.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        ranking: MemberRanking,
        records: RecordStore,
        datagrams: Datagrams,
        deltas: dict[str, DeltaCodec],
        fetch: Callable[..., None],
    ) -> None:
        self._membership = membership
        self._records = records
        self._datagrams = datagrams
        self._deltas = deltas
        self._fetch = fetch
        self._ranking = ranking
        self._children: list[Member] = []
        self._children_generation = -1
        datagrams.on("spread", self._on_spread)

    def broadcast_record(self, record: Record) -> None:
        """Store a record and, if it is new, broadcast it to all availability zones."""
        previous_version = self._records.version(record.key)
        if self._records.put(record):
            self.send_record(record, previous_version, self._origin_targets())

    def forward_record(self, record: Record, *, base_version: int) -> None:
        """Forward a record that was just stored to this node's children.

        :param base_version: version that the record replaced, 0 if there was none.
        """
        self.send_record(record, base_version, self._child_targets())

    def send_record(
        self, record: Record, base_version: int, targets: list[Member]
    ) -> None:
        """Send a record to some members.

        :param base_version: version against which to send a delta, 0 for none.
        """
        # Most members are leaves in both trees; skip encoding a delta for no target.
        if not targets:
            return
        self._send(targets, self._build_content(record, base_version))

    def broadcast_member(self, member: Member) -> None:
        """Broadcast a member entry to all availability zones."""
        self._send_member(member, self._origin_targets())

    def _build_content(self, record: Record, base_version: int) -> dict[str, object]:
        """Return the content of the datagrams that announce a record.

        A record without a delta codec is sent in full, one with a codec as a delta.
        Without a delta, or if the content is too long, a notice of the new version is
        sent instead; it carries the deflated delta if that fits.
        """
        codec = self._deltas.get(record.key)
        notice = {"key": record.key, "version": record.version}
        if codec is None:
            if len(record.value) <= _MAX_VALUE_BYTES:
                return {"record": pack_record(record)}
            return {"recordNotice": notice}
        delta = codec.encode_delta(base_version) if base_version else None
        if delta is None:
            return {"recordNotice": notice}
        if len(delta) <= _MAX_VALUE_BYTES:
            delta_record = record._replace(value=delta)
            return {"record": pack_record(delta_record, base_version=base_version)}
        deflated = _deflate(delta)
        if deflated is not None:
            notice |= {"baseVersion": base_version, "deflatedDelta": deflated}
        return {"recordNotice": notice}

    def _send_member(self, member: Member, targets: list[Member]) -> None:
        self._send(targets, {"member": pack_member(member)})

    def _send(self, targets: list[Member], content: dict[str, object]) -> None:
        own_id = self._membership.own.node_id
        for member in targets:
            self._datagrams.send(
                (member.host, member.port), "spread", nodeId=own_id, **content
            )

    def _on_spread(self, spread: Message, address: Address) -> None:
        kind = spread.which()
        if kind == "member":
            self._handle_member(spread.member)
        elif kind == "record":
            packed = spread.record
            self._handle_record(
                unpack_record(packed), packed.baseVersion, spread.nodeId
            )
        else:
            self._handle_notice(spread.recordNotice, spread.nodeId)

    def _handle_member(self, packed: Message) -> None:
        own = self._membership.own
        update = merge_member(self._membership, packed)
        if self._membership.own != own:
            # A refutation originates at this node, so it goes to all zones.
            self.broadcast_member(self._membership.own)
        elif update is not None and update.node_id != own.node_id:
            self._send_member(update, self._child_targets())

    def _handle_notice(self, notice: Message, sender_id: str) -> None:
        """Apply the delta that a notice carries, or fetch from the sender."""
        self._records.note_advertised(notice.key, notice.version)
        if notice.version <= self._records.version(notice.key):
            return
        if not notice.deflatedDelta:
            self._fetch(sender_id, cause="notice")
            return
        delta = inflate(notice.deflatedDelta, max_bytes=_MAX_INFLATED_BYTES)
        record = Record(notice.key, notice.version, delta)
        self._handle_record(record, notice.baseVersion, sender_id)

    def _handle_record(self, record: Record, base_version: int, sender_id: str) -> None:
        previous_version = self._records.version(record.key)
        if record.version <= previous_version:
            return
        self._records.note_advertised(record.key, record.version)
        if base_version:
            resolved = self._resolve_delta(record, base_version)
            if resolved is None:
                self._fetch(sender_id, cause="delta")
                return
            record = resolved
        if self._records.put(record):
            self.forward_record(record, base_version=previous_version)

    def _resolve_delta(self, record: Record, base_version: int) -> Record | None:
        """Return the record that results from a delta, None if it must be fetched.

        The base may be older than the stored version, because several members publish,
        each with its own deltas. Such a delta is tried as well; the checksum in it
        shows whether the result is correct.
        """
        codec = self._deltas.get(record.key)
        if codec is None or self._records.version(record.key) < base_version:
            return None
        return codec.apply_delta(record)

    def _origin_targets(self) -> list[Member]:
        """Return the entry nodes of every zone in both trees, and this node's children.

        In a small fleet these are all other members, because a node that has just
        started may be missing from the trees of others.
        """
        live = self._membership.live()
        if len(live) <= _DIRECT_BROADCAST_MAX_MEMBERS:
            return self._exclude_own(live)
        targets = []
        for salt in _TREE_SALTS:
            zones = self._ranking.zones()
            orders = [self._ranking.tree_order(salt, zone) for zone in zones]
            targets += entry_nodes(orders)
        return self._exclude_own(targets + self._child_targets())

    def _child_targets(self) -> list[Member]:
        """Return this node's children in both trees, cached per generation."""
        if self._children_generation != self._ranking.generation:
            self._children_generation = self._ranking.generation
            self._children = self._compute_children()
        return self._children

    def _compute_children(self) -> list[Member]:
        own = self._membership.own
        child_members = []
        for salt in _TREE_SALTS:
            order = self._ranking.tree_order(salt, own.availability_zone)
            index = next(
                (i for i, m in enumerate(order) if m.node_id == own.node_id), None
            )
            if index is not None:
                child_members += children(order, index)
        return self._exclude_own(child_members)

    def _exclude_own(self, members: list[Member]) -> list[Member]:
        own_id = self._membership.own.node_id
        unique = {m.node_id: m for m in members if m.node_id != own_id}
        return list(unique.values())


def _deflate(delta: bytes) -> bytes | None:
    """Return a deflated delta, None if it does not fit into a datagram."""
    if len(delta) > _MAX_INFLATED_BYTES:
        return None
    deflated = deflate(delta)
    return deflated if len(deflated) <= _MAX_VALUE_BYTES else None
