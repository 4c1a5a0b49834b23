"""Selects the nodes that may own a service's rollouts, and runs their owners."""

import asyncio
import itertools

from burdockdock.clock import sleep_to_tick
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.rollout.evidence_queue import EvidenceQueue, Rows
from burdockdock.rollout.model import Rollout
from burdockdock.rollout.owner import Owner, OwnerDependencies

MAX_CANDIDATES = 3
_POLL_INTERVAL_S = 0.25
_RANKING_SALT = "rollout"


def candidates(ranking: MemberRanking, service: str) -> list[Member]:
    """Return the members that may own a service's rollouts, in order of preference."""
    order = ranking.in_all_zones(f"{_RANKING_SALT}/{service}")
    eligible = (m for m in order if not m.leaving)
    return list(itertools.islice(eligible, MAX_CANDIDATES))


def is_candidate(
    service: str, membership: MembershipTable, ranking: MemberRanking
) -> bool:
    """Return whether this node may own a service's rollouts."""
    own_id = membership.own.node_id
    return any(m.node_id == own_id for m in candidates(ranking, service))


class RolloutOwners:
    """Runs an owner task for each open rollout that this node is a candidate for."""

    def __init__(self, dependencies: OwnerDependencies) -> None:
        self._dependencies = dependencies
        self._owners: dict[str, asyncio.Task[None]] = {}
        self._evidence: dict[str, EvidenceQueue] = {}

    async def run(self) -> None:
        """Start and stop owner tasks as rollouts open and close, until cancelled."""
        while True:
            wanted = self._candidate_services()
            for service in wanted - self._owners.keys():
                self._start(service)
            for service in self._owners.keys() - wanted:
                self._owners.pop(service).cancel()
                self._evidence.pop(service, None)
            await sleep_to_tick(_POLL_INTERVAL_S)

    def receive(self, service: str, node_id: str, rows: Rows) -> None:
        """Queue a gate's results for the owner task of a service.

        :param node_id: id of the gate's node.
        """
        evidence = self._evidence.get(service)
        if evidence is not None:
            evidence.put(node_id, rows)

    def close(self) -> None:
        """Stop every owner task."""
        for task in self._owners.values():
            task.cancel()

    def _candidate_services(self) -> set[str]:
        """Return the services whose open rollout this node is a candidate for."""
        return {
            rollout.service
            for rollout in self._dependencies.view.all()
            if self._is_open(rollout)
            and is_candidate(
                rollout.service,
                self._dependencies.membership,
                self._dependencies.ranking,
            )
        }

    def _is_open(self, rollout: Rollout) -> bool:
        """Return whether a rollout is running or its outcome is still unreported."""
        unreported = self._dependencies.notify is not None and not rollout.notified
        return not rollout.phase.final or unreported

    def _start(self, service: str) -> None:
        evidence = EvidenceQueue(self._dependencies.clock)
        self._evidence[service] = evidence
        owner = Owner(service, evidence, self._dependencies)
        self._owners[service] = asyncio.create_task(owner.run())
