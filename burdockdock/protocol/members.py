"""Members and records as they stand in messages."""

from typing import Any

from burdockdock.coordination.membership import (
    Member,
    MembershipTable,
    MemberState,
)
from burdockdock.coordination.records import Record
from burdockdock.protocol.codec import Message
from burdockdock.protocol.deflated import inflate

_MOST_VALUE_BYTES = 16 * 1024 * 1024


def pack_member(member: Member) -> dict[str, Any]:
    """Return a member as a message's field."""
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
    }


def unpack_member(packed: Message) -> Member:
    """Read a member out of a message.

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
    )


def merge_member(table: MembershipTable, packed: Message) -> Member | None:
    """Take a member out of a message into the table.

    :returns: the entry that should go on, as of ``MembershipTable.merge``.
    :raises ValueError: if its state is unknown.
    """
    if not table.may_change(packed.nodeId, packed.incarnation, packed.state):
        return None
    return table.merge(unpack_member(packed))


def pack_record(
    record: Record, *, base_version: int = 0, deflated: bool = False
) -> dict[str, Any]:
    """Return a record as a message's field.

    :param base_version: the version that the value is a delta to, 0 for a whole one.
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
    """Read a record out of a message; its value may be a delta.

    :raises ValueError: if its value is deflated and can't be read.
    """
    value = packed.value
    if packed.deflated:
        value = inflate(value, most_bytes=_MOST_VALUE_BYTES)
    return Record(packed.key, packed.version, value)
