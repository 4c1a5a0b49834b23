"""Tracks on which nodes a configuration version is in force.

Every node reports its version to the reporter of its availability zone; the reporters
exchange one summary per zone. The reporter is the live member that ranks first, so no
election is needed: two reporters during a membership change only count the same nodes
twice.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from burdockdock.clock import Clock, next_tick_s
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.overlay.applied_status import (
    AppliedState,
    FleetStatus,
    ZoneSummary,
    pack_state,
    pack_summary,
    unpack_state,
    unpack_summary,
)
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.protocol import Message

# Changes that arrive within this delay are processed together.
_BATCH_DELAY_S = 0.1
_TICK_INTERVAL_S = 0.5
# Unchanged reports and summaries are sent again after these intervals. A summary that
# is older than the maximum age counts as missing.
_REPORT_INTERVAL_S = 10.0
_SUMMARY_INTERVAL_S = 5.0
_SUMMARY_MAX_AGE_S = 20.0
_MAX_LAGGARDS = 5
_LATE_THRESHOLD_S = 3.0
_REPORTER_SALT = "reporter"


class AppliedTracker:
    """Reports this node's version, and aggregates its zone's reports as the reporter.

    :param own_state: returns the state of this node.
    :param on_in_force: called on one reporter when a version is in force on all nodes,
        with the status and the seconds since the reporter learned of the version.
    :param on_late: called in the same way when a version is not in force on all nodes
        within the late threshold.
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
        self._newest_seen: tuple[int, float] = (0, 0.0)
        self._in_force_version = 0
        self._late_version = 0
        self._changed = True
        self._summarized_generation = -1
        self._wake_event = asyncio.Event()
        membership.subscribe(lambda _member, _previous: self._wake_event.set())
        datagrams.on("applied", self._on_applied_message)

    async def run(self) -> None:
        """Report and aggregate after each change and periodically, until cancelled."""
        while True:
            self.tick()
            await self._wait_for_wake()

    def wake(self) -> None:
        """Schedule a check of this node's state, without waiting for the next tick."""
        self._wake_event.set()

    async def _wait_for_wake(self) -> None:
        """Wait for a change, at most until the next tick."""
        try:
            async with asyncio.timeout_at(next_tick_s(_TICK_INTERVAL_S)):
                await self._wake_event.wait()
        except TimeoutError:
            return
        await asyncio.sleep(_BATCH_DELAY_S)
        self._wake_event.clear()

    def tick(self) -> None:
        """Send this node's report; as the reporter, also update the zone's summary."""
        self._send_report()
        if self._is_reporter():
            if self._needs_summary():
                self._update_summary()
            self._check_progress()

    async def status(self, *, timeout_s: float = 1.0) -> FleetStatus | None:
        """Return the fleet's status as known to the reporter of this node's zone.

        :param timeout_s: seconds to wait for the reporter's answer.
        :returns: the status, None if the reporter did not answer in time.
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

    def _send_report(self) -> None:
        """Send this node's state to the reporter after a change, or periodically."""
        state = self._own_state()
        reporter = self._own_reporter()
        current = (state, reporter.node_id)
        now_s = self._clock.monotonic()
        refresh_due = now_s - self._reported_at_s >= _REPORT_INTERVAL_S
        if current == self._reported and not refresh_due:
            return
        self._reported = current
        self._reported_at_s = now_s
        if reporter.node_id == state.node_id:
            self._states[state.node_id] = state
            self._changed = True
        else:
            self._send_to(reporter, entries=[pack_state(state)])

    def _needs_summary(self) -> bool:
        """Return whether something changed or a refresh of the summary is due."""
        generation = self._ranking.generation
        age_s = self._clock.monotonic() - self._sent_summary_at_s
        if not self._changed and generation == self._summarized_generation:
            return age_s >= _SUMMARY_INTERVAL_S
        self._changed = False
        self._summarized_generation = generation
        return True

    def _update_summary(self) -> None:
        """Aggregate this zone's states and send the summary to the other reporters."""
        summary = self._own_zone_summary()
        now_s = self._clock.monotonic()
        self._summaries[summary.availability_zone] = (summary, now_s)
        refresh_due = now_s - self._sent_summary_at_s >= _SUMMARY_INTERVAL_S
        if summary == self._sent_summary and not refresh_due:
            return
        self._sent_summary = summary
        self._sent_summary_at_s = now_s
        own = self._membership.own
        for zone in self._ranking.zones():
            if zone != own.availability_zone:
                reporter = self._reporter_of(zone)
                self._send_to(reporter, summaries=[pack_summary(summary)])

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
        summarized = [summary.version for summary, _ in self._summaries.values()]
        reported = [state.version for state in self._states.values()]
        return max([own.version, own.refused_version, *summarized, *reported])

    def _fleet_status(self) -> FleetStatus:
        """Add up the zones' summaries; a zone on an older version counts as behind."""
        newest = self._newest_version()
        applied = refused = total = 0
        laggards: list[AppliedState] = []
        now_s = self._clock.monotonic()
        for zone in self._ranking.zones():
            summary, received_at_s = self._summaries.get(zone, (None, 0.0))
            total += len(self._zone_members(zone))
            if summary is None or now_s - received_at_s > _SUMMARY_MAX_AGE_S:
                laggards.append(AppliedState(f"zone {zone}", 0, 0, "no summary"))
                continue
            if summary.version == newest:
                applied += summary.applied
                refused += summary.refused
            laggards += summary.laggards
        return FleetStatus(
            newest, min(applied, total), total, refused, laggards[:_MAX_LAGGARDS]
        )

    def _check_progress(self) -> None:
        """Detect that the newest version is in force or late, once per version.

        Only the reporter of the first zone calls the callbacks.
        """
        newest = self._newest_version()
        now_s = self._clock.monotonic()
        if newest > self._newest_seen[0]:
            self._newest_seen = (newest, now_s)
        if newest <= self._in_force_version:
            return
        first_zone = min(self._ranking.zones())
        is_first = self._membership.own.availability_zone == first_zone
        status = self._fleet_status()
        elapsed_s = now_s - self._newest_seen[1]
        if status.in_force:
            self._in_force_version = newest
            if is_first:
                self._on_in_force(status, elapsed_s)
        elif elapsed_s > _LATE_THRESHOLD_S and newest > self._late_version:
            self._late_version = newest
            if is_first:
                self._on_late(status, elapsed_s)

    def _on_applied_message(self, message: Message, address: Address) -> None:
        if message.query:
            self._answer_query(address)
        elif message.summaries and message.nodeId == "":
            self._handle_query_answer(message.summaries[0])
        else:
            self._handle_report(message)

    def _handle_report(self, message: Message) -> None:
        self._changed = True
        self._wake_event.set()
        for entry in message.entries:
            self._states[entry.nodeId] = unpack_state(entry)
        now_s = self._clock.monotonic()
        for packed in message.summaries:
            summary = unpack_summary(packed)
            self._summaries[summary.availability_zone] = (summary, now_s)

    def _answer_query(self, address: Address) -> None:
        """Answer with one summary of the whole fleet.

        The empty node id distinguishes the answer from a zone's summary.
        """
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
            address, "applied", nodeId="", summaries=[pack_summary(summary)]
        )

    def _handle_query_answer(self, packed: Message) -> None:
        summary = unpack_summary(packed)
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
