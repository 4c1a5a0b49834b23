"""Connects cold backend servers with the configuration and the membership."""

from collections.abc import Callable

from burdockdock.configuration.model import Snapshot
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.gate.cold_admission import ColdAdmission, ColdLimits
from burdockdock.logs import log_event
from burdockdock.node.settings import NodeSettings


def cold_limits_callback(
    settings: NodeSettings, snapshot: Callable[[], Snapshot]
) -> Callable[[str], ColdLimits]:
    """Return a function that returns the limits of the cold servers of a service."""

    def limits_of(service: str) -> ColdLimits:
        found = snapshot().services.get(service)
        if found is None:
            return ColdLimits()
        bound = 0.0
        if found.cold_per_s and settings.cold_overage:
            bound = found.cold_per_s * settings.cold_overage + settings.cold_slack
        return ColdLimits(found.cold_per_s, found.cold_start_ms / 1000, bound)

    return limits_of


def suspect_cold_with_zone(
    membership: MembershipTable, admission: ColdAdmission
) -> None:
    """Suspect that the own server is cold when another one of the zone turns cold.

    Servers of a zone turn cold together, but announce it up to an interval later, each
    at its own time. The first one to say so warns the others. A server that has just
    started is cold for its own reason.
    """
    own_zone = membership.own.availability_zone

    def on_member_change(member: Member, previous: Member | None) -> None:
        if member.availability_zone != own_zone or member == membership.own:
            return
        if _has_turned_cold(member, previous):
            log_event("backend.cold_suspected", told_by=member.node_id)
            admission.suspect_cold()

    membership.subscribe(on_member_change)


def _has_turned_cold(member: Member, previous: Member | None) -> bool:
    """Return whether a member that was in use has become cold."""
    if previous is None or previous.cold or not member.cold:
        return False
    return previous.takes_work and member.takes_work
