"""The table of members and the rules for merging updates from other nodes."""

import hashlib
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import NamedTuple

from burdockdock.clock import Clock

BUCKET_COUNT = 256


class MemberState(IntEnum):
    """What the group believes of a member; a higher one wins a tie."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(NamedTuple):
    """One node as the group knows it.

    :param incarnation: raised only by the member itself, at each change it makes.
    :param leaving: the member takes no new work.
    :param ready: its backend server takes calls.
    :param service: name of the backend server's service, empty without one.
    :param service_version: the backend server's version.
    :param slots: calls that the backend server runs at a time.
    :param platform_lost: the platform does not answer this member.
    :param stopped: its backend server's version takes no calls, and none runs there.
    """

    node_id: str
    host: str
    port: int
    region: str
    availability_zone: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    leaving: bool = False
    ready: bool = False
    service: str = ""
    service_version: str = ""
    slots: int = 0
    platform_lost: bool = False
    stopped: bool = False

    @property
    def takes_work(self) -> bool:
        """Whether new calls may be sent to the member's backend server."""
        return self.state is MemberState.ALIVE and self.ready and not self.leaving


class MembershipTable:
    """All members known to this node, itself included.

    :param own: this node's own entry.
    :param tombstone_s: seconds a dead member is remembered.
    """

    def __init__(
        self, own: Member, *, clock: Clock, tombstone_s: float = 900.0
    ) -> None:
        self._clock = clock
        self._tombstone_s = tombstone_s
        self._members: dict[str, Member] = {own.node_id: own}
        self._died_at_s: dict[str, float] = {}
        self._own_id = own.node_id
        self._bucket_digests = [0] * BUCKET_COUNT
        self._digest = 0
        self._toggle(own)
        self._listeners: list[Callable[[Member, Member | None], None]] = []
        self.generation = 0

    def __iter__(self) -> Iterator[Member]:
        return iter(list(self._members.values()))

    def __len__(self) -> int:
        return len(self._members)

    @property
    def own(self) -> Member:
        """This node's own entry."""
        return self._members[self._own_id]

    @property
    def bucket_digests(self) -> tuple[int, ...]:
        """A digest of each bucket of members, equal where the members are."""
        return tuple(self._bucket_digests)

    @property
    def digest(self) -> int:
        """A digest of the whole table."""
        return self._digest

    def get(self, node_id: str) -> Member | None:
        """Return a member by its id."""
        return self._members.get(node_id)

    def live(self) -> list[Member]:
        """Return the members that are not dead, this node included."""
        return [m for m in self._members.values() if m.state is not MemberState.DEAD]

    def dead(self) -> list[Member]:
        """Return the members that died lately."""
        return [m for m in self._members.values() if m.state is MemberState.DEAD]

    def in_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the members of some buckets."""
        return [m for m in self._members.values() if bucket_of(m.node_id) in buckets]

    def subscribe(self, listener: Callable[[Member, Member | None], None]) -> None:
        """Call a function with the new and the old entry at each change."""
        self._listeners.append(listener)

    def update_own(self, **changes: object) -> Member:
        """Change this node's own entry under a higher incarnation."""
        own = self.own
        updated = own._replace(incarnation=own.incarnation + 1, **changes)
        self._store(updated)
        return updated

    def may_change(self, node_id: str, incarnation: int, state: int) -> bool:
        """Tell whether merging an update may do something, by its first fields alone.

        Most updates arrive more than once; these need not be read whole.
        """
        known = self._members.get(node_id)
        if known is None:
            return True
        if node_id == self._own_id:
            return incarnation >= known.incarnation or state != MemberState.ALIVE
        return (incarnation, state) > _order(known)

    def merge(self, update: Member) -> Member | None:
        """Take in what another node says of a member.

        An update about this node itself is refuted by a higher incarnation.

        :returns: the entry that should go on: the update if it was news, this node's
            own entry in place of one that is wrong about it, else None.
        """
        if update.node_id == self._own_id:
            return self._refute(update)
        known = self._members.get(update.node_id)
        if known is not None and _order(update) <= _order(known):
            return None
        self._store(update)
        return update

    def suspect(self, node_id: str) -> Member | None:
        """Mark a member that did not answer as suspect."""
        known = self._members.get(node_id)
        if known is None or known.state is not MemberState.ALIVE:
            return None
        return self._change_state(known, MemberState.SUSPECT)

    def confirm_dead(self, node_id: str, *, incarnation: int) -> Member | None:
        """Mark a suspect dead unless it refuted the suspicion meanwhile."""
        known = self._members.get(node_id)
        if known is None or known.state is not MemberState.SUSPECT:
            return None
        if known.incarnation != incarnation:
            return None
        return self._change_state(known, MemberState.DEAD)

    def remove_expired(self) -> int:
        """Drop the tombstones that have expired; return how many."""
        limit_s = self._clock.monotonic() - self._tombstone_s
        old = [key for key, died_s in self._died_at_s.items() if died_s <= limit_s]
        for node_id in old:
            member = self._members.pop(node_id)
            del self._died_at_s[node_id]
            self._toggle(member)
        return len(old)

    def _refute(self, update: Member) -> Member | None:
        own = self.own
        if update == own:
            return None
        if update.incarnation >= own.incarnation:
            self._store(own._replace(incarnation=update.incarnation + 1))
        elif update.state is MemberState.ALIVE:
            return None
        return self.own

    def _change_state(self, member: Member, state: MemberState) -> Member:
        changed = member._replace(state=state)
        self._store(changed)
        return changed

    def _store(self, member: Member) -> None:
        node_id = member.node_id
        known = self._members.get(node_id)
        if known is not None:
            self._toggle(known)
        self._toggle(member)
        self._members[node_id] = member
        if member.state is MemberState.DEAD:
            self._died_at_s[node_id] = self._clock.monotonic()
        else:
            self._died_at_s.pop(node_id, None)
        self.generation += 1
        for listener in self._listeners:
            listener(member, known)

    def _toggle(self, member: Member) -> None:
        """Add an entry to the digests, or take it out again."""
        fingerprint = _fingerprint(member)
        self._bucket_digests[bucket_of(member.node_id)] ^= fingerprint
        self._digest ^= fingerprint


def bucket_of(node_id: str) -> int:
    """Return the bucket that a member belongs to."""
    digest = hashlib.blake2b(node_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % BUCKET_COUNT


def _order(member: Member) -> tuple[int, int]:
    return member.incarnation, member.state


def _fingerprint(member: Member) -> int:
    text = f"{member.node_id}/{member.incarnation}/{int(member.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())
