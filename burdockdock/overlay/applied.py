"""Counting where a configuration version is in force, within the overlay.

Every node reports to the reporter of its availability zone; reporters tell each
other one summary a zone. A reporter is the live member that ranks first, so that no
agreement is needed: two reporters during a change only count the same twice.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from burdockdock.clock import Clock, next_tick_s
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.protocol import Message

# News that comes together is looked at once.
_PAUSE_S = 0.1
_TICK_S = 0.5
_REFRESH_S = 10.0
_SUMMARY_REFRESH_S = 5.0
_SUMMARY_MAX_AGE_S = 20.0
_MAX_LAGGARDS = 5
_LATE_S = 3.0
_REPORTER_SALT = "reporter"


class AppliedState(NamedTuple):
    """Which configuration version a node applies.

    :param refused_version: newest version that the node refused, 0 without one.
    :param reason: why it refused that version.
    """

    node_id: str
    version: int
    refused_version: int = 0
    reason: str = ""


class ZoneSummary(NamedTuple):
    """How far a version is in force in one availability zone."""

    availability_zone: str
    version: int
    applied: int
    total: int
    refused: int
    laggards: list[AppliedState]


class FleetStatus(NamedTuple):
    """How far the newest version is in force everywhere."""

    version: int
    applied: int
    total: int
    refused: int
    laggards: list[AppliedState]

    @property
    def in_force(self) -> bool:
        """Whether every node applies the newest version."""
        return self.applied == self.total


class AppliedTracker:
    """Reports this node's version, and sums up its zone's when it is the reporter.

    :param own_state: returns what this node applies.
    :param on_in_force: called on one reporter with the status and the seconds since
        it learned of the version, when that is in force everywhere.
    :param on_late: called likewise when it is not after some seconds.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        ranking: MemberRanking,
        datagrams: Datagrams,
        clock: Clock,
        own_state: Callable[[], AppliedState],
        on_in_force: Callable[[FleetStatus, float], None],
        on_late: Callable[[FleetStatus, float], None],
    ) -> None:
        self._membership = membership
        self._ranking = ranking
        self._datagrams = datagrams
        self._clock = clock
        self._own_state = own_state
        self._on_in_force = on_in_force
        self._on_late = on_late
        self._reported: tuple[AppliedState, str] | None = None
        self._reported_at_s = 0.0
        self._states: dict[str, AppliedState] = {}
        self._summaries: dict[str, tuple[ZoneSummary, float]] = {}
        self._sent_summary: ZoneSummary | None = None
        self._sent_summary_at_s = 0.0
        self._queries: list[asyncio.Future[FleetStatus]] = []
        self._first_seen: tuple[int, float] = (0, 0.0)
        self._announced_version = 0
        self._late_version = 0
        self._changed = True
        self._summed_generation = -1
        self._news = asyncio.Event()
        membership.subscribe(lambda _new, _known: self._news.set())
        datagrams.on("applied", self._on_report)

    async def run(self) -> None:
        """Report and sum up soon after news, and now and then, for ever."""
        while True:
            self.tick()
            await self._wait_for_news()

    def wake(self) -> None:
        """Look soon at what this node applies."""
        self._news.set()

    async def _wait_for_news(self) -> None:
        """Wait until there is news, for a while at most."""
        try:
            async with asyncio.timeout_at(next_tick_s(_TICK_S)):
                await self._news.wait()
        except TimeoutError:
            return
        await asyncio.sleep(_PAUSE_S)
        self._news.clear()

    def tick(self) -> None:
        """Report, and as the reporter sum up what changed."""
        self._report()
        if self._is_reporter():
            if self._needs_summing():
                self._sum_up()
            self._announce()

    async def status(self, *, timeout_s: float = 1.0) -> FleetStatus | None:
        """Return the fleet's status as this zone's reporter knows it.

        :returns: None if the reporter did not answer in time.
        """
        if self._is_reporter():
            return self._fleet_status()
        future: asyncio.Future[FleetStatus] = asyncio.get_running_loop().create_future()
        self._queries.append(future)
        self._send_to(self._own_reporter(), query=True)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return None
        finally:
            self._queries.remove(future)

    def _report(self) -> None:
        """Tell the reporter this node's state when it or the reporter changed."""
        state = self._own_state()
        reporter = self._own_reporter()
        current = (state, reporter.node_id)
        now_s = self._clock.monotonic()
        due = now_s - self._reported_at_s >= _REFRESH_S
        if current == self._reported and not due:
            return
        self._reported = current
        self._reported_at_s = now_s
        if reporter.node_id == state.node_id:
            self._states[state.node_id] = state
            self._changed = True
        else:
            self._send_to(reporter, entries=[_pack_state(state)])

    def _needs_summing(self) -> bool:
        """Tell whether anything changed since the last sum, or a refresh is due."""
        generation = self._ranking.generation
        age_s = self._clock.monotonic() - self._sent_summary_at_s
        if not self._changed and generation == self._summed_generation:
            return age_s >= _SUMMARY_REFRESH_S
        self._changed = False
        self._summed_generation = generation
        return True

    def _sum_up(self) -> None:
        summary = self._own_zone_summary()
        now_s = self._clock.monotonic()
        self._summaries[summary.availability_zone] = (summary, now_s)
        due = now_s - self._sent_summary_at_s >= _SUMMARY_REFRESH_S
        if summary == self._sent_summary and not due:
            return
        self._sent_summary = summary
        self._sent_summary_at_s = now_s
        own = self._membership.own
        for zone in self._ranking.zones():
            if zone != own.availability_zone:
                reporter = self._reporter_of(zone)
                self._send_to(reporter, summaries=[_pack_summary(summary)])

    def _own_zone_summary(self) -> ZoneSummary:
        zone = self._membership.own.availability_zone
        members = self._zone_members(zone)
        newest = self._newest_version()
        states = [
            self._states.get(m.node_id, AppliedState(m.node_id, 0)) for m in members
        ]
        behind = [state for state in states if state.version < newest]
        refused = sum(state.refused_version == newest for state in behind)
        return ZoneSummary(
            availability_zone=zone,
            version=newest,
            applied=len(states) - len(behind),
            total=len(states),
            refused=refused,
            laggards=behind[:_MAX_LAGGARDS],
        )

    def _newest_version(self) -> int:
        own = self._own_state()
        told = [summary.version for summary, _ in self._summaries.values()]
        known = [state.version for state in self._states.values()]
        return max([own.version, own.refused_version, *told, *known])

    def _fleet_status(self) -> FleetStatus:
        """Add the zones' summaries up; one of an older version counts as behind."""
        newest = self._newest_version()
        applied = refused = total = 0
        laggards: list[AppliedState] = []
        now_s = self._clock.monotonic()
        for zone in self._ranking.zones():
            summary, told_at_s = self._summaries.get(zone, (None, 0.0))
            total += len(self._zone_members(zone))
            if summary is None or now_s - told_at_s > _SUMMARY_MAX_AGE_S:
                laggards.append(AppliedState(f"zone {zone}", 0, 0, "no summary"))
                continue
            if summary.version == newest:
                applied += summary.applied
                refused += summary.refused
            laggards += summary.laggards
        return FleetStatus(
            newest, min(applied, total), total, refused, laggards[:_MAX_LAGGARDS]
        )

    def _announce(self) -> None:
        """Say once that a version is in force, or late, as the first reporter."""
        newest = self._newest_version()
        now_s = self._clock.monotonic()
        if newest > self._first_seen[0]:
            self._first_seen = (newest, now_s)
        if newest <= self._announced_version:
            return
        first_zone = min(self._ranking.zones())
        is_first = self._membership.own.availability_zone == first_zone
        status = self._fleet_status()
        waited_s = now_s - self._first_seen[1]
        if status.in_force:
            self._announced_version = newest
            if is_first:
                self._on_in_force(status, waited_s)
        elif waited_s > _LATE_S and newest > self._late_version:
            self._late_version = newest
            if is_first:
                self._on_late(status, waited_s)

    def _on_report(self, report: Message, address: Address) -> None:
        if report.query:
            self._answer_query(address)
        elif report.summaries and report.nodeId == "":
            self._take_answer(report.summaries[0])
        else:
            self._take_report(report)

    def _take_report(self, report: Message) -> None:
        self._changed = True
        self._news.set()
        for entry in report.entries:
            self._states[entry.nodeId] = _unpack_state(entry)
        now_s = self._clock.monotonic()
        for packed in report.summaries:
            summary = _unpack_summary(packed)
            self._summaries[summary.availability_zone] = (summary, now_s)

    def _answer_query(self, address: Address) -> None:
        """Answer with one summary of the whole fleet; it names no sender."""
        status = self._fleet_status()
        summary = ZoneSummary(
            "",
            status.version,
            status.applied,
            status.total,
            status.refused,
            status.laggards,
        )
        self._datagrams.send(
            address, "applied", nodeId="", summaries=[_pack_summary(summary)]
        )

    def _take_answer(self, packed: Message) -> None:
        summary = _unpack_summary(packed)
        status = FleetStatus(*summary[1:])
        for future in self._queries:
            if not future.done():
                future.set_result(status)

    def _send_to(self, member: Member, **fields: Any) -> None:
        own_id = self._membership.own.node_id
        self._datagrams.send(
            (member.host, member.port), "applied", nodeId=own_id, **fields
        )

    def _is_reporter(self) -> bool:
        return self._own_reporter().node_id == self._membership.own.node_id

    def _own_reporter(self) -> Member:
        return self._reporter_of(self._membership.own.availability_zone)

    def _reporter_of(self, zone: str) -> Member:
        order = self._ranking.in_zone(_REPORTER_SALT, zone)
        return order[0] if order else self._membership.own

    def _zone_members(self, zone: str) -> list[Member]:
        return [m for m in self._ranking.zones().get(zone, []) if not m.leaving]


def _pack_state(state: AppliedState) -> dict[str, Any]:
    return {
        "nodeId": state.node_id,
        "version": state.version,
        "refusedVersion": state.refused_version,
        "reason": state.reason,
    }


def _unpack_state(packed: Message) -> AppliedState:
    return AppliedState(
        packed.nodeId, packed.version, packed.refusedVersion, packed.reason
    )


def _pack_summary(summary: ZoneSummary) -> dict[str, Any]:
    return {
        "availabilityZone": summary.availability_zone,
        "version": summary.version,
        "applied": summary.applied,
        "total": summary.total,
        "refused": summary.refused,
        "laggards": [_pack_state(state) for state in summary.laggards],
    }


def _unpack_summary(packed: Message) -> ZoneSummary:
    return ZoneSummary(
        packed.availabilityZone,
        packed.version,
        packed.applied,
        packed.total,
        packed.refused,
        [_unpack_state(entry) for entry in packed.laggards],
    )
