"""Which nodes are relays, and which stand in for them; the same on every node."""

from typing import NamedTuple

from burdockdock.coordination.membership import Member
from burdockdock.coordination.ranking import MemberRanking

RELAY_SALT = "relay"
_MIN_RELAYS = 3
# Members that may take over the role, per zone and fleet-wide. During a platform outage
# each of them in turn becomes a relay and keeps polling, so their number is limited.
_MAX_CANDIDATES_PER_ZONE = 4
_MAX_FLEET_WIDE_CANDIDATES = 8
# Nodes that can stand in; so many that with half of a fleet hardly ever all are lost.
_MAX_STANDBYS = 12
# If so many members can't reach the platform, it is taken to be away, and more nodes
# that ask it would find out nothing.
_MAX_LOST_BEFORE_AWAY = 8


class RelayRoles(NamedTuple):
    """The relays, and the standbys by rank, as node ids."""

    relays: frozenset[str]
    standbys: list[str]


def select_roles(ranking: MemberRanking) -> RelayRoles:
    """Return the relays and their standbys."""
    relay_ids = frozenset(select_relays(ranking))
    members = ranking.in_all_zones(RELAY_SALT)
    lost_count = sum(member.platform_lost for member in members)
    if lost_count >= _MAX_LOST_BEFORE_AWAY:
        return RelayRoles(relay_ids, [])
    standbys = [m.node_id for m in eligible(members) if m.node_id not in relay_ids]
    return RelayRoles(relay_ids, standbys[:_MAX_STANDBYS])


def select_relays(ranking: MemberRanking) -> set[str]:
    """Return the ids of the relays: one per zone, and at least three if possible."""
    relay_ids = {
        ranked[0].node_id
        for zone in ranking.zones()
        if (
            ranked := eligible(
                ranking.in_zone(RELAY_SALT, zone)[:_MAX_CANDIDATES_PER_ZONE]
            )
        )
    }
    for member in eligible(
        ranking.in_all_zones(RELAY_SALT)[:_MAX_FLEET_WIDE_CANDIDATES]
    ):
        if len(relay_ids) >= _MIN_RELAYS:
            break
        relay_ids.add(member.node_id)
    return relay_ids


def eligible(ranked: list[Member]) -> list[Member]:
    """Return the members that are not leaving and can reach the platform."""
    return [m for m in ranked if not m.leaving and not m.platform_lost]
