"""Members that may take a call, kept up to date in constant time."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple, overload

from burdockdock.coordination.membership import Member


class Place(NamedTuple):
    """Where the node is that draws."""

    node_id: str
    availability_zone: str
    region: str


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
