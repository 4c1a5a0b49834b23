"""Converts members and records to and from their message fields."""

from typing import Any

from burdockdock.coordination.membership import (
    Member,
    MembershipTable,
    MemberState,
)
from burdockdock.coordination.records import Record
from burdockdock.protocol.codec import Message
from burdockdock.protocol.deflated import inflate

_MAX_VALUE_BYTES = 16 * 1024 * 1024


def pack_member(member: Member) -> dict[str, Any]:
    """Return the message field for a member."""
    return {
        "nodeId": member.node_id,
        "host": member.host,
        "port": member.port,
        "region": member.region,
        "availabilityZone": member.availability_zone,
        "incarnation": member.incarnation,
        "state": int(member.state),
        "leaving": member.leaving,
        "ready": member.ready,
        "service": member.service,
        "serviceVersion": member.service_version,
        "slots": member.slots,
        "platformLost": member.platform_lost,
        "stopped": member.stopped,
        "cold": member.cold,
    }


def unpack_member(packed: Message) -> Member:
    """Read a member from a message field.

    :raises ValueError: if its state is unknown.
    """
    return Member(
        node_id=packed.nodeId,
        host=packed.host,
        port=packed.port,
        region=packed.region,
        availability_zone=packed.availabilityZone,
        incarnation=packed.incarnation,
        state=MemberState(packed.state),
        leaving=packed.leaving,
        ready=packed.ready,
        service=packed.service,
        service_version=packed.serviceVersion,
        slots=packed.slots,
        platform_lost=packed.platformLost,
        stopped=packed.stopped,
        cold=packed.cold,
    )


def merge_member(table: MembershipTable, packed: Message) -> Member | None:
    """Merge a member from a message field into the table.

    Updates that can't change the table are not unpacked.

    :returns: the entry to forward, as returned by ``MembershipTable.merge``.
    :raises ValueError: if its state is unknown.
    """
    if not table.may_change(packed.nodeId, packed.incarnation, packed.state):
        return None
    return table.merge(unpack_member(packed))


def pack_record(
    record: Record, *, base_version: int = 0, deflated: bool = False
) -> dict[str, Any]:
    """Return the message field for a record.

    :param base_version: the version that the value is a delta against, 0 if it is a
        whole value.
    :param deflated: whether the value is deflated.
    """
    return {
        "key": record.key,
        "version": record.version,
        "baseVersion": base_version,
        "value": record.value,
        "deflated": deflated,
    }


def unpack_record(packed: Message) -> Record:
    """Read a record from a message field; its value may be a delta.

    :raises ValueError: if its value is deflated and can't be inflated.
    """
    value = packed.value
    if packed.deflated:
        value = inflate(value, max_bytes=_MAX_VALUE_BYTES)
    return Record(packed.key, packed.version, value)
