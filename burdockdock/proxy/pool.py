"""Pools of members that may take a call, with sampling in constant time."""

import random
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple, overload

from burdockdock.coordination.membership import Member

# Pools of up to this size are compared as a whole, larger ones by a sample this large.
SAMPLE_SIZE = 16
# Members that are compared where a zone crossing has a cost: nearly all of the own
# availability zone, so that the free ones among them are found, and a few others.
_HOME_SAMPLE_SIZE = 16
_ELSEWHERE_SAMPLE_SIZE = 4
# Limits the repeated draws after duplicates and excluded members.
_MAX_DRAWS_PER_MEMBER = 3


class Locality(NamedTuple):
    """The id and the location of the node that chooses members."""

    node_id: str
    availability_zone: str
    region: str


class SampleQuotas(NamedTuple):
    """Sizes up to which a sample is filled from nearby members.

    The rest of the sample is drawn from all members.

    :param zone: sample size up to which members of the availability zone are drawn.
    :param region: sample size up to which members of the region are drawn next.
    """

    zone: int = 10
    region: int = 13


DEFAULT_QUOTAS = SampleQuotas()


class ZoneSample(NamedTuple):
    """Members to compare, of the own availability zone and of others."""

    home: list[Member]
    elsewhere: list[Member]


class _MemberSet:
    """A set of members with insertion, removal and random access in constant time."""

    def __init__(self) -> None:
        self.members: list[Member] = []
        self._positions: dict[str, int] = {}

    def get(self, node_id: str) -> Member | None:
        position = self._positions.get(node_id)
        return None if position is None else self.members[position]

    def put(self, member: Member) -> None:
        self._positions[member.node_id] = len(self.members)
        self.members.append(member)

    def remove(self, node_id: str) -> None:
        """Remove a member if present; the last member moves to its position."""
        position = self._positions.pop(node_id, None)
        if position is None:
            return
        last = self.members.pop()
        if last.node_id != node_id:
            self.members[position] = last
            self._positions[last.node_id] = position


