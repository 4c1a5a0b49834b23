"""Ranking of members, so that every node selects the same ones without consensus."""

from typing import NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.tree import rank


class _RankingKey(NamedTuple):
    salt: str
    availability_zone: str


class MemberRanking:
    """Ranked lists of the live members, cached until the membership changes.

    Each role uses a salt of its own, which gives it a ranking of its own.
    """

    def __init__(self, membership: MembershipTable) -> None:
        self._membership = membership
        self._generation = -1
        self._zones: dict[str, list[Member]] = {}
        self._ranked_members: dict[_RankingKey, list[Member]] = {}
        self._tree_orders: dict[_RankingKey, list[Member]] = {}
        self._rank_cache: dict[_RankingKey, dict[str, bytes]] = {}

    @property
    def generation(self) -> int:
        """Number that changes with every change of the membership."""
        return self._membership.generation

    def zones(self) -> dict[str, list[Member]]:
        """Return the live members of each availability zone, unranked."""
        self._refresh()
        return self._zones

    def in_zone(self, salt: str, availability_zone: str) -> list[Member]:
        """Return the live members of an availability zone, ranked with a salt."""
        self._refresh()
        key = _RankingKey(salt, availability_zone)
        if key not in self._ranked_members:
            members = self._zones.get(availability_zone, [])
            self._ranked_members[key] = self._sort_by_rank(key, members)
        return self._ranked_members[key]

    def tree_order(self, salt: str, availability_zone: str) -> list[Member]:
        """Return the live members of a zone, ranked, with those that leave last.

        Members at the end of a broadcast tree have no children, so nobody misses a
        message because his parent stops.
        """
        self._refresh()
        key = _RankingKey(salt, availability_zone)
        if key not in self._tree_orders:
            ranked = self.in_zone(salt, availability_zone)
            self._tree_orders[key] = sorted(ranked, key=lambda m: m.leaving)
        return self._tree_orders[key]

    def in_all_zones(self, salt: str) -> list[Member]:
        """Return the live members of all availability zones, ranked with a salt."""
        self._refresh()
        key = _RankingKey(salt, "")
        if key not in self._ranked_members:
            members = [m for zone in self._zones.values() for m in zone]
            self._ranked_members[key] = self._sort_by_rank(key, members)
        return self._ranked_members[key]

    def _refresh(self) -> None:
        if self._generation == self._membership.generation:
            return
        self._generation = self._membership.generation
        self._ranked_members.clear()
        self._tree_orders.clear()
        self._zones = {}
        for member in self._membership.live():
            self._zones.setdefault(member.availability_zone, []).append(member)

    def _sort_by_rank(self, key: _RankingKey, members: list[Member]) -> list[Member]:
        """Sort members by rank; reuse the ranks of members that were present before."""
        cached_ranks = self._rank_cache.get(key, {})
        ranks = {
            m.node_id: cached_ranks.get(m.node_id) or rank(m.node_id, key.salt)
            for m in members
        }
        self._rank_cache[key] = ranks
        return sorted(members, key=lambda m: ranks[m.node_id])
