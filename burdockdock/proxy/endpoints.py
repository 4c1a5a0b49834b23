"""The members that serve each service, by version and traffic weight."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.tree import rank

Weights = dict[str, float]
# Up to this share a new version runs on as few backend servers as carry its calls.
_LARGEST_CANARY_SHARE = 0.25


class Endpoints:
    """Index of the membership by service, kept up to date by its changes.

    :param weights_of: the traffic share of each version of a service, empty when
        every version takes calls alike.
    :param new_version_of: the version that a service is being moved to, empty without
        one.
    """

    def __init__(
        self,
        membership: MembershipTable,
        *,
        weights_of: Callable[[str], Weights],
        rng: random.Random,
        new_version_of: Callable[[str], str] = lambda _service: "",
    ) -> None:
        self._by_service: dict[str, dict[str, Member]] = defaultdict(dict)
        self._weights_of = weights_of
        self._new_version_of = new_version_of
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

    def for_call(
        self, service: str, *, key: str = "", full: frozenset[str] = frozenset()
    ) -> list[Member]:
        """Return the members of the version drawn for one call.

        Versions are drawn by weight. A version of weight 0 takes no call, even when
        no other is left. Of a new version with a small share only a few members take
        calls, so that they are as loaded as they will be with all of it: a fault
        that shows under load shows while few calls meet it.

        :param key: the caller's own key, which draws the same version each time
            while the weights stand.
        :param full: node ids that had no room for the call.
        """
        members = self.of_service(service)
        weights = self._weights_of(service)
        if not weights:
            return members
        versions = {m.service_version for m in members}
        point = _point_of(key) if key else self._rng.random()
        drawn = _draw(versions, weights, point)
        members = [m for m in members if m.service_version == drawn]
        if key or drawn is None or drawn != self._new_version_of(service):
            return members
        return _canaries(members, share=weights[drawn], full=full)

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


def _canaries(
    members: list[Member], *, share: float, full: frozenset[str]
) -> list[Member]:
    """Return the few members that take a small share; others at each share.

    Members differ in speed, so that the same few would stand for the version.
    """
    if share > _LARGEST_CANARY_SHARE:
        return members
    order = sorted(members, key=lambda m: rank(m.node_id, f"canary/{share}"))
    few = order[: math.ceil(share * len(order))]
    return [m for m in few if m.node_id not in full] or members


def _point_of(key: str) -> float:
    """Return a point from 0 to 1 that is the same for a key on every node."""
    return int.from_bytes(rank(key, "version")) / 2**64
