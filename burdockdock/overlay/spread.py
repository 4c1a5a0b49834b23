"""Passing records and member changes on along trees of members."""

from collections.abc import Callable
from typing import NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.tree import (
    TreeMember,
    children,
    targets_of_origin,
    zone_order,
)
from burdockdock.overlay.datagrams import MAX_DATAGRAM_BYTES, Address, Datagrams
from burdockdock.protocol import Message
from burdockdock.protocol.members import (
    pack_member,
    pack_record,
    unpack_member,
    unpack_record,
)

_TREE_SALTS = ("first", "second")
_MAX_VALUE_BYTES = MAX_DATAGRAM_BYTES - 200


class DeltaCodec(NamedTuple):
    """How the records under a key are sent as differences.

    :param encode: returns the bytes that lead from a version to the record's, None
        when that version is no longer known.
    :param apply: returns the whole record that a delta leads to, None when it was
        made against another one.
    """

    encode: Callable[[int], bytes | None]
    apply: Callable[[Record], Record | None]


class Spreader:
    """Sends what is new to the members below this node in two trees.

    The trees differ, so that a member is missed only when its parents in both are
    lost; the exchange of digests finds it then.

    :param pull: called with a member's id when its news must be fetched.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        records: RecordStore,
        datagrams: Datagrams,
        deltas: dict[str, DeltaCodec],
        pull: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._records = records
        self._datagrams = datagrams
        self._deltas = deltas
        self._pull = pull
        self._orders: dict[str, dict[str, list[str]]] = {}
        self._orders_generation = -1
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
        self, record: Record, base_version: int, targets: list[str]
    ) -> None:
        packed = self._pack_in_bounds(record, base_version)
        if packed is None:
            notice = {"key": record.key, "version": record.version}
            self._send(targets, {"recordNotice": notice})
        else:
            self._send(targets, {"record": packed})

    def _pack_in_bounds(self, record: Record, base_version: int) -> dict | None:
        """Return the record, or its delta, if that fits into a datagram."""
        codec = self._deltas.get(record.key)
        if codec is not None and base_version:
            delta = codec.encode(base_version)
            if delta is not None and len(delta) <= _MAX_VALUE_BYTES:
                changed = record._replace(value=delta)
                return pack_record(changed, base_version=base_version)
        if len(record.value) <= _MAX_VALUE_BYTES:
            return pack_record(record)
        return None

    def _send_member(self, member: Member, targets: list[str]) -> None:
        self._send(targets, {"member": pack_member(member)})

    def _send(self, targets: list[str], content: dict[str, object]) -> None:
        own_id = self._membership.own.node_id
        for node_id in targets:
            member = self._membership.get(node_id)
            if member is not None:
                self._datagrams.send(
                    (member.host, member.port), "spread", nodeId=own_id, **content
                )

    def _on_spread(self, spread: Message, address: Address) -> None:
        kind = spread.which()
        if kind == "member":
            member = unpack_member(spread.member)
            if self._membership.merge(member):
                self._send_member(member, self._child_targets())
        elif kind == "record":
            self._take_record(spread)
        elif spread.recordNotice.version > self._records.version(
            spread.recordNotice.key
        ):
            self._pull(spread.nodeId)

    def _take_record(self, spread: Message) -> None:
        record = unpack_record(spread.record)
        before = self._records.version(record.key)
        if record.version <= before:
            return
        base_version = spread.record.baseVersion
        if base_version:
            whole = self._whole(record, base_version)
            if whole is None:
                self._pull(spread.nodeId)
                return
            record = whole
        if self._records.put(record):
            self.pass_on_record(record, base_version=before)

    def _whole(self, record: Record, base_version: int) -> Record | None:
        codec = self._deltas.get(record.key)
        if codec is None or self._records.version(record.key) != base_version:
            return None
        return codec.apply(record)

    def _origin_targets(self) -> list[str]:
        own_id = self._membership.own.node_id
        targets = []
        for salt in _TREE_SALTS:
            targets += targets_of_origin(self._order(salt), own_id)
            targets += self._children_in(salt)
        return list(dict.fromkeys(targets))

    def _child_targets(self) -> list[str]:
        targets = []
        for salt in _TREE_SALTS:
            targets += self._children_in(salt)
        return list(dict.fromkeys(targets))

    def _children_in(self, salt: str) -> list[str]:
        own = self._membership.own
        order = self._order(salt).get(own.availability_zone, [])
        return children(order, own.node_id)

    def _order(self, salt: str) -> dict[str, list[str]]:
        """Return the zones' orders, computed anew after the membership changed."""
        if self._orders_generation != self._membership.generation:
            self._orders.clear()
            self._orders_generation = self._membership.generation
        if salt not in self._orders:
            members = [
                TreeMember(m.node_id, m.availability_zone)
                for m in self._membership.live()
            ]
            self._orders[salt] = zone_order(members, salt)
        return self._orders[salt]
