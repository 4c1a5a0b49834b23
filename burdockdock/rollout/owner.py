"""Advances one service's rollout, and stops a faulty version."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.lease import Lease
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.platform_api.client import Conflict, PlatformClient, PlatformObject
from burdockdock.rollout.evidence_queue import EvidenceQueue
from burdockdock.rollout.judge import Judge, merge_rows
from burdockdock.rollout.model import (
    ROLLOUT_PREFIX,
    STOP_PREFIX,
    Phase,
    Rollout,
    Stop,
    rollout_from,
)
from burdockdock.rollout.policy import Facts, next_state
from burdockdock.rollout.standing import Open, standing_of
from burdockdock.rollout.view import RolloutView, is_behind

Notify = Callable[[Rollout], Awaitable[bool]]

LEASE_PREFIX = "leases/rollout/"
_POLL_INTERVAL_S = 0.25
_LEASE_RENEWAL_INTERVAL_S = 1.0
_LEASE_TERM_S = 4.0
# Term that must be left on the lease when a write starts.
_LEASE_WRITE_MARGIN_S = 0.5


class OwnerDependencies(NamedTuple):
    """The node's components that an owner uses.

    :param holder: this process's id as a lease holder; a restarted process has a
        different one.
    :param spread: stores a record and broadcasts it to every node.
    :param notify: notifies the operators of a rollout's outcome and returns whether
        that succeeded; None if neither orders nor a notification URL are in use.
    """

    view: RolloutView
    membership: MembershipTable
    ranking: MemberRanking
    platform: PlatformClient
    clock: Clock
    holder: str
    spread: Callable[[Record], None]
    notify: Notify | None = None


class _StoredRollout(NamedTuple):
    """A rollout's state and the version of its object in the platform."""

    rollout: Rollout
    version: int


