"""Leases kept in the platform, with proof by the monotonic clock and fencing."""

from typing import Any, NamedTuple, Protocol

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure


class StoredObject(Protocol):
    """An object of the platform."""

    version: int
    value: dict[str, Any]


class ObjectStore(Protocol):
    """What a lease needs of the platform."""

    async def read(self, key: str) -> Any:
        """Read an object; version 0 when it does not exist."""
        ...

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> Any:
        """Make one conditional update."""
        ...


class _Observation(NamedTuple):
    """The lease object as it was first seen at one version."""

    version: int
    seen_at_s: float


class Lease:
    """One named lease, held by at most one holder at a time.

    Wall clocks are not compared: a candidate takes the lease over only after it saw
    the same version stand for the whole term by its own monotonic clock. The holder
    counts its term from before it sent the write, so its term ends earlier than any
    candidate's. The epoch grows with each new holder and fences late writes.

    :param key: the lease's key in the platform.
    :param holder: id of this process, unique to its incarnation.
    :param term_s: seconds that one write keeps the lease.
    """

    def __init__(
        self,
        store: ObjectStore,
        key: str,
        *,
        holder: str,
        clock: Clock,
        term_s: float = 6.0,
    ) -> None:
        self._store = store
        self._key = key
        self._holder = holder
        self._clock = clock
        self._term_s = term_s
        self._version = 0
        self._epoch = 0
        self._held_until_s: float | None = None
        self._observed: _Observation | None = None

    @property
    def epoch(self) -> int:
        """The fencing epoch of this holder's tenure, 0 before the first."""
        return self._epoch

    def is_held(self, *, margin_s: float = 0.0) -> bool:
        """Tell whether the lease is provably live for some more time.

        :param margin_s: seconds that the action to start may take.
        """
        if self._held_until_s is None:
            return False
        return self._clock.monotonic() + margin_s < self._held_until_s

    async def maintain(self) -> bool:
        """Renew the lease, or take it when it is free or has lapsed.

        :returns: whether the lease is held afterwards.
        """
        if self.is_held():
            return await self._renew()
        self._held_until_s = None
        return await self._try_take()

    async def release(self) -> None:
        """Give the lease up at once, so that the next holder need not wait."""
        if not self.is_held():
            return
        self._held_until_s = None
        await self._store.try_update(
            self._key, expected_version=self._version, value=self._value(holder="")
        )

    async def _renew(self) -> bool:
        started_s = self._clock.monotonic()
        result = await self._store.try_update(
            self._key, expected_version=self._version, value=self._value()
        )
        if result:
            return self._hold(result.version, started_s)
        if isinstance(result, Failure):
            return self.is_held()
        return self._adopt_lost_answer(result.current)

    async def _try_take(self) -> bool:
        current = await self._store.read(self._key)
        if isinstance(current, Failure):
            return False
        if not self._has_lapsed(current):
            return False
        epoch = int(current.value.get("epoch", 0)) + 1
        started_s = self._clock.monotonic()
        result = await self._store.try_update(
            self._key,
            expected_version=current.version,
            value=self._value(epoch=epoch),
        )
        if not result:
            return False
        self._epoch = epoch
        return self._hold(result.version, started_s)

    def _has_lapsed(self, current: StoredObject) -> bool:
        """Tell whether the lease is free, or stood unchanged for a whole term."""
        if current.version == 0 or not current.value.get("holder"):
            return True
        now_s = self._clock.monotonic()
        if self._observed is None or self._observed.version != current.version:
            self._observed = _Observation(current.version, now_s)
            return False
        return now_s - self._observed.seen_at_s > current.value["term_s"]

    def _adopt_lost_answer(self, current: StoredObject) -> bool:
        """Go on when the conflict shows our own earlier renewal."""
        value = current.value
        if value.get("holder") != self._holder or value.get("epoch") != self._epoch:
            self._held_until_s = None
            return False
        self._version = current.version
        return self.is_held()

    def _hold(self, version: int, started_s: float) -> bool:
        self._version = version
        self._held_until_s = started_s + self._term_s
        return self.is_held()

    def _value(
        self, *, holder: str | None = None, epoch: int | None = None
    ) -> dict[str, Any]:
        return {
            "holder": self._holder if holder is None else holder,
            "epoch": self._epoch if epoch is None else epoch,
            "term_s": self._term_s,
        }
