"""Relays: the few nodes of each availability zone that watch the platform."""

import asyncio
import random
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.configuration.acceptance import HEAD_KEY, head_from, read_document
from burdockdock.coordination.lease import Lease
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.node.config_state import CONFIG_KEY
from burdockdock.platform_api.client import (
    Conflict,
    PlatformClient,
    PlatformObject,
    WatchResult,
)
from burdockdock.rollout.model import ROLLOUT_PREFIX, rollout_from

RELAYS_PER_ZONE = 2
ROSTER_PREFIX = "roster/"
_LEASE_PREFIX = "leases/relay/"
_RENEW_INTERVAL_S = 3.0
_SEEK_INTERVAL_S = 5.0
_LEASE_TERM_S = 10.0
_ROSTER_INTERVAL_S = 15.0
_READ_DELAY_S = 0.4
_ROSTER_LENGTH = 8
_CANDIDATES = 3
_RELAY_SALT = "relay"


class PlatformReader:
    """Fetches what the platform holds and hands it to the overlay.

    :param spread: stores a record and sends it to every node.
    """

    def __init__(
        self,
        platform: PlatformClient,
        *,
        records: RecordStore,
        spread: Callable[[Record], None],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._records = records
        self._rng = rng
        self._spread = spread
        self._reading = asyncio.Lock()

    async def refresh(self) -> bool:
        """Read the configuration's head and all rollouts.

        :returns: whether the platform answered.
        """
        head = await self._platform.read(HEAD_KEY)
        if isinstance(head, Failure):
            return False
        if not await self.take_in([head]):
            return False
        found = await self._platform.list(ROLLOUT_PREFIX)
        if isinstance(found, Failure):
            return False
        return await self.take_in(found.objects)

    async def take_in(
        self, objects: list[PlatformObject], *, delay_s: float = 0.0
    ) -> bool:
        """Spread what is newer than the records.

        :param delay_s: bound of a random delay in which another node's spread may
            make the reading of a configuration needless.
        :returns: False if a part of it could not be read.
        """
        complete = True
        for found in objects:
            if found.key == HEAD_KEY and found.version:
                complete &= await self._take_head(found, delay_s)
            elif found.key.startswith(ROLLOUT_PREFIX):
                rollout = rollout_from(found.value)
                self._spread(Record(found.key, found.version, rollout.encode()))
        return complete

    async def _take_head(self, found: PlatformObject, delay_s: float) -> bool:
        async with self._reading:
            head = head_from(found)
            await asyncio.sleep(self._rng.uniform(0.0, delay_s))
            if head.version <= self._records.version(CONFIG_KEY):
                return True
            document = await read_document(self._platform, head)
            if isinstance(document, Failure):
                return await self._is_superseded(head.version)
            self._spread(Record(CONFIG_KEY, head.version, document.encode()))
            return True

    async def _is_superseded(self, version: int) -> bool:
        """Tell whether a newer version arrived while this one was being read."""
        return self._records.version(CONFIG_KEY) > version


class Relay:
    """Watches the platform while holding one of its zone's relay leases."""

    def __init__(
        self,
        *,
        platform: PlatformClient,
        reader: PlatformReader,
        membership: MembershipTable,
        ranking: MemberRanking,
        clock: Clock,
        holder: str,
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._reader = reader
        self._membership = membership
        self._ranking = ranking
        self._clock = clock
        self._rng = rng
        zone = membership.own.availability_zone
        self._zone = zone
        self._leases = [
            Lease(
                platform,
                f"{_LEASE_PREFIX}{zone}/{slot}",
                holder=holder,
                clock=clock,
                term_s=_LEASE_TERM_S,
            )
            for slot in range(RELAYS_PER_ZONE)
        ]
        self._roster_written_s = float("-inf")

    @property
    def is_relay(self) -> bool:
        """Whether this node holds a lease now."""
        return any(lease.is_held() for lease in self._leases)

    async def run(self) -> None:
        """Keep or seek a lease, and watch while holding one, for ever."""
        watch: asyncio.Task[None] | None = None
        try:
            while True:
                await self._maintain()
                if self.is_relay and (watch is None or watch.done()):
                    log_event("relay.started", availability_zone=self._zone)
                    watch = asyncio.create_task(self._watch())
                elif not self.is_relay and watch is not None:
                    watch.cancel()
                    watch = None
                await self._write_roster()
                interval_s = _RENEW_INTERVAL_S if self.is_relay else _SEEK_INTERVAL_S
                await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.0))
        finally:
            if watch is not None:
                watch.cancel()

    async def release(self) -> None:
        """Give the leases up before a planned stop."""
        for lease in self._leases:
            await lease.release()

    async def _maintain(self) -> None:
        """Renew the held lease; seek one only as one of the zone's candidates."""
        for lease in self._leases:
            if lease.is_held():
                await lease.maintain()
                return
        if not self._is_candidate():
            return
        for lease in self._leases:
            if await lease.maintain():
                return

    def _is_candidate(self) -> bool:
        """Only the first by rank ask, so that calls don't grow with the zone."""
        order = self._ranking.in_zone(_RELAY_SALT, self._zone)
        staying = [m.node_id for m in order if not m.leaving]
        return self._membership.own.node_id in staying[:_CANDIDATES]

    async def _watch(self) -> None:
        """Follow the changes of configuration and rollouts."""
        while True:
            if await self._reader.refresh():
                await self._follow()
            await self._platform.pause_after_failure()

    async def _follow(self) -> None:
        tasks = [
            asyncio.create_task(self._follow_prefix(prefix))
            for prefix in (HEAD_KEY, ROLLOUT_PREFIX)
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _follow_prefix(self, prefix: str) -> None:
        """Watch one prefix until a call fails."""
        found = await self._platform.list(prefix)
        while isinstance(found, WatchResult):
            if not await self._reader.take_in(found.objects, delay_s=_READ_DELAY_S):
                return
            found = await self._platform.watch(prefix, after=found.revision)

    async def _write_roster(self) -> None:
        """Keep a few addresses of the zone where starting nodes find them."""
        now_s = self._clock.monotonic()
        due = now_s - self._roster_written_s >= _ROSTER_INTERVAL_S
        if not self.is_relay or not due:
            return
        live = self._ranking.zones()[self._zone]
        chosen = self._rng.sample(live, min(_ROSTER_LENGTH, len(live)))
        addresses = sorted([m.host, m.port] for m in chosen)
        key = ROSTER_PREFIX + self._zone
        found = await self._platform.read(key)
        if isinstance(found, Failure):
            return
        result = await self._platform.write_once(
            key, expected_version=found.version, value={"addresses": addresses}
        )
        if result or isinstance(result, Conflict):
            self._roster_written_s = now_s
