"""Membership table with the rules for merging updates from other nodes."""

import hashlib
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import NamedTuple

from burdockdock.clock import Clock

# Members are divided into buckets by a hash of their ids. An exchange transfers only
# the members of buckets whose digests differ.
BUCKET_COUNT = 256


class MemberState(IntEnum):
    """Liveness state; at equal incarnations, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(NamedTuple):
    """The entry of one node in the membership table.

    :param incarnation: increased only by the member itself, at each of its changes.
    :param leaving: whether the member is about to leave and gets no new calls.
    :param ready: whether the member's backend server accepts calls.
    :param service: service of the backend server, or empty without a backend server.
    :param service_version: version of the backend server.
    :param slots: maximum number of concurrent calls on the backend server.
    :param platform_lost: whether the member can't reach the platform.
    :param stopped: whether the backend server's version was stopped and its last call
        has ended.
    :param cold: whether the backend server takes fewer calls since it is warming up.
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
    cold: bool = False

    @property
    def takes_work(self) -> bool:
        """Whether new calls may be sent to the member's backend server."""
        return self.state is MemberState.ALIVE and self.ready and not self.leaving


class MembershipTable:
    """All members known to this node, including itself.

    ``generation`` increases with each stored entry, not when one expires.

    :param own: this node's own entry.
    :param tombstone_s: seconds for which the entry of a dead member is kept, so that an
        outdated update can't add the member again.
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
        self._xor_into_digests(own)
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
        """Digest of each bucket; buckets with the same members have equal digests."""
        return tuple(self._bucket_digests)

    @property
    def digest(self) -> int:
        """Digest of the whole table."""
        return self._digest

    def get(self, node_id: str) -> Member | None:
        """Return a member by its id, or None if it is unknown."""
        return self._members.get(node_id)

    def live(self) -> list[Member]:
        """Return the members that are not dead, including this node."""
        return [m for m in self._members.values() if m.state is not MemberState.DEAD]

    def dead(self) -> list[Member]:
        """Return the dead members whose entries have not expired."""
        return [m for m in self._members.values() if m.state is MemberState.DEAD]

    def in_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the members that belong to any of the buckets."""
        return [m for m in self._members.values() if bucket_of(m.node_id) in buckets]

    def subscribe(self, listener: Callable[[Member, Member | None], None]) -> None:
        """Call a function on each change with the new entry and the old one or None."""
        self._listeners.append(listener)

    def update_own(self, **changes: object) -> Member:
        """Change this node's own entry and increase its incarnation."""
        own = self.own
        updated = own._replace(incarnation=own.incarnation + 1, **changes)
        self._store(updated)
        return updated

    def may_change(self, node_id: str, incarnation: int, state: int) -> bool:
        """Return whether merging an update with these fields may have an effect.

        Most updates arrive more than once. The check avoids decoding the remaining
        fields of duplicates.
        """
        known = self._members.get(node_id)
        if known is None:
            return True
        if node_id == self._own_id:
            return incarnation >= known.incarnation or state != MemberState.ALIVE
        return (incarnation, state) > _precedence(known)

    def merge(self, update: Member) -> Member | None:
        """Merge an update from another node.

        A wrong update about this node is refuted with a higher incarnation.

        :returns: the entry to forward: the update if it was new, this node's own entry
            if the update has to be refuted, otherwise None.
        """
        if update.node_id == self._own_id:
            return self._refute(update)
        known = self._members.get(update.node_id)
        if known is not None and _precedence(update) <= _precedence(known):
            return None
        self._store(update)
        return update

    def suspect(self, node_id: str) -> Member | None:
        """Mark a member that didn't respond as suspect.

        :returns: the changed entry, or None if the member was not alive.
        """
        known = self._members.get(node_id)
        if known is None or known.state is not MemberState.ALIVE:
            return None
        return self._change_state(known, MemberState.SUSPECT)

    def confirm_dead(self, node_id: str, *, incarnation: int) -> Member | None:
        """Mark a suspect as dead unless it has refuted the suspicion.

        :param incarnation: incarnation at which the member became suspect.
        :returns: the changed entry, or None if the member was not marked.
        """
        known = self._members.get(node_id)
        if known is None or known.state is not MemberState.SUSPECT:
            return None
        if known.incarnation != incarnation:
            return None
        return self._change_state(known, MemberState.DEAD)

    def remove_expired(self) -> int:
        """Remove dead members whose tombstone time has passed; return their number."""
        cutoff_s = self._clock.monotonic() - self._tombstone_s
        expired = [
            key for key, died_at_s in self._died_at_s.items() if died_at_s <= cutoff_s
        ]
        for node_id in expired:
            member = self._members.pop(node_id)
            del self._died_at_s[node_id]
            self._xor_into_digests(member)
        return len(expired)

    def _refute(self, update: Member) -> Member | None:
        """Return this node's own entry if the update has to be refuted, else None.

        Its incarnation is raised above the update's unless it is already higher.
        """
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
            self._xor_into_digests(known)
        self._xor_into_digests(member)
        self._members[node_id] = member
        if member.state is MemberState.DEAD:
            self._died_at_s[node_id] = self._clock.monotonic()
        else:
            self._died_at_s.pop(node_id, None)
        self.generation += 1
        for listener in self._listeners:
            listener(member, known)

    def _xor_into_digests(self, member: Member) -> None:
        """Add an entry to the digests by XOR; a second call removes it again."""
        fingerprint = _fingerprint(member)
        self._bucket_digests[bucket_of(member.node_id)] ^= fingerprint
        self._digest ^= fingerprint


def bucket_of(node_id: str) -> int:
    """Return the bucket that a member belongs to."""
    digest = hashlib.blake2b(node_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % BUCKET_COUNT


def _precedence(member: Member) -> tuple[int, int]:
    return member.incarnation, member.state


def _fingerprint(member: Member) -> int:
    text = f"{member.node_id}/{member.incarnation}/{int(member.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())
