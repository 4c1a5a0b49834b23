"""Relays: the few nodes that watch the platform on behalf of all others."""

import asyncio
import random
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.logs import log_event
from burdockdock.node.platform_reader import PlatformReader
from burdockdock.node.relay_roles import RELAY_SALT, eligible, select_relays
from burdockdock.node.roster import Roster
from burdockdock.platform_api.client import PlatformClient, WatchResult

_ROLE_CHECK_INTERVAL_S = 0.5
# Minimum time between role checks, however often the membership changes.
_MIN_ROLE_CHECK_INTERVAL_S = 0.1
_ROSTER_RENEWAL_INTERVAL_S = 15.0
# How long the platform holds a watch open without a change (long poll). It bounds the
# time to detect a dead connection: this wait plus the margin of the call's timeout.
_WATCH_WAIT_S = 2.4
# How long to wait after a change before the next watch, so that versions written in the
# meantime are read together.
_WATCH_RESTART_DELAY_S = 0.2


class Relay:
    """Watches the platform while the ranking selects this node as a relay.

    The role needs no lease: duplicate watches are harmless, and a successor follows
    from the ranking at once, whereas the lease of a dead holder has to expire first.

    :param change_own: updates and broadcasts this node's own membership entry.
    :param stands_in: returns whether this node watches in place of silent relays.
    """

    def __init__(
        self,
        *,
        platform: PlatformClient,
        reader: PlatformReader,
        roster: Roster,
        membership: MembershipTable,
        ranking: MemberRanking,
        clock: Clock,
        rng: random.Random,
        change_own: Callable[..., None],
        stands_in: Callable[[], bool] = lambda: False,
    ) -> None:
        self._platform = platform
        self._reader = reader
        self._roster = roster
        self._membership = membership
        self._ranking = ranking
        self._clock = clock
        self._rng = rng
        self._change_own = change_own
        self._stands_in = stands_in
        self._zone = membership.own.availability_zone
        self._roster_due_s = clock.monotonic() + _ROSTER_RENEWAL_INTERVAL_S
        self._has_contact = False
        self._role_may_change = asyncio.Event()
        membership.subscribe(lambda _new, _known: self.check_role_soon())

    @property
    def is_relay(self) -> bool:
        """Whether this node is one of the selected relays."""
        own_id = self._membership.own.node_id
        return own_id in select_relays(self._ranking)

    @property
    def has_contact(self) -> bool:
        """Whether the platform has answered since this node watches it."""
        return self._has_contact

    async def run(self) -> None:
        """Watch the platform whenever this node is a relay; runs until cancelled."""
        watch: asyncio.Task[None] | None = None
        try:
            while True:
                self._role_may_change.clear()
                # A node that lost the platform keeps polling to detect its recovery.
                should_watch = (
                    self.is_relay
                    or self._stands_in()
                    or self._membership.own.platform_lost
                )
                # A watch runs until cancelled, so one that is done has failed.
                if should_watch and (watch is None or watch.done()):
                    log_event("relay.started", availability_zone=self._zone)
                    watch = asyncio.create_task(self._watch_platform())
                elif not should_watch and watch is not None:
                    log_event("relay.stopped", availability_zone=self._zone)
                    watch.cancel()
                    watch = None
                await self._renew_roster()
                await self._wait_for_role_change()
        finally:
            if watch is not None:
                watch.cancel()

    async def _wait_for_role_change(self) -> None:
        """Wait until the role may have changed, or for the next regular check.

        After a change, at least the minimum interval passes since the wait began.
        """
        wait_started_s = self._clock.monotonic()
        interval_s = (
            _MIN_ROLE_CHECK_INTERVAL_S
            + _ROLE_CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        )
        try:
            async with asyncio.timeout(interval_s):
                await self._role_may_change.wait()
        except TimeoutError:
            return
        await asyncio.sleep(
            wait_started_s + _MIN_ROLE_CHECK_INTERVAL_S - self._clock.monotonic()
        )

    def check_role_soon(self) -> None:
        """Check the role before its next regular check."""
        self._role_may_change.set()

    def renew_roster_soon(self) -> None:
        """Renew the roster at the next check of the role."""
        self._roster_due_s = self._clock.monotonic()
        self.check_role_soon()

    def _update_platform_lost(self, *, lost: bool) -> None:
        """Publish a loss of the platform, so that another node becomes a relay."""
        if lost != self._membership.own.platform_lost:
            self._change_own(platform_lost=lost)

    async def _watch_platform(self) -> None:
        """Keep this node in sync with the platform; runs until cancelled."""
        self._has_contact = False
        while True:
            complete = await self._reader.refresh()
            self._has_contact = complete
            # The count also includes failures of calls by other parts of this node,
            # which may have happened during a complete refresh.
            self._update_platform_lost(
                lost=not complete and self._platform.failures_in_row > 0
            )
            if complete:
                await self._watch_prefixes()
                self._update_platform_lost(lost=self._platform.failures_in_row > 0)
            await self._platform.pause_after_failure()

    async def _watch_prefixes(self) -> None:
        tasks = [
            asyncio.create_task(self._watch_prefix(prefix))
            for prefix in self._reader.watched_prefixes
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _watch_prefix(self, prefix: str) -> None:
        """Watch one prefix until a call fails or an object must be read again.

        Revisions of an earlier era say nothing, so a new era ends the watch too.
        """
        era = self._platform.era.newest
        found = await self._platform.list(prefix)
        wait_s = self._initial_wait_s()
        if isinstance(found, WatchResult):
            self._reader.note_listed(prefix, found)
        while isinstance(found, WatchResult):
            if not await self._reader.ingest(found.objects):
                return
            if self._platform.era.newest != era:
                log_event("watch.ended", prefix=prefix, reason="era_changed")
                return
            if found.objects:
                await asyncio.sleep(_WATCH_RESTART_DELAY_S)
                wait_s = self._initial_wait_s()
            found = await self._platform.watch(
                prefix, after=found.revision, wait_s=wait_s
            )
            wait_s = _WATCH_WAIT_S
        log_event("watch.ended", prefix=prefix, reason=found.reason)

    def _initial_wait_s(self) -> float:
        """Return the wait in seconds of the first watch after a change.

        A change makes all relays start a watch at the same time. Different initial
        waits stagger the ends of their watches, so that one of them soon notices if
        all of them lost the platform.
        """
        relay_ids = sorted(select_relays(self._ranking))
        own_id = self._membership.own.node_id
        position = (
            relay_ids.index(own_id) + 1 if own_id in relay_ids else len(relay_ids)
        )
        return _WATCH_WAIT_S * position / max(1, len(relay_ids))

    async def _renew_roster(self) -> None:
        """Renew the roster's addresses of this zone, which starting nodes use.

        Only the zone's first eligible member does so, at regular intervals.
        """
        now_s = self._clock.monotonic()
        if now_s < self._roster_due_s or not self._is_first_in_zone():
            return
        self._roster_due_s = now_s + _ROSTER_RENEWAL_INTERVAL_S
        await self._roster.renew(self._ranking.zones()[self._zone])

    def _is_first_in_zone(self) -> bool:
        ranked = eligible(self._ranking.in_zone(RELAY_SALT, self._zone))
        return bool(ranked) and ranked[0].node_id == self._membership.own.node_id