class Owner:
    """Judges one service's rollout, and advances it while holding the lease."""

    def __init__(
        self,
        service: str,
        evidence: EvidenceQueue,
        dependencies: OwnerDependencies,
    ) -> None:
        self._service = service
        self._evidence = evidence
        self._dependencies = dependencies
        self._lease = Lease(
            dependencies.platform,
            LEASE_PREFIX + service,
            holder=dependencies.holder,
            clock=dependencies.clock,
            term_s=_LEASE_TERM_S,
        )
        self._current: _StoredRollout | None = None
        self._judge: Judge | None = None
        self._judged_number = 0
        self._era = dependencies.platform.era.newest

    async def run(self) -> None:
        """Judge and advance the rollout until cancelled."""
        lease_task = asyncio.create_task(self._keep_lease())
        try:
            while True:
                await asyncio.sleep(_POLL_INTERVAL_S)
                self._judge_evidence()
                self._stop_if_faulty()
                self._check_era()
                if self._lease.is_held(margin_s=_LEASE_WRITE_MARGIN_S):
                    await self._advance()
                else:
                    # Another owner may change the state, so it has to be read again.
                    self._current = None
        finally:
            lease_task.cancel()

    def _check_era(self) -> None:
        """Lose the lease once the platform has returned from an older copy."""
        era = self._dependencies.platform.era.newest
        if era != self._era:
            self._era = era
            self._lease.lose()
            self._current = None

    async def _keep_lease(self) -> None:
        while True:
            if not self._may_hold_lease():
                await self._lease.release()
                await asyncio.sleep(_POLL_INTERVAL_S)
                continue
            held_before = self._lease.is_held()
            # The store may have lost the lease under which this state was written.
            self._lease.raise_epoch(self._dependencies.view.get(self._service).epoch)
            held = await self._lease.maintain()
            if held and not held_before:
                log_event(
                    "rollout.owned", service=self._service, epoch=self._lease.epoch
                )
            await asyncio.sleep(_LEASE_RENEWAL_INTERVAL_S * random.uniform(0.8, 1.0))

    def _may_hold_lease(self) -> bool:
        """Return whether this node can own the rollout.

        One that hears too few gates leaves it to a candidate that hears more of them.
        At the deadline any candidate may take the rollout back, so that it ends.
        """
        rollout = self._dependencies.view.get(self._service)
        if rollout is None:
            return False
        is_over = self._dependencies.clock.now() >= rollout.deadline
        return rollout.phase.final or is_over or self._in_contact()

    def _in_contact(self) -> bool:
        return self._evidence.in_contact(self._gate_ids())

    def _gate_ids(self) -> list[str]:
        """Return the ids of the service's gates, also of those held for dead.

        Behind a cut all others are held for dead in the end; they count as not heard
        from, so that one node alone never takes itself for the whole service.
        """
        return [
            m.node_id
            for m in self._dependencies.membership
            if m.service == self._service and m.ready and not m.leaving
        ]

    def _judge_evidence(self) -> None:
        """Pass the gates' results to the judge.

        Candidates without the lease do so too, so that they have the evidence when they
        take over.
        """
        rollout = self._dependencies.view.get(self._service)
        if rollout is None:
            return
        if self._judge is None or self._judged_number != rollout.number:
            self._judged_number = rollout.number
            self._judge = Judge(
                from_version=rollout.from_version, to_version=rollout.to_version
            )
        rows = merge_rows(self._evidence.take(self._gate_ids()))
        if rows:
            self._judge.update(rows)

    def _stop_if_faulty(self) -> None:
        """Stop the version if the results received by this node show a fault.

        This needs no lease, and it isn't the outcome, which only the holder decides.
        """
        match self._dependencies.view.standing(self._service):
            case Open(rollout, stop=None):
                fault = self._judge.judgement().fault
                if fault:
                    self._spread_stop(rollout, fault)

    async def _advance(self) -> None:
        """Write the next state if the policy decides on one."""
        if self._is_outdated() and not await self._read():
            return
        if self._current.rollout.number != self._judged_number:
            # What was found of an earlier rollout says nothing about this one.
            return
        if self._current.rollout.phase.final:
            await self._notify_operators(self._current.rollout)
            return
        facts = self._facts(self._current.rollout)
        next_rollout = next_state(
            self._current.rollout, facts, self._dependencies.clock.now()
        )
        if next_rollout is None:
            return
        if next_rollout.phase is Phase.ROLLED_BACK:
            self._spread_stop(self._current.rollout, next_rollout.history[-1].reason)
        await self._write(next_rollout._replace(epoch=self._lease.epoch))

    def _is_outdated(self) -> bool:
        """Return whether the state has to be read again."""
        if self._current is None:
            return True
        known = self._dependencies.view.get(self._service)
        return known is not None and known.number > self._current.rollout.number

    async def _notify_operators(self, rollout: Rollout) -> None:
        """Notify the operators at least once; repeated if recording it fails."""
        if self._dependencies.notify is None or rollout.notified:
            return
        if await self._dependencies.notify(rollout):
            notified = rollout._replace(
                notified=True, step=rollout.step + 1, epoch=self._lease.epoch
            )
            await self._write(notified)

    async def _read(self) -> bool:
        found = await self._dependencies.platform.read(ROLLOUT_PREFIX + self._service)
        if isinstance(found, Failure) or not found.version:
            return False
        self._adopt(found)
        return self._current is not None

    def _facts(self, rollout: Rollout) -> Facts:
        stop = self._stop_of(rollout)
        return Facts(
            judgement=self._judge.judgement(),
            stop_reason=stop.reason if stop else "",
            new_slots=self._slots(rollout.to_version),
            old_slots=self._slots(rollout.from_version),
            in_contact=self._in_contact(),
        )

    def _stop_of(self, rollout: Rollout) -> Stop | None:
        """Return the stop of a rollout, None if it has none or has ended."""
        standing = standing_of(rollout, self._dependencies.view.stop(self._service))
        return standing.stop if isinstance(standing, Open) else None

    def _slots(self, version: str) -> int:
        return sum(
            m.slots
            for m in self._dependencies.membership.live()
            if m.takes_work
            and m.service == self._service
            and m.service_version == version
        )

    def _spread_stop(self, rollout: Rollout, reason: str) -> None:
        """Spread a stop, by which all nodes send no calls to the new version.

        This works while the platform is down.
        """
        stop = Stop(rollout.service, rollout.number, reason, self._dependencies.holder)
        if self._stop_of(rollout) is None:
            log_event(
                "rollout.version_stopped", rollout=rollout.rollout_id, reason=reason
            )
        # The rollout's number serves as the record's version.
        self._dependencies.spread(
            Record(STOP_PREFIX + rollout.service, rollout.number, stop.encode())
        )

    async def _write(self, rollout: Rollout) -> None:
        """Write a state if the stored one hasn't changed since it was read."""
        key = ROLLOUT_PREFIX + self._service
        if not self._lease.is_held(margin_s=_LEASE_WRITE_MARGIN_S):
            return
        # Sent again for longer, it could apply after the facts have changed.
        result = await self._dependencies.platform.update(
            key,
            expected_version=self._current.version,
            value=rollout.to_value(),
            retry_timeout_s=_LEASE_WRITE_MARGIN_S,
        )
        if isinstance(result, Failure):
            # The write may have been applied, so the state has to be read again.
            self._current = None
            log_event(
                "rollout.write_failed", service=self._service, detail=result.detail
            )
        elif isinstance(result, Conflict):
            self._adopt(result.current)
        else:
            self._adopt(result)
            log_event(
                "rollout.step",
                service=self._service,
                number=rollout.number,
                phase=rollout.phase.value,
                share=rollout.share,
                reason=rollout.history[-1].reason if rollout.history else "",
            )

    def _adopt(self, found: PlatformObject) -> None:
        """Keep the state of a platform object as the current one, and broadcast it.

        One that is behind what this node knows is of an older copy of the platform; it
        is read again once what was lost is written.
        """
        rollout = _decode(found)
        if rollout is None:
            self._current = None
            return
        known = self._dependencies.view.get(self._service)
        if self._era and known is not None and is_behind(rollout, known):
            self._current = None
            return
        self._current = _StoredRollout(rollout, found.version)
        self._lease.raise_epoch(rollout.epoch)
        self._dependencies.spread(
            Record(found.key, found.record_version, rollout.encode())
        )


def _decode(found: PlatformObject) -> Rollout | None:
    """Return the state in a platform object, None if there is none that is readable."""
    if not found.version:
        return None
    try:
        return rollout_from(found.value)
    except ValueError as error:
        log_event("rollout.unreadable", key=found.key, reason=str(error))
        return None
