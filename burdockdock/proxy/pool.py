"""Members that may take a call, from which a few are drawn in constant time."""

import random
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple, overload

from burdockdock.coordination.membership import Member

# Up to this size all members are compared, beyond it a sample of so many.
LARGEST_WHOLE = 16
# Draws that meet a member again or one that was tried are made anew so often.
_DRAWS_PER_MEMBER = 3


class Place(NamedTuple):
    """Where the node is that draws."""

    node_id: str
    availability_zone: str
    region: str


class Shares(NamedTuple):
    """How a sample is filled up: to these numbers from near, and from anywhere last.

    :param zone: members drawn from the availability zone.
    :param region: members drawn from the zone and the region together.
    """

    zone: int = 10
    region: int = 13


EVEN_SHARES = Shares()


class _Bag:
    """Members that are put, removed and drawn in constant time."""

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
        """Remove a member, if it is there; the last one takes its position."""
        position = self._positions.pop(node_id, None)
        if position is None:
            return
        last = self.members.pop()
        if last.node_id != node_id:
            self.members[position] = last
            self._positions[last.node_id] = position


class Pool(Sequence[Member]):
    """Members that may take a call, indexed for a node that draws some of them.

    :param place: where that node is.

    ``slots`` is the number of calls that they run at a time, where each counts for one
    at least.
    """

    def __init__(self, place: Place, members: Iterable[Member] = ()) -> None:
        self._place = place
        self._all = _Bag()
        self._zone = _Bag()
        self._region = _Bag()
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
        """Return a member by its id."""
        return self._all.get(node_id)

    def put(self, member: Member) -> None:
        """Add a member or its newer entry."""
        self.remove(member.node_id)
        self.slots += max(1, member.slots)
        self._all.put(member)
        if member.availability_zone == self._place.availability_zone:
            self._zone.put(member)
        if member.region == self._place.region:
            self._region.put(member)

    def remove(self, node_id: str) -> None:
        """Remove a member, if it is there."""
        known = self._all.get(node_id)
        if known is None:
            return
        self.slots -= max(1, known.slots)
        for bag in (self._all, self._zone, self._region):
            bag.remove(node_id)

    def sample(
        self,
        rng: random.Random,
        *,
        excluded: frozenset[str] = frozenset(),
        shares: Shares = EVEN_SHARES,
    ) -> list[Member]:
        """Return the members to compare for one call.

        All of a small pool; of a larger one the drawing node's own, some of its
        availability zone, some of its region, and some of all. Where one of these has
        too few, the next gives more. Members that were tried are left out unless there
        is no other.

        :param excluded: node ids that were tried already.
        """
        if len(self) - len(excluded) <= LARGEST_WHOLE:
            return self._untried(excluded) or list(self)
        drawn: dict[str, Member] = {}
        own = self._all.get(self._place.node_id)
        if own is not None and own.node_id not in excluded:
            drawn[own.node_id] = own
        _fill(drawn, shares.zone, self._zone, excluded=excluded, rng=rng)
        _fill(drawn, shares.region, self._region, excluded=excluded, rng=rng)
        _fill(drawn, LARGEST_WHOLE, self._all, excluded=excluded, rng=rng)
        return list(drawn.values()) or self._untried(excluded)

    def _untried(self, excluded: frozenset[str]) -> list[Member]:
        return [m for m in self if m.node_id not in excluded]


def _fill(
    drawn: dict[str, Member],
    wanted: int,
    bag: _Bag,
    *,
    excluded: frozenset[str],
    rng: random.Random,
) -> None:
    """Draw members of a bag until so many are drawn, fewer where it has no others."""
    members = bag.members
    size = len(members)
    missing = wanted - len(drawn)
    if size <= missing:
        drawn.update((m.node_id, m) for m in members if m.node_id not in excluded)
        return
    for _ in range(missing * _DRAWS_PER_MEMBER):
        member = members[int(rng.random() * size)]
        if member.node_id not in excluded:
            drawn[member.node_id] = member
        if len(drawn) == wanted:
            return
