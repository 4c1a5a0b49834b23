"""Leases stored in the platform, timed by monotonic clocks and fenced by an epoch."""

from typing import Any, NamedTuple, Protocol

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure


class StoredObject(Protocol):
    """A versioned object stored in the platform."""

    version: int
    value: dict[str, Any]
    era: int


class ObjectStore(Protocol):
    """Storage interface that a lease requires."""

    async def read(self, key: str) -> Any:
        """Read an object; its version is 0 if it does not exist."""
        ...

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> Any:
        """Replace the value if the stored version is the expected one."""
        ...


class _Observation(NamedTuple):
    """When a version of the lease object was first seen.

    :param era: era of the store; versions are given out again in the next one.
    """

    era: int
    version: int
    seen_at_s: float


class Lease:
    """One named lease, held by at most one holder at a time.

    Wall clocks are not compared. A candidate takes over the lease only after it has
    seen the same version for a whole term of its own monotonic clock. The holder
    starts its term before it sends the write, so its term ends before any candidate
    can take over. The epoch increases with each new holder and fences late writes.

    :param key: key of the lease object in the platform.
    :param holder: id of this process, different after each restart.
    :param term_s: seconds for which one write holds the lease.
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
        self._observation: _Observation | None = None
        self._not_before_s = float("-inf")
        self._unconfirmed_until_s = float("-inf")
        self._lowest_epoch = 0
        self._era: int | None = None

    @property
    def epoch(self) -> int:
        """Fencing epoch of the last lease taken by this holder; 0 before the first."""
        return self._epoch

    def is_held(self, *, margin_s: float = 0.0) -> bool:
        """Return whether the lease is certain to be held for some more time.

        :param margin_s: seconds for which the lease must remain valid, such as the
            duration of the action that it protects.
        """
        if self._held_until_s is None:
            return False
        return self._clock.monotonic() + margin_s < self._held_until_s

    def lose(self) -> None:
        """Forget the lease: the store returned from an older copy, which may lack it.

        Whoever holds it may not know of that yet, so this candidate waits for a term,
        unless it holds the lease itself and the copy says so.
        """
        if self._held_until_s is not None:
            self._unconfirmed_until_s = self._held_until_s
        self._held_until_s = None
        self._observation = None
        self._version = 0
        self._not_before_s = self._clock.monotonic() + self._term_s

    def raise_epoch(self, epoch: int) -> None:
        """Take no epoch up to this one, which a holder has used."""
        self._lowest_epoch = max(self._lowest_epoch, epoch)

    async def maintain(self) -> bool:
        """Renew the lease, or acquire it if it is free or has expired.

        :returns: whether the lease is held afterwards.
        """
        if self.is_held():
            return await self._renew()
        self._held_until_s = None
        return await self._try_acquire()

    async def release(self) -> None:
        """Release the lease, so that the next holder needn't wait for its end."""
        if not self.is_held():
            return
        self._held_until_s = None
        await self._store.try_update(
            self._key,
            expected_version=self._version,
            value=self._lease_value(holder=""),
        )

    async def _renew(self) -> bool:
        started_s = self._clock.monotonic()
        result = await self._store.try_update(
            self._key, expected_version=self._version, value=self._lease_value()
        )
        if result:
            return self._start_term(result.version, started_s)
        if isinstance(result, Failure):
            return self.is_held()
        return self._resolve_conflict(result.current)

    async def _try_acquire(self) -> bool:
        current = await self._store.read(self._key)
        if isinstance(current, Failure):
            return False
        self._note_era(current.era)
        if self._is_still_own(current):
            return await self._write(current, epoch=self._epoch)
        # Another holder may take it from here on, whatever a later copy says.
        self._unconfirmed_until_s = float("-inf")
        # Seen while this candidate waits, so that it needn't wait for a second term.
        expired = self._has_expired(current)
        if not expired or self._clock.monotonic() < self._not_before_s:
            return False
        stored_epoch = int(current.value.get("epoch", 0))
        epoch = max(stored_epoch, self._epoch, self._lowest_epoch) + 1
        return await self._write(current, epoch=epoch)

    async def _write(self, current: StoredObject, *, epoch: int) -> bool:
        """Take the lease if its object is still the one that was read."""
        started_s = self._clock.monotonic()
        result = await self._store.try_update(
            self._key,
            expected_version=current.version,
            value=self._lease_value(epoch=epoch),
        )
        if not result:
            return False
        self._epoch = epoch
        return self._start_term(result.version, started_s)

    def _note_era(self, era: int) -> None:
        """Lose the lease if the store returned from a copy since the last answer."""
        if self._era is not None and era != self._era:
            self.lose()
        self._era = era

    def _is_still_own(self, current: StoredObject) -> bool:
        """Return whether a lease that the store may have lost is there and runs.

        Nobody else can have taken it: others have to see this version for a term.
        """
        if self._clock.monotonic() >= self._unconfirmed_until_s:
            return False
        value = current.value
        return value.get("holder") == self._holder and value["epoch"] == self._epoch

    def _has_expired(self, current: StoredObject) -> bool:
        """Return whether the lease is free or was not renewed for a whole term.

        One of a lower epoch than a holder used is of an older copy, which may lack
        that holder, so it isn't free.
        """
        held = bool(current.version and current.value.get("holder"))
        if not held and current.value.get("epoch", 0) >= self._lowest_epoch:
            return True
        now_s = self._clock.monotonic()
        seen = self._observation
        if seen is None or (seen.era, seen.version) != (current.era, current.version):
            self._observation = _Observation(current.era, current.version, now_s)
            return False
        return now_s - seen.seen_at_s > current.value.get("term_s", self._term_s)

    def _resolve_conflict(self, current: StoredObject) -> bool:
        """Resolve a write conflict, which a renewal with a lost response also causes.

        If the stored lease is still this holder's, adopt its version without
        extending the term.

        :returns: whether the lease is held afterwards.
        """
        value = current.value
        if value.get("holder") != self._holder or value.get("epoch") != self._epoch:
            self._held_until_s = None
            return False
        self._version = current.version
        return self.is_held()

    def _start_term(self, version: int, started_s: float) -> bool:
        self._version = version
        self._unconfirmed_until_s = float("-inf")
        self._held_until_s = started_s + self._term_s
        return self.is_held()

    def _lease_value(
        self, *, holder: str | None = None, epoch: int | None = None
    ) -> dict[str, Any]:
        return {
            "holder": self._holder if holder is None else holder,
            "epoch": self._epoch if epoch is None else epoch,
            "term_s": self._term_s,
        }