class Pool(Sequence[Member]):
    """Members that may take a call, indexed by their distance from the choosing node.

    ``slots`` is the number of calls that the members can run concurrently. Each member
    counts as at least one slot.

    :param locality: location of the choosing node.
    """

    def __init__(self, locality: Locality, members: Iterable[Member] = ()) -> None:
        self._locality = locality
        self._all = _MemberSet()
        self._zone = _MemberSet()
        self._region = _MemberSet()
        self._other_zones = _MemberSet()
        self._other_regions = _MemberSet()
        self.slots = 0
        for member in members:
            self.put(member)

    @overload
    def __getitem__(self, index: int) -> Member: ...

    @overload
    def __getitem__(self, index: slice) -> list[Member]: ...

    def __getitem__(self, index: int | slice) -> Member | list[Member]:
        return self._all.members[index]

    def __iter__(self) -> Iterator[Member]:
        return iter(self._all.members)

    def __len__(self) -> int:
        return len(self._all.members)

    def get(self, node_id: str) -> Member | None:
        """Return the member with this node id, or None."""
        return self._all.get(node_id)

    def put(self, member: Member) -> None:
        """Add a member, or replace its entry."""
        self.remove(member.node_id)
        self.slots += max(1, member.slots)
        self._all.put(member)
        if member.availability_zone == self._locality.availability_zone:
            self._zone.put(member)
        elif member.region == self._locality.region:
            self._other_zones.put(member)
        else:
            self._other_regions.put(member)
        if member.region == self._locality.region:
            self._region.put(member)

    def remove(self, node_id: str) -> None:
        """Remove a member if present."""
        member = self._all.get(node_id)
        if member is None:
            return
        self.slots -= max(1, member.slots)
        for member_set in (
            self._all,
            self._zone,
            self._region,
            self._other_zones,
            self._other_regions,
        ):
            member_set.remove(node_id)

    def sample(
        self,
        rng: random.Random,
        *,
        excluded: frozenset[str] = frozenset(),
        quotas: SampleQuotas = DEFAULT_QUOTAS,
    ) -> list[Member]:
        """Return the members to compare for one call.

        A small pool is returned as a whole. A sample of a larger pool contains the
        choosing node's own member and random members of its availability zone, its
        region and the whole pool. If one of these has too few members, the next one
        fills the gap. Excluded members are left out unless the pool has no others.

        :param excluded: node ids that were already tried.
        :param quotas: how many nearby members a sample of a larger pool contains.
        """
        if len(self) - len(excluded) <= SAMPLE_SIZE:
            return self._untried(excluded) or list(self)
        sampled: dict[str, Member] = {}
        own = self._all.get(self._locality.node_id)
        if own is not None and own.node_id not in excluded:
            sampled[own.node_id] = own
        _fill_sample(sampled, quotas.zone, self._zone, excluded=excluded, rng=rng)
        _fill_sample(sampled, quotas.region, self._region, excluded=excluded, rng=rng)
        _fill_sample(sampled, SAMPLE_SIZE, self._all, excluded=excluded, rng=rng)
        return list(sampled.values()) or self._untried(excluded)

    def sample_by_zone(
        self, rng: random.Random, *, excluded: frozenset[str] = frozenset()
    ) -> ZoneSample:
        """Return the members to compare for one call whose zone crossing has a cost.

        All members of the availability zone, unless it has many, and a few random ones
        of other zones of the region. Members of other regions fill gaps only, and
        excluded members are left out unless the pool has no others.

        :param excluded: node ids that were already tried.
        """
        home = _draw_in_a_row(self._zone, _HOME_SAMPLE_SIZE, rng=rng)
        if excluded:
            home = [m for m in home if m.node_id not in excluded] or _without(
                self._zone, excluded
            )
        missing_count = _ELSEWHERE_SAMPLE_SIZE
        if not home:
            missing_count = SAMPLE_SIZE
        elsewhere = _draw(self._other_zones, missing_count, excluded=excluded, rng=rng)
        missing_count -= len(elsewhere)
        if missing_count and self._other_regions.members:
            elsewhere += _draw(
                self._other_regions, missing_count, excluded=excluded, rng=rng
            )
        if not home and not elsewhere and excluded:
            return self.sample_by_zone(rng)
        return ZoneSample(home, elsewhere)

    def _untried(self, excluded: frozenset[str]) -> list[Member]:
        return [m for m in self if m.node_id not in excluded]


def _without(member_set: _MemberSet, excluded: frozenset[str]) -> list[Member]:
    return [m for m in member_set.members if m.node_id not in excluded]


def _draw_in_a_row(
    member_set: _MemberSet, size: int, *, rng: random.Random
) -> list[Member]:
    """Return members of a set from a random position on, which is a cheap draw.

    Each member is as likely as any other. That the same ones come together doesn't
    matter for a sample that contains nearly all.
    """
    members = member_set.members
    if len(members) <= size:
        return list(members)
    start = int(rng.random() * len(members))
    drawn = members[start : start + size]
    return drawn + members[: size - len(drawn)]


def _draw(
    member_set: _MemberSet,
    size: int,
    *,
    excluded: frozenset[str],
    rng: random.Random,
) -> list[Member]:
    """Return random members of a set, all of a set that isn't larger than the size."""
    members = member_set.members
    if len(members) <= size:
        if not excluded:
            return list(members)
        return [m for m in members if m.node_id not in excluded]
    sampled: dict[str, Member] = {}
    _fill_sample(sampled, size, member_set, excluded=excluded, rng=rng)
    return list(sampled.values())


def _fill_sample(
    sampled: dict[str, Member],
    target_size: int,
    member_set: _MemberSet,
    *,
    excluded: frozenset[str],
    rng: random.Random,
) -> None:
    """Add random members of a set to a sample until it has the target size.

    The sample may stay smaller if the set has too few members that aren't excluded.
    """
    members = member_set.members
    size = len(members)
    missing_count = target_size - len(sampled)
    if size <= missing_count:
        sampled.update((m.node_id, m) for m in members if m.node_id not in excluded)
        return
    for _ in range(missing_count * _MAX_DRAWS_PER_MEMBER):
        member = members[int(rng.random() * size)]
        if member.node_id not in excluded:
            sampled[member.node_id] = member
        if len(sampled) == target_size:
            return
