"""The members that serve each service, by version and traffic weight."""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.tree import rank
from burdockdock.proxy.pool import Place, Pool

Weights = dict[str, float]
# Up to this share a new version runs on as few backend servers as carry its calls.
_LARGEST_CANARY_SHARE = 0.25


class _Few(NamedTuple):
    """The few members of a version that take a share, while the members stand."""

    version: str
    share: float
    members: Pool


class _ServiceMembers:
    """The members of one service that may take calls, by version.

    :param place: where the node is that draws members.
    """

    def __init__(self, place: Place) -> None:
        self._place = place
        self._taking: dict[str, Pool] = {}
        self._suspects: dict[str, Pool] = {}
        self._everyone: Pool | None = None
        self._few: _Few | None = None

    def __bool__(self) -> bool:
        return bool(self._taking or self._suspects)

    @property
    def versions(self) -> dict[str, Pool]:
        """The members of each version.

        Suspects are left out while there are others: a suspicion is often wrong, and
        a call to one that is gone is known not to have run.
        """
        return self._taking or self._suspects

    @property
    def everyone(self) -> Pool:
        """The members of all versions."""
        pools = list(self.versions.values())
        if len(pools) == 1:
            return pools[0]
        if self._everyone is None:
            self._everyone = Pool(self._place, (m for pool in pools for m in pool))
        return self._everyone

    def few(self, version: str, *, share: float) -> Pool:
        """Return the few members of a version that take a small share of the calls."""
        if share > _LARGEST_CANARY_SHARE:
            return self.versions[version]
        if self._few is None or self._few[:2] != (version, share):
            members = _canaries(self.versions[version], share=share)
            self._few = _Few(version, share, Pool(self._place, members))
        return self._few.members

    def put(self, member: Member) -> None:
        """Add a member, if it may take calls at all."""
        self._forget_derived()
        pools = self._pools_of(member)
        if pools is None:
            return
        if member.service_version not in pools:
            pools[member.service_version] = Pool(self._place)
        pools[member.service_version].put(member)

    def remove(self, member: Member) -> None:
        """Remove a member by the entry under which it was put."""
        self._forget_derived()
        pools = self._pools_of(member)
        pool = None if pools is None else pools.get(member.service_version)
        if pools is None or pool is None:
            return
        pool.remove(member.node_id)
        if not pool:
            del pools[member.service_version]

    def _forget_derived(self) -> None:
        self._everyone = None
        self._few = None

    def _pools_of(self, member: Member) -> dict[str, Pool] | None:
        if member.takes_work:
            return self._taking
        is_suspect = member.state is MemberState.SUSPECT
        if is_suspect and member.ready and not member.leaving:
            return self._suspects
        return None


class Endpoints:
    """Index of the membership by service, kept up to date by its changes.

    Only members that may take calls are in it, so that it doesn't grow with those that
    are gone.

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
        own = membership.own
        self._place = Place(own.node_id, own.availability_zone, own.region)
        self._by_service: dict[str, _ServiceMembers] = {}
        self._weights_of = weights_of
        self._new_version_of = new_version_of
        self._rng = rng
        for member in membership:
            self._update(member, None)
        membership.subscribe(self._update)

    def of_service(self, service: str) -> list[Member]:
        """Return the members that may take new calls of a service."""
        return [m for pool in self._versions_of(service).values() for m in pool]

    def slots(self, service: str) -> dict[str, int]:
        """Return how many calls each version runs at a time, at least one a member."""
        versions = self._versions_of(service)
        return {version: pool.slots for version, pool in versions.items()}

    def counts(self) -> dict[str, dict[str, int]]:
        """Return how many members of each service and version take new calls."""
        return {
            service: {version: len(pool) for version, pool in members.versions.items()}
            for service, members in self._by_service.items()
        }

    def for_call(
        self, service: str, *, key: str = "", full: frozenset[str] = frozenset()
    ) -> Sequence[Member]:
        """Return the members of the version drawn for one call.

        Versions are drawn by weight. A version of weight 0 takes no call, even when
        no other is left. Of a new version with a small share only a few members take
        calls, so that they are as loaded as they will be with all of it: a fault
        that shows under load shows while few calls meet it.

        :param key: the caller's own key, which draws the same version each time
            while the weights stand.
        :param full: node ids that had no room for the call; all members are returned
            where the few are among them.
        """
        members = self._by_service.get(service)
        if members is None:
            return []
        weights = self._weights_of(service)
        if not weights:
            return members.everyone
        point = _point_of(key) if key else self._rng.random()
        drawn = _draw(members.versions, weights, point)
        if drawn is None:
            return []
        pool = members.versions[drawn]
        if key or drawn != self._new_version_of(service):
            return pool
        few = members.few(drawn, share=weights[drawn])
        return pool if all(m.node_id in full for m in few) else few

    def member_for_key(self, service: str, key: str) -> Member | None:
        """Return the one member that remembers a caller's key."""
        members = self.for_call(service, key=key)
        return min(members, key=lambda m: rank(m.node_id, key), default=None)

    def _versions_of(self, service: str) -> dict[str, Pool]:
        members = self._by_service.get(service)
        return {} if members is None else members.versions

    def _update(self, member: Member, known: Member | None) -> None:
        if known is not None:
            self._remove(known)
        if member.service:
            self._put(member)

    def _remove(self, member: Member) -> None:
        members = self._by_service.get(member.service)
        if members is None:
            return
        members.remove(member)
        if not members:
            del self._by_service[member.service]

    def _put(self, member: Member) -> None:
        members = self._by_service.get(member.service) or _ServiceMembers(self._place)
        members.put(member)
        if members:
            self._by_service[member.service] = members


def _draw(versions: Iterable[str], weights: Weights, point: float) -> str | None:
    """Return the version in whose part of the weights a point from 0 to 1 lies."""
    eligible = sorted(v for v in versions if weights.get(v, 0.0) > 0.0)
    left = point * sum(weights[v] for v in eligible)
    for version in eligible:
        left -= weights[version]
        if left < 0.0:
            return version
    return eligible[-1] if eligible else None


def _canaries(members: Sequence[Member], *, share: float) -> list[Member]:
    """Return the few members that take a small share; others at each share.

    Members differ in speed, so that the same few would stand for the version.
    """
    order = sorted(members, key=lambda m: rank(m.node_id, f"canary/{share}"))
    return order[: math.ceil(share * len(order))]


def _point_of(key: str) -> float:
    """Return a point from 0 to 1 that is the same for a key on every node."""
    return int.from_bytes(rank(key, "version")) / 2**64
