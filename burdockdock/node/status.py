"""Status reports of a node and of the fleet for operators."""

from typing import TypedDict

from burdockdock.configuration.model import Problem
from burdockdock.coordination.membership import MembershipTable
from burdockdock.node.peer_server import PeerServer
from burdockdock.overlay.applied import AppliedTracker
from burdockdock.overlay.applied_status import AppliedState, FleetStatus
from burdockdock.overlay.datagrams import Datagrams
from burdockdock.overlay.sync import SyncClient
from burdockdock.platform_api.client import PlatformClient
from burdockdock.rollout.model import Rollout
from burdockdock.rollout.view import RolloutView


class Laggard(TypedDict):
    """A node that does not apply the newest configuration version, and why."""

    node_id: str
    version: int
    refused_version: int
    reason: str


class FleetReport(TypedDict):
    """How many nodes apply the newest configuration version.

    :param refused: number of nodes that refused it as invalid.
    """

    version: int
    applied: int
    total: int
    refused: int
    laggards: list[Laggard]


class MoveReport(TypedDict):
    """Progress of the newest rollout of a service.

    :param share: share of traffic that the new version gets, from 0 to 1.
    """

    service: str
    phase: str
    share: float


class ControlBytes(TypedDict):
    """Bytes of overlay messages since the node started."""

    datagrams_sent: int
    datagrams_received: int
    sync_sent: int
    sync_received: int


class StatusReport(TypedDict):
    """Complete status of a node.

    :param unused_sections: why sections of the configuration are out of use on the
        node, by their names.
    :param fleet: None if the reporter of the node's availability zone did not answer.
    """

    node: str
    availability_zone: str
    config_version: int
    unused_sections: dict[str, str]
    is_relay: bool
    members: int
    dead_members: int
    platform_failures_in_row: int
    fleet: FleetReport | None
    moves: list[MoveReport]
    evacuated_zones: list[str]
    control_bytes: ControlBytes


async def report_status(
    membership: MembershipTable,
    *,
    config_version: int,
    unused_sections: dict[str, Problem],
    is_relay: bool,
    platform: PlatformClient,
    applied: AppliedTracker,
    rollouts: RolloutView,
    evacuated_zones: frozenset[str],
    datagrams: Datagrams,
    sync: SyncClient,
    server: PeerServer,
) -> StatusReport:
    """Return the status of a node, with the fleet's as its zone's reporter knows it."""
    return StatusReport(
        node=membership.own.node_id,
        availability_zone=membership.own.availability_zone,
        config_version=config_version,
        unused_sections={name: str(p) for name, p in unused_sections.items()},
        is_relay=is_relay,
        members=len(membership.live()),
        dead_members=len(membership.dead()),
        platform_failures_in_row=platform.failures_in_row,
        fleet=report_fleet(await applied.status()),
        moves=[report_move(rollout) for rollout in rollouts.all()],
        evacuated_zones=sorted(evacuated_zones),
        control_bytes=report_control_bytes(datagrams, sync, server),
    )


def report_fleet(status: FleetStatus | None) -> FleetReport | None:
    """Return the fleet section of a status report."""
    if status is None:
        return None
    return FleetReport(
        version=status.version,
        applied=status.applied,
        total=status.total,
        refused=status.refused,
        laggards=[report_laggard(state) for state in status.laggards],
    )


def report_laggard(state: AppliedState) -> Laggard:
    """Return the entry of one laggard in a fleet report."""
    return Laggard(
        node_id=state.node_id,
        version=state.version,
        refused_version=state.refused_version,
        reason=state.reason,
    )


def report_move(rollout: Rollout) -> MoveReport:
    """Return the entry of one rollout in a status report."""
    return MoveReport(
        service=rollout.service, phase=rollout.phase.value, share=rollout.share
    )


def report_control_bytes(
    datagrams: Datagrams, sync: SyncClient, server: PeerServer
) -> ControlBytes:
    """Return the overlay traffic section of a status report."""
    return ControlBytes(
        datagrams_sent=datagrams.sent_bytes,
        datagrams_received=datagrams.received_bytes,
        sync_sent=sync.sent_bytes + server.sync_sent_bytes,
        sync_received=sync.received_bytes + server.sync_received_bytes,
    )
