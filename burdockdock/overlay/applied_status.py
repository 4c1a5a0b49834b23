"""States and summaries of where a version is in force, and their form in messages."""

from typing import Any, NamedTuple

from burdockdock.protocol import Message


class AppliedState(NamedTuple):
    """The configuration version that a node applies.

    :param refused_version: newest version that the node refused, 0 if none.
    :param reason: why the node refused that version.
    """

    node_id: str
    version: int
    refused_version: int = 0
    reason: str = ""


class ZoneSummary(NamedTuple):
    """Progress of a version in one availability zone.

    :param applied: number of nodes that apply the version.
    :param total: number of nodes in the zone.
    :param refused: number of nodes that refused the version.
    :param laggards: some of the nodes that apply an older version.
    """

    availability_zone: str
    version: int
    applied: int
    total: int
    refused: int
    laggards: list[AppliedState]


class FleetStatus(NamedTuple):
    """Progress of the newest version in the whole fleet.

    :param applied: number of nodes that apply the version.
    :param total: number of nodes in the fleet.
    :param refused: number of nodes that refused the version.
    :param laggards: some of the nodes that apply an older version.
    """

    version: int
    applied: int
    total: int
    refused: int
    laggards: list[AppliedState]

    @property
    def in_force(self) -> bool:
        """Whether every node applies the newest version."""
        return self.applied == self.total


def pack_state(state: AppliedState) -> dict[str, Any]:
    """Return the fields of a node's state in a message."""
    return {
        "nodeId": state.node_id,
        "version": state.version,
        "refusedVersion": state.refused_version,
        "reason": state.reason,
    }


def unpack_state(packed: Message) -> AppliedState:
    """Return the state of a node from a message."""
    return AppliedState(
        packed.nodeId, packed.version, packed.refusedVersion, packed.reason
    )


def pack_summary(summary: ZoneSummary) -> dict[str, Any]:
    """Return the fields of a summary in a message."""
    return {
        "availabilityZone": summary.availability_zone,
        "version": summary.version,
        "applied": summary.applied,
        "total": summary.total,
        "refused": summary.refused,
        "laggards": [pack_state(state) for state in summary.laggards],
    }


def unpack_summary(packed: Message) -> ZoneSummary:
    """Return the summary from a message."""
    return ZoneSummary(
        packed.availabilityZone,
        packed.version,
        packed.applied,
        packed.total,
        packed.refused,
        [unpack_state(entry) for entry in packed.laggards],
    )
