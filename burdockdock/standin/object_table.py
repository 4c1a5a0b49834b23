"""The objects of the stand-in for the platform, which can return from an older copy."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

# Changes that are older can't be lost any more.
_MAX_COPY_AGE_S = 60.0


class _Change(NamedTuple):
    """What undoes one change.

    :param at_s: time of the change, as the clock of the table tells it.
    :param revision: revision before the change.
    :param previous: the object before the change, None if there was none.
    """

    at_s: float
    revision: int
    key: str
    previous: dict[str, Any] | None


class ObjectTable:
    """Versioned objects; each change gets the next revision as its version.

    :ivar revision: revision of the newest change.
    :ivar era: number of returns from a copy.
    :param monotonic: the time in seconds.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._changes: deque[_Change] = deque()
        self.revision = 0
        self.era = 0
        self.objects: dict[str, dict[str, Any]] = {}
        self._deleted: dict[str, int] = {}
        self.changed = asyncio.Condition()

    async def put(self, key: str, expected_version: int | None, value: Any) -> bool:
        """Store a value if the object has the expected version.

        :param expected_version: None to store in any case.
        :returns: whether the value was stored.
        """
        if expected_version is not None and self.version(key) != expected_version:
            return False
        self._remember(key)
        self.revision += 1
        self.objects[key] = {"key": key, "version": self.revision, "value": value}
        await self.notify_watches()
        return True

    async def delete(self, key: str) -> None:
        """Remove an object, if there is one; watches tell of it."""
        if key not in self.objects:
            return
        self._remember(key)
        self.revision += 1
        del self.objects[key]
        self._deleted[key] = self.revision
        await self.notify_watches()

    def version(self, key: str) -> int:
        """Return an object's version, or 0 if it does not exist."""
        item = self.objects.get(key)
        return item["version"] if item else 0

    def after(self, prefix: str, revision: int) -> list[dict[str, Any]]:
        """Return the objects with a key prefix that changed after a revision."""
        return [
            item
            for key, item in self.objects.items()
            if key.startswith(prefix) and item["version"] > revision
        ]

    def changes(self, prefix: str, revision: int) -> list[dict[str, Any]]:
        """Return what changed after a revision; a deleted object has version 0."""
        deleted = [
            {"key": key, "version": 0}
            for key, deleted_at in self._deleted.items()
            if key.startswith(prefix)
            and deleted_at > revision
            and key not in self.objects
        ]
        return self.after(prefix, revision) + deleted

    async def return_from_copy(self, age_s: float) -> int:
        """Undo the changes of the last seconds; their revisions are given out again.

        :param age_s: age of the copy in seconds, 60 at most.
        :returns: number of changes that were undone.
        :raises ValueError: for an age out of range.
        """
        if not 0 <= age_s <= _MAX_COPY_AGE_S:
            raise ValueError(f"age_s is {age_s}, not from 0 to {_MAX_COPY_AGE_S:g}")
        copied_at_s = self._monotonic() - age_s
        lost = 0
        while self._changes and self._changes[-1].at_s > copied_at_s:
            self._undo(self._changes.pop())
            lost += 1
        self._deleted = {k: r for k, r in self._deleted.items() if r <= self.revision}
        self.era += 1
        await self.notify_watches()
        return lost

    async def notify_watches(self) -> None:
        """Let the watches look again at what they wait for."""
        async with self.changed:
            self.changed.notify_all()

    def _remember(self, key: str) -> None:
        now_s = self._monotonic()
        previous = self.objects.get(key)
        self._changes.append(_Change(now_s, self.revision, key, previous))
        while self._changes[0].at_s < now_s - _MAX_COPY_AGE_S:
            self._changes.popleft()

    def _undo(self, change: _Change) -> None:
        self.revision = change.revision
        if change.previous is None:
            self.objects.pop(change.key, None)
        else:
            self.objects[change.key] = change.previous
