"""Index of the members of each service, with the choice of a version by weight."""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.tree import rank
from burdockdock.proxy.pool import Locality, Pool

Weights = dict[str, float]
# Regions that the members for a call may be in, None for all.
Regions = frozenset[str] | None
# Up to this traffic share, the calls of a new version go to the same share of its
# members, except for calls with an idempotency key, which may go to any of them.
_MAX_CANARY_SHARE = 0.25


class _CanarySubset(NamedTuple):
    """The cached subset of a version's members that takes a small traffic share."""

    version: str
    share: float
    members: Pool


class _ServiceMembers:
    """The members of one service that may take calls, by version.

    :param locality: location of the choosing node.
    """

    def __init__(self, locality: Locality) -> None:
        self._locality = locality
        self._available: dict[str, Pool] = {}
        self._suspects: dict[str, Pool] = {}
        self._all_members: Pool | None = None
        self._canaries: _CanarySubset | None = None
        self._by_regions: dict[frozenset[str], _ServiceMembers] = {}

    def __bool__(self) -> bool:
        return bool(self._available or self._suspects)

    @property
    def pools_by_version(self) -> dict[str, Pool]:
        """The members of each version.

        Suspected members are included only if there are no others. Trying them is
        safe: a suspicion is often wrong, and a call to a node that is gone is known
        not to have run.
        """
        return self._available or self._suspects

    @property
    def all_members(self) -> Pool:
        """The members of all versions."""
        pools = list(self.pools_by_version.values())
        if len(pools) == 1:
            return pools[0]
        if self._all_members is None:
            self._all_members = Pool(
                self._locality, (m for pool in pools for m in pool)
            )
        return self._all_members

    def canaries(self, version: str, *, share: float) -> Pool:
        """Return the members of a version that take its share of the calls.

        Up to the maximum canary share, this is a subset of the members; above it, all
        of them.
        """
        if share > _MAX_CANARY_SHARE:
            return self.pools_by_version[version]
        if self._canaries is None or self._canaries[:2] != (version, share):
            members = _select_canaries(self.pools_by_version[version], share=share)
            self._canaries = _CanarySubset(
                version, share, Pool(self._locality, members)
            )
        return self._canaries.members

    def in_regions(self, regions: frozenset[str]) -> "_ServiceMembers":
        """Return the members in some regions."""
        found = self._by_regions.get(regions)
        if found is None:
            found = self._by_regions[regions] = _ServiceMembers(self._locality)
            for pool in (*self._available.values(), *self._suspects.values()):
                for member in pool:
                    if member.region in regions:
                        found.put(member)
        return found

    def put(self, member: Member) -> None:
        """Add a member if it may take calls."""
        self._invalidate_caches()
        pools = self._pools_of(member)
        if pools is None:
            return
        if member.service_version not in pools:
            pools[member.service_version] = Pool(self._locality)
        pools[member.service_version].put(member)

    def remove(self, member: Member) -> None:
        """Remove a member.

        :param member: the same entry that was added.
        """
        self._invalidate_caches()
        pools = self._pools_of(member)
        pool = None if pools is None else pools.get(member.service_version)
        if pools is None or pool is None:
            return
        pool.remove(member.node_id)
        if not pool:
            del pools[member.service_version]

    def _invalidate_caches(self) -> None:
        self._all_members = None
        self._canaries = None
        self._by_regions.clear()

    def _pools_of(self, member: Member) -> dict[str, Pool] | None:
        if member.takes_work:
            return self._available
        is_suspect = member.state is MemberState.SUSPECT
        if is_suspect and member.ready and not member.leaving:
            return self._suspects
        return None


