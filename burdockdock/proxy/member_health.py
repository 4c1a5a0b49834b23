"""Ejection of backend servers whose calls fail."""

from typing import NamedTuple

from burdockdock.coordination.membership import Member
from burdockdock.proxy.pool import Pool

# Doubles with each ejection: a short fault costs little, a lasting one few calls.
_EJECTION_BASE_S = 2.0
# Bounds how long a member that works again stays unused.
_EJECTION_CAP_S = 30.0
# Single failures are common, so only a run of them ejects.
_FAILURES_TO_EJECT = 5
# If more members fail, the cause is likely shared, and the rest couldn't take the load.
_MAX_EJECTED_SHARE = 0.5


class _Health(NamedTuple):
    """Failures and ejections of one backend server as seen by this node."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class MemberHealth:
    """Tracks the failures of members and which of them are ejected."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def __bool__(self) -> bool:
        """Return whether any member's latest call failed."""
        return bool(self._health)

    def record(self, node_id: str, *, failed: bool, now_s: float) -> None:
        """Record the end of an attempt; eject the member after enough failures."""
        if not failed:
            self._health.pop(node_id, None)
            return
        health = self._health.get(node_id, _Health())
        count = health.consecutive_failures + 1
        if count < _FAILURES_TO_EJECT:
            self._health[node_id] = health._replace(consecutive_failures=count)
            return
        ejection_s = min(_EJECTION_CAP_S, _EJECTION_BASE_S * 2**health.ejections)
        self._health[node_id] = _Health(0, health.ejections + 1, now_s + ejection_s)

    def forget(self, node_id: str) -> None:
        """Drop the state of a member."""
        self._health.pop(node_id, None)

    def without_ejected(self, members: list[Member], now_s: float) -> list[Member]:
        """Leave out ejected members.

        Return all members if more than the maximum share of them is ejected.
        """
        healthy = [m for m in members if not self._is_ejected(m.node_id, now_s)]
        if len(healthy) < len(members) * (1 - _MAX_EJECTED_SHARE):
            return members
        return healthy

    def healthy_in_sample(
        self, sample: list[Member], pool: Pool, now_s: float
    ) -> list[Member]:
        """Leave out the ejected members of a sample.

        The maximum ejected share applies to the pool, because a sample may contain a
        larger share of ejected members. Return the whole sample if the pool exceeds
        that share.
        """
        healthy = [m for m in sample if not self._is_ejected(m.node_id, now_s)]
        if not healthy or len(healthy) == len(sample):
            return sample
        ejected = sum(
            self._is_ejected(node_id, now_s)
            for node_id in self._health
            if pool.get(node_id) is not None
        )
        return sample if ejected > len(pool) * _MAX_EJECTED_SHARE else healthy

    def _is_ejected(self, node_id: str, now_s: float) -> bool:
        """Return whether a member is currently ejected for its failures."""
        health = self._health.get(node_id)
        return health is not None and now_s < health.ejected_until_s
