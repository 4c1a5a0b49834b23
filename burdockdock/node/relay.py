"""Relays: the few nodes that watch the platform for all others."""

import asyncio
import random
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.configuration.source import UNREADABLE, ConfigSource
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.node.config_state import CONFIG_KEY
from burdockdock.node.roster import Roster
from burdockdock.platform_api.client import (
    PlatformClient,
    PlatformObject,
    WatchResult,
)
from burdockdock.rollout.model import ROLLOUT_PREFIX, rollout_from
from burdockdock.rollout.orders import ORDER_PREFIX, OrderReader

_FEWEST_RELAYS = 3
_ROLE_INTERVAL_S = 0.5
# Changes of the membership that come together are looked at once.
_ROLE_PAUSE_S = 0.1
_ROSTER_INTERVAL_S = 15.0
# A connection that went silent is noticed after this and the call's timeout.
_WATCH_S = 2.4
# Versions that follow each other faster are read together.
_WATCH_PAUSE_S = 0.2
_RELAY_SALT = "relay"
# Members of a zone, and of the fleet, that the role may be handed on to: in an outage
# of the platform every one of them goes on asking.
_MOST_OF_ZONE = 4
_MOST_OF_FLEET = 8


class PlatformReader:
    """Fetches what the platform holds and hands it to the overlay.

    :param source: where the configuration stands.
    :param orders: reads operators' orders of rollouts, None when the platform
        holds rollouts in our own form only.
    :param spread: stores a record and sends it to every node.
    """

    def __init__(
        self,
        platform: PlatformClient,
        *,
        source: ConfigSource,
        orders: OrderReader | None,
        records: RecordStore,
        spread: Callable[[Record], None],
    ) -> None:
        self._platform = platform
        self._source = source
        self._orders = orders
        self._records = records
        self._spread = spread
        self._reading = asyncio.Lock()

    @property
    def watched(self) -> tuple[str, ...]:
        """Prefixes whose changes must be learned from the platform."""
        followed = ROLLOUT_PREFIX if self._orders is None else ORDER_PREFIX
        return (self._source.key.partition("/")[0] + "/", followed)

    async def refresh(self) -> bool:
        """Read the configuration's head and all rollouts.

        :returns: whether the platform answered.
        """
        head = await self._platform.read(self._source.key)
        if isinstance(head, Failure):
            return False
        if not await self.take_in([head]):
            return False
        prefixes = [ROLLOUT_PREFIX] + ([ORDER_PREFIX] if self._orders else [])
        for prefix in prefixes:
            found = await self._platform.list(prefix)
            if isinstance(found, Failure):
                return False
            if not await self.take_in(found.objects):
                return False
        return True

    async def take_in(self, objects: list[PlatformObject]) -> bool:
        """Spread what is newer than the records.

        :returns: False if a part of it must be read again.
        """
        complete = True
        for found in objects:
            if found.key == self._source.key and found.version:
                complete &= await self._take_head(found)
            elif found.key.startswith(ROLLOUT_PREFIX) and found.version:
                self._take_rollout(found)
            elif found.key.startswith(ORDER_PREFIX) and self._orders is not None:
                self._take_order(found)
        return complete

    def _take_rollout(self, found: PlatformObject) -> None:
        try:
            rollout = rollout_from(found.value)
        except ValueError as error:
            log_event("rollout.unreadable", key=found.key, reason=str(error))
            return
        self._spread(Record(found.key, found.version, rollout.encode()))

    def _take_order(self, found: PlatformObject) -> None:
        order = self._orders(found)
        if isinstance(order, Failure):
            log_event("order.unreadable", key=found.key, reason=order.detail)
            return
        # An order that was deleted has no version of its own.
        version = found.version or self._records.version(found.key) + 1
        self._spread(Record(found.key, version, order.encode()))

    async def _take_head(self, found: PlatformObject) -> bool:
        async with self._reading:
            version = self._source.version_of(found)
            if version <= self._records.version(CONFIG_KEY):
                return True
            document = await self._source.read(self._platform, found)
            if isinstance(document, Failure):
                log_event("config.unread", version=version, reason=document.reason)
                if document.reason == UNREADABLE:
                    return True
                self._records.note_advertised(CONFIG_KEY, version)
                return self._is_superseded(version)
            self._spread(Record(CONFIG_KEY, version, document.encode()))
            return True

    def _is_superseded(self, version: int) -> bool:
        """Tell whether a newer version arrived while this one was being read."""
        return self._records.version(CONFIG_KEY) > version


