"""Driving the rollouts of which this node is an owner."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.lease import Lease
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.platform_api.client import Conflict, PlatformClient, PlatformObject
from burdockdock.rollout.evidence import EvidenceKey, EvidenceRow
from burdockdock.rollout.judge import Judge, merge_rows
from burdockdock.rollout.model import (
    ABORT_PREFIX,
    ROLLOUT_PREFIX,
    Abort,
    Phase,
    Rollout,
    decode_abort,
    decode_rollout,
    rollout_from,
)
from burdockdock.rollout.policy import Facts, next_state

Notify = Callable[[Rollout], Awaitable[bool]]

MAX_CANDIDATES = 3
LEASE_PREFIX = "leases/rollout/"
_TICK_S = 0.25
_LEASE_INTERVAL_S = 1.0
_LEASE_TERM_S = 4.0
_WRITE_MARGIN_S = 0.5
_OWNER_SALT = "rollout"


def candidates(ranking: MemberRanking, service: str) -> list[Member]:
    """Return the members that may own a service's rollouts, in order."""
    order = ranking.in_all_zones(f"{_OWNER_SALT}/{service}")
    staying = (m for m in order if not m.leaving)
    return list(itertools.islice(staying, MAX_CANDIDATES))


def is_candidate(
    service: str, membership: MembershipTable, ranking: MemberRanking
) -> bool:
    """Tell whether this node may own a service's rollouts."""
    own_id = membership.own.node_id
    return any(m.node_id == own_id for m in candidates(ranking, service))


class RolloutView:
    """What this node knows of rollouts, from the records."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._rollouts: dict[str, Rollout] = {}
        self._aborts: dict[str, Abort] = {}
        records.subscribe(self._on_record)

    def get(self, service: str) -> Rollout | None:
        """Return the newest rollout of a service."""
        return self._rollouts.get(service)

    def all(self) -> list[Rollout]:
        """Return the newest rollout of every service."""
        return list(self._rollouts.values())

    def abort_of(self, rollout: Rollout) -> Abort | None:
        """Return the abort of a rollout."""
        abort = self._aborts.get(rollout.service)
        return abort if abort and abort.number == rollout.number else None

    def weights(self, service: str) -> dict[str, float]:
        """Return the traffic weights of a service's versions, empty without any."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return {}
        if self.abort_of(rollout):
            return {rollout.from_version: 1.0}
        return rollout.weights()

    def _on_record(self, record: Record) -> None:
        if record.key.startswith(ROLLOUT_PREFIX):
            rollout = decode_rollout(record.value)
            self._rollouts[rollout.service] = rollout
        elif record.key.startswith(ABORT_PREFIX):
            abort = decode_abort(record.value)
            self._aborts[abort.service] = abort


class OwnerDependencies(NamedTuple):
    """What owners need of their node.

    :param holder: id of this process, unique to its incarnation.
    :param spread: stores a record and sends it to every node.
    :param notify: tells the operators of an end; returns whether they were told.
        None when there is nobody to tell.
    """

    view: RolloutView
    membership: MembershipTable
    ranking: MemberRanking
    platform: PlatformClient
    clock: Clock
    holder: str
    spread: Callable[[Record], None]
    notify: Notify | None = None


class RolloutOwners:
    """Runs one owner task for each open rollout this node is a candidate for."""

    def __init__(self, parts: OwnerDependencies) -> None:
        self._parts = parts
        self._owners: dict[str, asyncio.Task[None]] = {}
        self._inboxes: dict[str, list[dict[EvidenceKey, EvidenceRow]]] = {}

    async def run(self) -> None:
        """Start and end owner tasks as rollouts come and go, for ever."""
        while True:
            wanted = self._wanted()
            for service in wanted - self._owners.keys():
                self._start(service)
            for service in self._owners.keys() - wanted:
                self._owners.pop(service).cancel()
                self._inboxes.pop(service, None)
            await sleep_to_tick(_TICK_S)

    def receive(self, service: str, rows: dict[EvidenceKey, EvidenceRow]) -> None:
        """Take in results of a gate."""
        inbox = self._inboxes.get(service)
        if inbox is not None:
            inbox.append(rows)

    def close(self) -> None:
        """Stop every owner task."""
        for task in self._owners.values():
            task.cancel()

    def _wanted(self) -> set[str]:
        """Return the services whose rollout is open and may be owned here."""
        return {
            rollout.service
            for rollout in self._parts.view.all()
            if self._is_open(rollout)
            and is_candidate(
                rollout.service, self._parts.membership, self._parts.ranking
            )
        }

    def _is_open(self, rollout: Rollout) -> bool:
        """Tell whether a rollout has not ended, or its end was not told yet."""
        untold = self._parts.notify is not None and not rollout.notified
        return not rollout.phase.final or untold

    def _start(self, service: str) -> None:
        inbox: list[dict[EvidenceKey, EvidenceRow]] = []
        self._inboxes[service] = inbox
        owner = _Owner(service, inbox, self._parts)
        self._owners[service] = asyncio.create_task(owner.run())