class Endpoints:
    """Index of the membership by service, updated on each membership change.

    The index contains only members that may take calls, so that members that left
    don't take up memory.

    :param weights_of: returns the traffic share of each version of a service; empty if
        calls are not split by version.
    :param new_version_of: returns the version that a rollout moves a service to; empty
        without a rollout.
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
        self._membership = membership
        self._excluded_zones: frozenset[str] = frozenset()
        self._locality = Locality(own.node_id, own.availability_zone, own.region)
        self._by_service: dict[str, _ServiceMembers] = {}
        self._weights_of = weights_of
        self._new_version_of = new_version_of
        self._rng = rng
        for member in membership:
            self._update(member, None)
        membership.subscribe(self._update)

    def exclude_zones(self, zones: frozenset[str]) -> None:
        """Leave out the members of some availability zones from now on."""
        self._excluded_zones = zones
        self._by_service.clear()
        for member in self._membership:
            self._update(member, None)

    def has_excluded(self, service: str) -> bool:
        """Return whether a service has members that are left out by their zone."""
        return any(
            m.service == service and m.availability_zone in self._excluded_zones
            for m in self._membership.live()
        )

    def has_members(self, service: str, regions: Regions = None) -> bool:
        """Return whether a service has members that may take new calls.

        :param regions: regions that the members may be in, None for all.
        """
        return self._find(service, regions) is not None

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service that may take new calls."""
        return [m for pool in self._pools_by_version_of(service).values() for m in pool]

    def slots(self, service: str) -> dict[str, int]:
        """Return how many calls each version can run concurrently.

        Each member counts as at least one slot.
        """
        versions = self._pools_by_version_of(service)
        return {version: pool.slots for version, pool in versions.items()}

    def counts(self) -> dict[str, dict[str, int]]:
        """Return the number of members of each service and version that take calls."""
        return {
            service: {
                version: len(pool) for version, pool in members.pools_by_version.items()
            }
            for service, members in self._by_service.items()
        }

    def for_call(
        self,
        service: str,
        *,
        key: str = "",
        full: frozenset[str] = frozenset(),
        regions: Regions = None,
    ) -> Sequence[Member]:
        """Choose a version by weight for one call and return its members.

        A version of weight 0 takes no calls, even if there is no other version. While a
        new version has a small share, only a subset of its members takes the calls
        without a key. They are then as loaded as they will be with all traffic, so that
        a fault that occurs under load shows while it affects few calls. Calls with a
        key go to all members of the version.

        :param key: the caller's idempotency key, empty without one. A key selects the
            same version until the weights change.
        :param full: ids of the nodes that couldn't take the call. If they include the
            whole subset, all members of the version are returned.
        :param regions: regions that the members may be in, None for all.
        """
        members = self._find(service, regions)
        if members is None:
            return []
        weights = self._weights_of(service)
        if not weights:
            return members.all_members
        point = _hash_fraction(key) if key else self._rng.random()
        version = _choose_version(members.pools_by_version, weights, point)
        if version is None:
            return []
        pool = members.pools_by_version[version]
        if key or version != self._new_version_of(service):
            return pool
        canaries = members.canaries(version, share=weights[version])
        return pool if all(m.node_id in full for m in canaries) else canaries

    def member_for_key(
        self, service: str, key: str, *, regions: Regions = None
    ) -> Member | None:
        """Return the member that remembers a caller's idempotency key.

        Nodes that know the same members and weights select the same member: the key
        determines the version, and rendezvous hashing the member.
        """
        members = self.for_call(service, key=key, regions=regions)
        return min(members, key=lambda m: rank(m.node_id, key), default=None)

    def _find(self, service: str, regions: Regions) -> _ServiceMembers | None:
        members = self._by_service.get(service)
        if members is not None and regions is not None:
            members = members.in_regions(regions)
        return members or None

    def _pools_by_version_of(self, service: str) -> dict[str, Pool]:
        members = self._by_service.get(service)
        return {} if members is None else members.pools_by_version

    def _update(self, member: Member, previous: Member | None) -> None:
        if previous is not None:
            self._remove(previous)
        is_excluded = member.availability_zone in self._excluded_zones
        if member.service and not is_excluded:
            self._put(member)

    def _remove(self, member: Member) -> None:
        members = self._by_service.get(member.service)
        if members is None:
            return
        members.remove(member)
        if not members:
            del self._by_service[member.service]

    def _put(self, member: Member) -> None:
        members = self._by_service.get(member.service) or _ServiceMembers(
            self._locality
        )
        members.put(member)
        if members:
            self._by_service[member.service] = members


def _choose_version(
    versions: Iterable[str], weights: Weights, point: float
) -> str | None:
    """Choose a version by weight.

    :param point: position in the cumulative weights, from 0 to 1.
    :returns: None if no version has a positive weight.
    """
    eligible = sorted(v for v in versions if weights.get(v, 0.0) > 0.0)
    remaining = point * sum(weights[v] for v in eligible)
    for version in eligible:
        remaining -= weights[version]
        if remaining < 0.0:
            return version
    return eligible[-1] if eligible else None


def _select_canaries(members: Sequence[Member], *, share: float) -> list[Member]:
    """Return as large a share of the members as the traffic share that they take.

    Each share selects another subset, because members differ in speed and a fixed
    subset might not represent the version.
    """
    order = sorted(members, key=lambda m: rank(m.node_id, f"canary/{share}"))
    return order[: math.ceil(share * len(order))]


def _hash_fraction(key: str) -> float:
    """Return a number from 0 to 1 that is the same for a key on every node."""
    return int.from_bytes(rank(key, "version")) / 2**64
