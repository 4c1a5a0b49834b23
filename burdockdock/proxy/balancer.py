"""Choice of the backend server for an attempt of a call."""

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member

_EJECTION_BASE_S = 2.0
_EJECTION_CAP_S = 30.0
_FAILURES_TO_EJECT = 5
_MAX_EJECTED_SHARE = 0.5
_SPILL_LOAD = 0.8
_LOAD_FRESH_S = 2.0


class _Health(NamedTuple):
    """Results of one backend server as seen from this node."""

    failures_in_row: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class _Load(NamedTuple):
    """Load that a backend server's node told with its last answer."""

    calls: int
    told_at_s: float


class Balancer:
    """Picks by two random choices on load, own availability zone first.

    :param availability_zone: this node's own.
    :param region: this node's own.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        region: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._availability_zone = availability_zone
        self._region = region
        self._clock = clock
        self._rng = rng
        self._in_flight: dict[str, int] = defaultdict(int)
        self._told: dict[str, _Load] = {}
        self._health: dict[str, _Health] = {}

    def pick(
        self, members: Iterable[Member], *, excluded: frozenset[str] = frozenset()
    ) -> Member | None:
        """Return the member to send an attempt to.

        :param members: those that may take the call.
        :param excluded: node ids that were tried already.
        """
        members = list(members)
        untried = [m for m in members if m.node_id not in excluded]
        candidates = untried or members
        candidates = self._without_ejected(candidates)
        for near in self._by_distance(candidates):
            choice = self._better_of_two(near)
            if choice is not None and self.utilization(choice) < _SPILL_LOAD:
                return choice
        return self._better_of_two(candidates)

    def started(self, node_id: str) -> None:
        """Count an attempt in flight."""
        self._in_flight[node_id] += 1

    def tell_load(self, node_id: str, calls: int) -> None:
        """Take in the load that a backend server's node told."""
        self._told[node_id] = _Load(calls, self._clock.monotonic())

    def finished(self, node_id: str, *, failed: bool) -> None:
        """Take in how an attempt ended.

        :param failed: the backend server's or its node's own fault.
        """
        self._in_flight[node_id] -= 1
        if not self._in_flight[node_id]:
            del self._in_flight[node_id]
        self._judge(node_id, failed)

    def forget(self, node_id: str) -> None:
        """Drop what is known of a member that is gone."""
        self._told.pop(node_id, None)
        self._health.pop(node_id, None)

    def utilization(self, member: Member) -> float:
        """Return the load of a member as a share of its slots."""
        calls = self._in_flight.get(member.node_id, 0)
        told = self._told.get(member.node_id)
        if told is not None:
            fresh = self._clock.monotonic() - told.told_at_s < _LOAD_FRESH_S
            calls = max(calls, told.calls) if fresh else calls
        return calls / max(1, member.slots)

    def is_ejected(self, node_id: str) -> bool:
        """Tell whether a member is left out for its failures."""
        health = self._health.get(node_id)
        return health is not None and (self._clock.monotonic() < health.ejected_until_s)

    def _better_of_two(self, members: list[Member]) -> Member | None:
        if len(members) < 2:
            return members[0] if members else None
        first, second = self._rng.sample(members, 2)
        return min(first, second, key=self.utilization)

    def _by_distance(self, members: list[Member]) -> list[list[Member]]:
        zone = [m for m in members if m.availability_zone == self._availability_zone]
        region = [m for m in members if m.region == self._region]
        return [zone, region]

    def _without_ejected(self, members: list[Member]) -> list[Member]:
        """Leave out ejected members, but never more than a share of them."""
        healthy = [m for m in members if not self.is_ejected(m.node_id)]
        if len(healthy) < len(members) * (1 - _MAX_EJECTED_SHARE):
            return members
        return healthy

    def _judge(self, node_id: str, failed: bool) -> None:
        if not failed:
            self._health.pop(node_id, None)
            return
        health = self._health.get(node_id, _Health())
        count = health.failures_in_row + 1
        if count < _FAILURES_TO_EJECT:
            self._health[node_id] = health._replace(failures_in_row=count)
            return
        seconds_s = min(_EJECTION_CAP_S, _EJECTION_BASE_S * 2**health.ejections)
        self._health[node_id] = _Health(
            0, health.ejections + 1, self._clock.monotonic() + seconds_s
        )
