"""The members that serve each service, by version and traffic weight."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.tree import rank

Weights = dict[str, float]


class Endpoints:
    """Index of the membership by service, kept up to date by its changes.

    :param weights_of: the traffic share of each version of a service, empty when
        every version takes calls alike.
    """

    def __init__(
        self,
        membership: MembershipTable,
        *,
        weights_of: Callable[[str], Weights],
        rng: random.Random,
    ) -> None:
        self._by_service: dict[str, dict[str, Member]] = defaultdict(dict)
        self._weights_of = weights_of
        self._rng = rng
        for member in membership:
            self._update(member, None)
        membership.subscribe(self._update)

    def of_service(self, service: str) -> list[Member]:
        """Return the members that may take new calls of a service.

        Suspects are left out while there are others: a suspicion is often wrong, and
        a call to one that is gone is known not to have run.
        """
        members = self._by_service.get(service, {}).values()
        alive = [m for m in members if m.takes_work]
        if alive:
            return alive
        suspects = [m for m in members if m.state is MemberState.SUSPECT]
        return [m for m in suspects if m.ready and not m.leaving]

    def counts(self) -> dict[str, dict[str, int]]:
        """Return how many members of each service and version take new calls."""
        return {
            service: dict(Counter(m.service_version for m in self.of_service(service)))
            for service in self._by_service
        }

    def for_call(self, service: str, *, key: str = "") -> list[Member]:
        """Return the members of the version drawn for one call.

        Versions are drawn by weight. A version of weight 0 takes no call, even when
        no other is left.

        :param key: the caller's own key, which draws the same version each time
            while the weights stand.
        """
        members = self.of_service(service)
        weights = self._weights_of(service)
        if not weights:
            return members
        versions = {m.service_version for m in members}
        point = _point_of(key) if key else self._rng.random()
        drawn = _draw(versions, weights, point)
        return [m for m in members if m.service_version == drawn]

    def home_of(self, service: str, key: str) -> Member | None:
        """Return the one member that remembers a caller's key."""
        members = self.for_call(service, key=key)
        return min(members, key=lambda m: rank(m.node_id, key), default=None)

    def _update(self, member: Member, known: Member | None) -> None:
        if known is not None and known.service not in ("", member.service):
            self._by_service[known.service].pop(member.node_id, None)
        if member.service:
            self._by_service[member.service][member.node_id] = member


def _draw(versions: Iterable[str], weights: Weights, point: float) -> str | None:
    """Return the version in whose part of the weights a point from 0 to 1 lies."""
    eligible = sorted(v for v in versions if weights.get(v, 0.0) > 0.0)
    left = point * sum(weights[v] for v in eligible)
    for version in eligible:
        left -= weights[version]
        if left < 0.0:
            return version
    return eligible[-1] if eligible else None


def _point_of(key: str) -> float:
    """Return a point from 0 to 1 that is the same for a key on every node."""
    return int.from_bytes(rank(key, "version")) / 2**64
