"""Choosing members for roles without agreement: by rank, the same on every node."""

from typing import NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.tree import rank


class _Key(NamedTuple):
    salt: str
    availability_zone: str


class MemberRanking:
    """Orders of the live members, kept until the membership changes."""

    def __init__(self, membership: MembershipTable) -> None:
        self._membership = membership
        self._generation = -1
        self._zones: dict[str, list[Member]] = {}
        self._orders: dict[_Key, list[Member]] = {}
        self._ranks: dict[_Key, dict[str, bytes]] = {}

    @property
    def generation(self) -> int:
        """Changes whenever the members do."""
        return self._membership.generation

    def zones(self) -> dict[str, list[Member]]:
        """Return the live members by availability zone."""
        self._renew()
        return self._zones

    def in_zone(self, salt: str, availability_zone: str) -> list[Member]:
        """Return the live members of a zone in the order for a salt."""
        self._renew()
        key = _Key(salt, availability_zone)
        if key not in self._orders:
            members = self._zones.get(availability_zone, [])
            self._orders[key] = self._ordered(key, members)
        return self._orders[key]

    def in_all_zones(self, salt: str) -> list[Member]:
        """Return all live members in the order for a salt."""
        self._renew()
        key = _Key(salt, "")
        if key not in self._orders:
            members = [m for zone in self._zones.values() for m in zone]
            self._orders[key] = self._ordered(key, members)
        return self._orders[key]

    def _renew(self) -> None:
        if self._generation == self._membership.generation:
            return
        self._generation = self._membership.generation
        self._orders.clear()
        self._zones = {}
        for member in self._membership.live():
            self._zones.setdefault(member.availability_zone, []).append(member)

    def _ordered(self, key: _Key, members: list[Member]) -> list[Member]:
        """Sort members; a rank is worked out once for each member that stays."""
        known = self._ranks.get(key, {})
        ranks = {
            m.node_id: known.get(m.node_id) or rank(m.node_id, key.salt)
            for m in members
        }
        self._ranks[key] = ranks
        return sorted(members, key=lambda m: ranks[m.node_id])
