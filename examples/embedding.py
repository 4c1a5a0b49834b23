"""Example of a lease, a slot limiter and a dedupe table without the daemon."""

import asyncio
from typing import Any, NamedTuple

from burdockdock.clock import ManualClock, SystemClock
from burdockdock.coordination import DedupeTable, Failure, Lease, SlotLimiter, Verdict


class StoredValue(NamedTuple):
    """A stored value with its version.

    :param lost_race: whether an update failed because another one came first; this is
        then the value that the other update stored.
    """

    version: int
    value: dict[str, Any]
    lost_race: bool = False

    @property
    def current(self) -> "StoredValue":
        """The stored value, which a lease reads after a failed update."""
        return self

    def __bool__(self) -> bool:
        """Return whether an update took effect."""
        return not self.lost_race


class MemoryStore:
    """Minimal in-memory store for a lease."""

    def __init__(self) -> None:
        self._values: dict[str, StoredValue] = {}

    async def read(self, key: str) -> StoredValue:
        """Read a value; its version is 0 if it does not exist."""
        return self._values.get(key, StoredValue(0, {}))

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> StoredValue:
        """Replace a value if the stored version is the expected one."""
        current = await self.read(key)
        if current.version != expected_version:
            return current._replace(lost_race=True)
        self._values[key] = StoredValue(expected_version + 1, value)
        return self._values[key]


async def show_lease() -> None:
    """Show how a second candidate takes over a lease that is not renewed."""
    clock, store = ManualClock(), MemoryStore()
    first = Lease(store, "leader", holder="first", clock=clock)
    second = Lease(store, "leader", holder="second", clock=clock)
    print("first holds it:", await first.maintain())
    print("second holds it:", await second.maintain())
    clock.advance(7)
    print("second took over:", await second.maintain(), "epoch", second.epoch)
    print("first still holds it:", first.is_held())


async def show_refusals() -> None:
    """Show refusals of a request without a free slot and of one that already ran."""
    clock = SystemClock()
    limiter = SlotLimiter(slots=1, clock=clock)
    deadline_s = clock.monotonic() + 1
    await limiter.acquire(workspace="t", deadline_s=deadline_s)
    refusal = await limiter.acquire(
        workspace="t", deadline_s=deadline_s, queue_length=0
    )
    if isinstance(refusal, Failure):
        print("refused:", refusal.reason, refusal.verdict.name)
    table = DedupeTable(clock=clock)
    table.claim("order-1", deadline_s=deadline_s)
    table.finish("order-1", Verdict.RAN)
    print("again:", table.claim("order-1", deadline_s=deadline_s).reason)


if __name__ == "__main__":
    asyncio.run(show_lease())
    asyncio.run(show_refusals())