class Relay:
    """Watches the platform while this node is among the first by rank.

    The role needs no lease: two relays that watch the same do no harm, and a rank is
    known at once where a dead holder's lease would have to lapse first.

    :param change_own: changes this node's own entry in the membership.
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
    ) -> None:
        self._platform = platform
        self._reader = reader
        self._roster = roster
        self._membership = membership
        self._ranking = ranking
        self._clock = clock
        self._rng = rng
        self._change_own = change_own
        self._zone = membership.own.availability_zone
        self._roster_due_s = clock.monotonic() + _ROSTER_INTERVAL_S
        self._members_changed = asyncio.Event()
        membership.subscribe(lambda _new, _known: self._members_changed.set())

    @property
    def is_relay(self) -> bool:
        """Whether this node is one of those that watch the platform."""
        own_id = self._membership.own.node_id
        return own_id in relays(self._ranking)

    async def run(self) -> None:
        """Watch while this node is a relay, for ever."""
        watch: asyncio.Task[None] | None = None
        try:
            while True:
                self._members_changed.clear()
                # A node that lost the platform goes on asking, to notice its return.
                wanted = self.is_relay or self._membership.own.platform_lost
                if wanted and (watch is None or watch.done()):
                    log_event("relay.started", availability_zone=self._zone)
                    watch = asyncio.create_task(self._watch())
                elif not wanted and watch is not None:
                    log_event("relay.stopped", availability_zone=self._zone)
                    watch.cancel()
                    watch = None
                await self._renew_roster()
                await self._wait_for_members()
        finally:
            if watch is not None:
                watch.cancel()

    async def _wait_for_members(self) -> None:
        """Wait until the members changed, for a while at most."""
        looked_s = self._clock.monotonic()
        interval_s = _ROLE_PAUSE_S + _ROLE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        try:
            async with asyncio.timeout(interval_s):
                await self._members_changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(looked_s + _ROLE_PAUSE_S - self._clock.monotonic())

    def _tell_reach(self, *, lost: bool) -> None:
        """Let others take the role while the platform does not answer this node."""
        if lost != self._membership.own.platform_lost:
            self._change_own(platform_lost=lost)

    async def _watch(self) -> None:
        """Follow the changes of configuration and rollouts."""
        while True:
            complete = await self._reader.refresh()
            # Other calls of this node may have failed meanwhile.
            self._tell_reach(lost=not complete and self._platform.failures_in_row > 0)
            if complete:
                await self._follow()
                self._tell_reach(lost=self._platform.failures_in_row > 0)
            await self._platform.pause_after_failure()

    async def _follow(self) -> None:
        tasks = [
            asyncio.create_task(self._follow_prefix(prefix))
            for prefix in self._reader.watched
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _follow_prefix(self, prefix: str) -> None:
        """Watch one prefix until a call fails."""
        found = await self._platform.list(prefix)
        wait_s = self._first_wait_s()
        while isinstance(found, WatchResult):
            if not await self._reader.take_in(found.objects):
                return
            if found.objects:
                await asyncio.sleep(_WATCH_PAUSE_S)
                wait_s = self._first_wait_s()
            found = await self._platform.watch(
                prefix, after=found.revision, wait_s=wait_s
            )
            wait_s = _WATCH_S
        log_event("watch.ended", prefix=prefix, reason=found.reason)

    def _first_wait_s(self) -> float:
        """Return how long to wait in the first watch after news.

        Relays begin to watch together, at a change. They end at different times, so
        that one of them soon notices when the platform is lost to all of them.
        """
        order = sorted(relays(self._ranking))
        own_id = self._membership.own.node_id
        place = order.index(own_id) + 1 if own_id in order else len(order)
        return _WATCH_S * place / max(1, len(order))

    async def _renew_roster(self) -> None:
        """Keep a few addresses of the zone where starting nodes find them."""
        now_s = self._clock.monotonic()
        if now_s < self._roster_due_s or not self._is_first_of_zone():
            return
        self._roster_due_s = now_s + _ROSTER_INTERVAL_S
        await self._roster.renew(self._ranking.zones()[self._zone])

    def _is_first_of_zone(self) -> bool:
        order = _reaching(self._ranking.in_zone(_RELAY_SALT, self._zone))
        return bool(order) and order[0].node_id == self._membership.own.node_id


def relays(ranking: MemberRanking) -> set[str]:
    """Return the ids of the members that watch: one a zone, and a few at least."""
    firsts = {
        order[0].node_id
        for zone in ranking.zones()
        if (order := _reaching(ranking.in_zone(_RELAY_SALT, zone)[:_MOST_OF_ZONE]))
    }
    for member in _reaching(ranking.in_all_zones(_RELAY_SALT)[:_MOST_OF_FLEET]):
        if len(firsts) >= _FEWEST_RELAYS:
            break
        firsts.add(member.node_id)
    return firsts


def _reaching(order: list[Member]) -> list[Member]:
    """Return the members that stay and that the platform answers."""
    return [m for m in order if not m.leaving and not m.platform_lost]
