"""Writes again what the store lost that returned from an older copy."""

import asyncio
import random
from collections.abc import Callable

from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.platform_api.client import PlatformClient, PlatformObject
from burdockdock.rollout.model import ROLLOUT_PREFIX, Rollout, rollout_from
from burdockdock.rollout.view import RolloutView, is_behind

# Key of the record that tells every node of a return; its version is the era.
ERA_KEY = "store-era"
# The nodes that notice a return spread their calls to the store over this time.
_MAX_DELAY_S = 0.5


class StoreReturns:
    """Tells all nodes of a return, and writes again the rollouts that the store lost.

    :param spread: stores a record and broadcasts it to every node.
    :param on_return: called on each node that hears of a return.
    """

    def __init__(
        self,
        *,
        platform: PlatformClient,
        records: RecordStore,
        view: RolloutView,
        spread: Callable[[Record], None],
        on_return: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._records = records
        self._view = view
        self._spread = spread
        self._on_return = on_return
        self._rng = rng
        self._task: asyncio.Task[None] | None = None
        platform.era.subscribe(self._on_noticed)
        records.subscribe(self._on_record)

    def close(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()

    def _on_noticed(self, era: int) -> None:
        self._spread(Record(ERA_KEY, era, b""))
        self.close()
        self._task = asyncio.create_task(self._restore(era))

    def _on_record(self, record: Record) -> None:
        if record.key == ERA_KEY:
            log_event("store.returned", era=record.version)
            self._on_return()

    async def _restore(self, era: int) -> None:
        """Write until the store has all rollouts again, or goes back once more."""
        await asyncio.sleep(self._rng.uniform(0, _MAX_DELAY_S))
        while not await self._restore_rollouts():
            await self._platform.pause_after_failure()
        log_event("store.restored", era=era)

    async def _restore_rollouts(self) -> bool:
        """Write the rollouts that are behind; return whether nothing is left."""
        found = await self._platform.list(ROLLOUT_PREFIX)
        if isinstance(found, Failure):
            return False
        stored = {item.key: item for item in found.objects}
        complete = True
        for rollout in self._view.all():
            key = ROLLOUT_PREFIX + rollout.service
            item = stored.get(key, PlatformObject(key, 0, {}))
            if _is_lost(rollout, item):
                complete &= await self._write(rollout, item)
        return complete

    async def _write(self, rollout: Rollout, item: PlatformObject) -> bool:
        result = await self._platform.try_update(
            item.key, expected_version=item.version, value=rollout.to_value()
        )
        log_event(
            "store.rollout_restored",
            rollout=rollout.rollout_id,
            phase=rollout.phase.value,
            written=bool(result),
        )
        if not isinstance(result, PlatformObject):
            return False
        self._spread(Record(item.key, result.record_version, rollout.encode()))
        return True


def _is_lost(rollout: Rollout, item: PlatformObject) -> bool:
    """Return whether the store has an older state of a rollout, or none."""
    if not item.version:
        return True
    try:
        return is_behind(rollout_from(item.value), rollout)
    except ValueError:
        return False
