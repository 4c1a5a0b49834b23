"""Share of a cold member's rate that the calls of one node may use."""

import random
from collections.abc import Callable, Sequence

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member

# How long a member is left out after it refused a call as cold.
_REFUSED_S = 0.25


def share_interval_s(rate_per_s: float, nodes: int) -> float:
    """Return the seconds between two calls of one node to a cold member.

    The gate admits no more than the rate; what nodes send in excess is refused there
    and costs an attempt each. Nodes don't know each other's calls, so that each of them
    uses an equal share.
    """
    return max(1, nodes) / rate_per_s


class ColdShares:
    """Leaves out cold members of which this node has used its share.

    :param rate_of: returns the requests per second that a cold member of a service
        takes, 0 for no limit.
    :param nodes: returns how many nodes send calls.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        rate_of: Callable[[str], float] = lambda _service: 0.0,
        nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._rate_of = rate_of
        self._nodes = nodes
        self._next_at_s: dict[str, float] = {}
        self._refused_until_s: dict[str, float] = {}

    def within_share(self, members: Sequence[Member]) -> Sequence[Member]:
        """Return the members that may get a call, all of them if none may.

        Where all members are cold, the gates know better what room is left.
        """
        if not self._refused_until_s and not any(m.cold for m in members):
            return members
        return [m for m in members if self._may_get_call(m)] or members

    def sent(self, member: Member | None) -> None:
        """Count a call to a member, if there is one."""
        is_cold = member is not None and member.cold
        rate_per_s = self._rate_of(member.service) if is_cold else 0.0
        if not rate_per_s:
            return
        interval_s = share_interval_s(rate_per_s, self._nodes())
        self._next_at_s[member.node_id] = self._clock.monotonic() + interval_s

    def refused(self, node_id: str) -> None:
        """Leave out a member for a moment that refused a call as cold.

        Its gate may know more than its entry says, and looks idle as it refuses.
        """
        self._refused_until_s[node_id] = self._clock.monotonic() + _REFUSED_S

    def forget(self, node_id: str) -> None:
        """Drop the state of a member that left."""
        self._next_at_s.pop(node_id, None)
        self._refused_until_s.pop(node_id, None)

    def _may_get_call(self, member: Member) -> bool:
        refused_until_s = self._refused_until_s.get(member.node_id)
        if refused_until_s is not None:
            if self._clock.monotonic() < refused_until_s:
                return False
            del self._refused_until_s[member.node_id]
        if not member.cold:
            return True
        rate_per_s = self._rate_of(member.service)
        if not rate_per_s:
            return True
        interval_s = share_interval_s(rate_per_s, self._nodes())
        return self._clock.monotonic() >= self._schedule_call(member, interval_s)

    def _schedule_call(self, member: Member, interval_s: float) -> float:
        """Return when a cold member may get its next call.

        The first one after a pause is scheduled at a random time within the interval.
        All nodes learn at once that a member is cold, and would all call it at once.
        """
        now_s = self._clock.monotonic()
        next_at_s = self._next_at_s.get(member.node_id, float("-inf"))
        if now_s - next_at_s > interval_s:
            next_at_s = now_s + self._rng.random() * interval_s
            self._next_at_s[member.node_id] = next_at_s
        return next_at_s
