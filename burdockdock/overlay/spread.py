"""Passing records and member changes on along trees of members."""

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

# A fleet so small that whoever starts a message sends it to everyone.
_SMALL_FLEET = 32
_TREE_SALTS = ("first", "second")
_MAX_VALUE_BYTES = MAX_DATAGRAM_BYTES - 200
# A longer delta is not tried: it would hardly fit when deflated.
_MAX_INFLATED_BYTES = 16 * _MAX_VALUE_BYTES


class DeltaCodec(NamedTuple):
    """How the records under a key are sent, whose state is kept outside the store.

    :param encode_whole: returns the bytes of the newest state.
    :param encode_delta: returns the bytes that lead from a version to the newest,
        None when that version is no longer known.
    :param apply_delta: returns the record to store for a delta, None when the delta
        was made against another state.
    """

    encode_whole: Callable[[], bytes]
    encode_delta: Callable[[int], bytes | None]
    apply_delta: Callable[[Record], Record | None]


class Spreader:
    """Sends what is new to the members below this node in two trees.

    The trees differ, so that a member is missed only when its parents in both are
    lost; the exchange of digests finds it then.

    :param pull: called with a member's id, and the cause as a keyword, when its news
        must be fetched.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        ranking: MemberRanking,
        records: RecordStore,
        datagrams: Datagrams,
        deltas: dict[str, DeltaCodec],
        pull: Callable[..., None],
    ) -> None:
        self._membership = membership
        self._records = records
        self._datagrams = datagrams
        self._deltas = deltas
        self._pull = pull
        self._ranking = ranking
        self._children: list[Member] = []
        self._children_generation = -1
        datagrams.on("spread", self._on_spread)

    def start_record(self, record: Record) -> None:
        """Store a record and send it to every availability zone."""
        before = self._records.version(record.key)
        if self._records.put(record):
            self._send_record(record, before, self._origin_targets())

    def pass_on_record(self, record: Record, *, base_version: int) -> None:
        """Send a record that was just stored to the members below."""
        self._send_record(record, base_version, self._child_targets())

    def start_member(self, member: Member) -> None:
        """Send a change of this node's own entry to every availability zone."""
        self._send_member(member, self._origin_targets())

    def _send_record(
        self, record: Record, base_version: int, targets: list[Member]
    ) -> None:
        # Most members stand at the end of both trees and have nobody to tell.
        if not targets:
            return
        self._send(targets, self._content_of(record, base_version))

    def _content_of(self, record: Record, base_version: int) -> dict[str, object]:
        """Return the record, its delta or a notice, whichever fits a datagram."""
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
            changed = record._replace(value=delta)
            return {"record": pack_record(changed, base_version=base_version)}
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
            self._take_member(spread.member)
        elif kind == "record":
            packed = spread.record
            self._take_record(unpack_record(packed), packed.baseVersion, spread.nodeId)
        else:
            self._take_notice(spread.recordNotice, spread.nodeId)

    def _take_member(self, packed: Message) -> None:
        own = self._membership.own
        news = merge_member(self._membership, packed)
        if self._membership.own != own:
            # A refutation starts here, and not only for the members below.
            self.start_member(self._membership.own)
        elif news is not None and news.node_id != own.node_id:
            self._send_member(news, self._child_targets())

    def _take_notice(self, notice: Message, sender_id: str) -> None:
        """Take in the delta that came with a notice, or fetch the record."""
        self._records.note_advertised(notice.key, notice.version)
        if notice.version <= self._records.version(notice.key):
            return
        if not notice.deflatedDelta:
            self._pull(sender_id, cause="notice")
            return
        delta = inflate(notice.deflatedDelta, most_bytes=_MAX_INFLATED_BYTES)
        record = Record(notice.key, notice.version, delta)
        self._take_record(record, notice.baseVersion, sender_id)

    def _take_record(self, record: Record, base_version: int, sender_id: str) -> None:
        before = self._records.version(record.key)
        if record.version <= before:
            return
        self._records.note_advertised(record.key, record.version)
        if base_version:
            whole = self._whole(record, base_version)
            if whole is None:
                self._pull(sender_id, cause="delta")
                return
            record = whole
        if self._records.put(record):
            self.pass_on_record(record, base_version=before)

    def _whole(self, record: Record, base_version: int) -> Record | None:
        """Return the record that a delta leads to, None if it must be fetched.

        A delta to an older version than ours is tried as well: several members bring
        versions in, each with its own steps, and the digest tells whether it fits.
        """
        codec = self._deltas.get(record.key)
        if codec is None or self._records.version(record.key) < base_version:
            return None
        return codec.apply_delta(record)

    def _origin_targets(self) -> list[Member]:
        """Return the first members of every zone in both trees, and the children.

        In a small fleet these are all members: who has just started may not stand in
        everyone's trees yet.
        """
        live = self._membership.live()
        if len(live) <= _SMALL_FLEET:
            return self._without_own(live)
        targets = []
        for salt in _TREE_SALTS:
            zones = self._ranking.zones()
            targets += entry_nodes(self._ranking.in_zone(salt, zone) for zone in zones)
        return self._without_own(targets + self._child_targets())

    def _child_targets(self) -> list[Member]:
        """Return this node's children in both trees."""
        if self._children_generation != self._ranking.generation:
            self._children_generation = self._ranking.generation
            self._children = self._find_children()
        return self._children

    def _find_children(self) -> list[Member]:
        own = self._membership.own
        found = []
        for salt in _TREE_SALTS:
            order = self._ranking.in_zone(salt, own.availability_zone)
            index = next(
                (i for i, m in enumerate(order) if m.node_id == own.node_id), None
            )
            if index is not None:
                found += children(order, index)
        return self._without_own(found)

    def _without_own(self, members: list[Member]) -> list[Member]:
        own_id = self._membership.own.node_id
        unique = {m.node_id: m for m in members if m.node_id != own_id}
        return list(unique.values())


def _deflate(delta: bytes) -> bytes | None:
    """Return a delta deflated, None if it does not fit into a datagram even so."""
    if len(delta) > _MAX_INFLATED_BYTES:
        return None
    deflated = deflate(delta)
    return deflated if len(deflated) <= _MAX_VALUE_BYTES else None
