"""Queue of membership updates to piggyback on other messages."""

import math

from burdockdock.coordination.membership import Member

_RETRANSMIT_MULTIPLIER = 3
_MAX_UPDATES_PER_MESSAGE = 6


class GossipQueue:
    """Returns each update a limited number of times, the least often sent first."""

    def __init__(self) -> None:
        self._updates: dict[str, tuple[int, Member]] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Queue an update about a member; it replaces an older one."""
        self._updates[member.node_id] = (0, member)

    def take(self, group_size: int) -> list[Member]:
        """Return the updates to piggyback on one message.

        :param group_size: number of members; each update is sent O(log n) times.
        """
        if not self._updates:
            return []
        max_sends = _RETRANSMIT_MULTIPLIER * max(
            1, math.ceil(math.log2(group_size + 1))
        )
        least_sent = sorted(self._updates.values(), key=lambda entry: entry[0])
        selected = least_sent[:_MAX_UPDATES_PER_MESSAGE]
        for send_count, member in selected:
            if send_count + 1 >= max_sends:
                del self._updates[member.node_id]
            else:
                self._updates[member.node_id] = (send_count + 1, member)
        return [member for _, member in selected]
