"""Membership updates that are piggybacked on other messages."""

import math

from burdockdock.coordination.membership import Member

_REPEAT_FACTOR = 3
_MAX_PER_MESSAGE = 6


class GossipQueue:
    """Hands out each update a limited number of times, the freshest first."""

    def __init__(self) -> None:
        self._updates: dict[str, tuple[int, Member]] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Queue the newest update about a member in place of an older one."""
        self._updates[member.node_id] = (0, member)

    def take(self, group_size: int) -> list[Member]:
        """Return updates for one message.

        :param group_size: number of members, which decides on the repeats.
        """
        if not self._updates:
            return []
        limit = _REPEAT_FACTOR * max(1, math.ceil(math.log2(group_size + 1)))
        freshest = sorted(self._updates.values(), key=lambda entry: entry[0])
        chosen = freshest[:_MAX_PER_MESSAGE]
        for sent, member in chosen:
            if sent + 1 >= limit:
                del self._updates[member.node_id]
            else:
                self._updates[member.node_id] = (sent + 1, member)
        return [member for _, member in chosen]
