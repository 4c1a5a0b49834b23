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
            self._orders[key] = _ordered(members, salt)
        return self._orders[key]

    def everywhere(self, salt: str) -> list[Member]:
        """Return all live members in the order for a salt."""
        self._renew()
        key = _Key(salt, "")
        if key not in self._orders:
            members = [m for zone in self._zones.values() for m in zone]
            self._orders[key] = _ordered(members, salt)
        return self._orders[key]

    def _renew(self) -> None:
        if self._generation == self._membership.generation:
            return
        self._generation = self._membership.generation
        self._orders.clear()
        self._zones = {}
        for member in self._membership.live():
            self._zones.setdefault(member.availability_zone, []).append(member)


def _ordered(members: list[Member], salt: str) -> list[Member]:
    return sorted(members, key=lambda m: rank(m.node_id, salt))
