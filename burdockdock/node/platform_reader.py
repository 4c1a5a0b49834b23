"""Reads from the platform what all nodes need to know, and broadcasts it."""

import asyncio
from collections.abc import Callable

from burdockdock.configuration.source import UNREADABLE, ConfigSource
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.node.config_state import CONFIG_KEY
from burdockdock.node.evacuations import EVACUATION_OBJECTS, EvacuationReader
from burdockdock.platform_api.client import (
    PlatformClient,
    PlatformObject,
    WatchResult,
)
from burdockdock.rollout.model import ROLLOUT_PREFIX, rollout_from
from burdockdock.rollout.orders import ORDER_PREFIX, OrderReader


class PlatformReader:
    """Reads configuration, rollouts, orders and evacuations, and broadcasts them.

    :param source: where and how the platform stores the configuration.
    :param read_order: parses an operator's rollout order; None if the platform stores
        no orders.
    :param spread: stores a record and broadcasts it to every node.
    :param watches_evacuations: whether the deployment evacuates availability zones.
    """

    def __init__(
        self,
        platform: PlatformClient,
        *,
        source: ConfigSource,
        read_order: OrderReader | None,
        records: RecordStore,
        spread: Callable[[Record], None],
        watches_evacuations: bool = False,
    ) -> None:
        self._platform = platform
        self._source = source
        self._read_order = read_order
        self._records = records
        self._spread = spread
        self._evacuations = None
        if watches_evacuations:
            self._evacuations = EvacuationReader(records, spread=spread)
        self._config_read_lock = asyncio.Lock()

    @property
    def has_configuration(self) -> bool:
        """Whether any configuration version is known."""
        return self._records.version(CONFIG_KEY) > 0

    @property
    def watched_prefixes(self) -> tuple[str, ...]:
        """Key prefixes to watch on the platform."""
        rollout_source = ROLLOUT_PREFIX if self._read_order is None else ORDER_PREFIX
        prefixes = (self._source.key.partition("/")[0] + "/", rollout_source)
        return (
            prefixes if self._evacuations is None else (*prefixes, EVACUATION_OBJECTS)
        )

    async def refresh(self) -> bool:
        """Read the configuration and all rollouts, orders and evacuations.

        :returns: False if a call failed or something must be read again.
        """
        head = await self._platform.read(self._source.key)
        if isinstance(head, Failure):
            return False
        if not await self.ingest([head]):
            return False
        prefixes = [ROLLOUT_PREFIX] + ([ORDER_PREFIX] if self._read_order else [])
        prefixes += [EVACUATION_OBJECTS] if self._evacuations else []
        for prefix in prefixes:
            found = await self._platform.list(prefix)
            if isinstance(found, Failure):
                return False
            self.note_listed(prefix, found)
            if not await self.ingest(found.objects):
                return False
        return True

    def note_listed(self, prefix: str, found: WatchResult) -> None:
        """End what a complete list under a prefix no longer contains.

        A deletion while nothing watched is told by no watch.
        """
        if self._evacuations is not None and prefix == EVACUATION_OBJECTS:
            self._evacuations.end_missing(found)

    async def ingest(self, objects: list[PlatformObject]) -> bool:
        """Broadcast what is newer than the records.

        Other objects are ignored.

        :returns: False if the configuration must be read again.
        """
        complete = True
        for found in objects:
            if found.key == self._source.key and found.version:
                complete &= await self._ingest_config_head(found)
            elif found.key.startswith(ROLLOUT_PREFIX) and found.version:
                self._ingest_rollout(found)
            elif found.key.startswith(ORDER_PREFIX) and self._read_order is not None:
                self._ingest_order(found)
            elif found.key.startswith(EVACUATION_OBJECTS) and self._evacuations:
                self._evacuations.ingest(found)
        return complete

    def _ingest_rollout(self, found: PlatformObject) -> None:
        try:
            rollout = rollout_from(found.value)
        except ValueError as error:
            log_event("rollout.unreadable", key=found.key, reason=str(error))
            return
        self._spread(Record(found.key, found.record_version, rollout.encode()))

    def _ingest_order(self, found: PlatformObject) -> None:
        order = self._read_order(found)
        if isinstance(order, Failure):
            log_event("order.unreadable", key=found.key, reason=order.detail)
            return
        # A deleted order has version 0, so its record gets the next version.
        version = found.record_version or self._records.version(found.key) + 1
        self._spread(Record(found.key, version, order.encode()))

    async def _ingest_config_head(self, found: PlatformObject) -> bool:
        async with self._config_read_lock:
            version = self._source.version_of(found)
            if version <= self._records.version(CONFIG_KEY):
                return True
            document = await self._source.read(self._platform, found)
            if isinstance(document, Failure):
                log_event("config.read_failed", version=version, reason=document.reason)
                if document.reason == UNREADABLE:
                    return True
                self._records.note_advertised(CONFIG_KEY, version)
                # Read again, unless a newer version has arrived meanwhile.
                return self._is_superseded(version)
            self._spread(Record(CONFIG_KEY, version, document.encode()))
            return True

    def _is_superseded(self, version: int) -> bool:
        """Return whether a newer version arrived while this one was being read."""
        return self._records.version(CONFIG_KEY) > version