class _Current(NamedTuple):
    """A rollout's state as it stands in the platform."""

    rollout: Rollout
    version: int


class _Owner:
    """Judges one service's rollout, and moves it on while it holds the lease."""

    def __init__(
        self,
        service: str,
        inbox: list[dict[EvidenceKey, EvidenceRow]],
        parts: OwnerDependencies,
    ) -> None:
        self._service = service
        self._inbox = inbox
        self._parts = parts
        self._lease = Lease(
            parts.platform,
            LEASE_PREFIX + service,
            holder=parts.holder,
            clock=parts.clock,
            term_s=_LEASE_TERM_S,
        )
        self._current: _Current | None = None
        self._judge: Judge | None = None
        self._judged_number = 0

    async def run(self) -> None:
        """Judge and decide until cancelled."""
        lease_task = asyncio.create_task(self._keep_lease())
        try:
            while True:
                await asyncio.sleep(_TICK_S)
                self._take_evidence()
                self._abort_if_faulty()
                if self._lease.is_held(margin_s=_WRITE_MARGIN_S):
                    await self._advance()
                else:
                    self._current = None
        finally:
            lease_task.cancel()

    async def _keep_lease(self) -> None:
        while True:
            held_before = self._lease.is_held()
            held = await self._lease.maintain()
            if held and not held_before:
                log_event(
                    "rollout.owned", service=self._service, epoch=self._lease.epoch
                )
            await asyncio.sleep(_LEASE_INTERVAL_S * random.uniform(0.8, 1.0))

    def _take_evidence(self) -> None:
        """Add what the gates sent; candidates judge too, to take over warm."""
        rollout = self._parts.view.get(self._service)
        if rollout is None:
            return
        if self._judge is None or self._judged_number != rollout.number:
            self._judged_number = rollout.number
            self._judge = Judge(
                from_version=rollout.from_version, to_version=rollout.to_version
            )
        rows = merge_rows(self._inbox)
        self._inbox.clear()
        if rows:
            self._judge.update(rows)

    def _abort_if_faulty(self) -> None:
        """Stop a faulty version on this node's evidence, whoever holds the lease."""
        rollout = self._parts.view.get(self._service)
        if rollout is None or rollout.phase.final or self._parts.view.abort_of(rollout):
            return
        fault = self._judge.judgement().fault
        if fault:
            self._spread_abort(rollout, fault)

    async def _advance(self) -> None:
        """Take the next step if the facts call for one."""
        if self._current is None and not await self._read():
            return
        if self._current.rollout.phase.final:
            await self._tell_end(self._current.rollout)
            return
        facts = self._facts(self._current.rollout)
        following = next_state(self._current.rollout, facts, self._parts.clock.now())
        if following is None:
            return
        if following.phase is Phase.ROLLED_BACK:
            self._spread_abort(following, following.history[-1].reason)
        await self._write(following._replace(epoch=self._lease.epoch))

    async def _tell_end(self, rollout: Rollout) -> None:
        """Tell the operators, then note it; a lost note tells them twice."""
        if self._parts.notify is None or rollout.notified:
            return
        if await self._parts.notify(rollout):
            told = rollout._replace(
                notified=True, step=rollout.step + 1, epoch=self._lease.epoch
            )
            await self._write(told)

    async def _read(self) -> bool:
        found = await self._parts.platform.read(ROLLOUT_PREFIX + self._service)
        if isinstance(found, Failure) or not found.version:
            return False
        self._adopt(found)
        return True

    def _facts(self, rollout: Rollout) -> Facts:
        abort = self._parts.view.abort_of(rollout)
        return Facts(
            judgement=self._judge.judgement(),
            aborted=abort.reason if abort else "",
            new_slots=self._slots(rollout.to_version),
            old_slots=self._slots(rollout.from_version),
        )

    def _slots(self, version: str) -> int:
        return sum(
            m.slots
            for m in self._parts.membership.live()
            if m.takes_work
            and m.service == self._service
            and m.service_version == version
        )

    def _spread_abort(self, rollout: Rollout, reason: str) -> None:
        """Stop the version everywhere at once; the platform may be down."""
        abort = Abort(rollout.service, rollout.number, reason, self._parts.holder)
        if not self._parts.view.abort_of(rollout):
            log_event("rollout.aborted", rollout=rollout.rollout_id, reason=reason)
        self._parts.spread(
            Record(ABORT_PREFIX + rollout.service, rollout.number, abort.encode())
        )

    async def _write(self, rollout: Rollout) -> None:
        """Write a step under the version it was decided on, and spread it."""
        key = ROLLOUT_PREFIX + self._service
        if not self._lease.is_held(margin_s=_WRITE_MARGIN_S):
            return
        result = await self._parts.platform.update(
            key, expected_version=self._current.version, value=rollout.to_value()
        )
        if isinstance(result, Failure):
            self._current = None
            log_event("rollout.write_failed", service=self._service, why=result.detail)
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
        rollout = rollout_from(found.value)
        self._current = _Current(rollout, found.version)
        self._parts.spread(Record(found.key, found.version, rollout.encode()))
