"""A store of versioned records that replicas bring to the same state."""

import hashlib
from collections.abc import Callable
from typing import NamedTuple


class Record(NamedTuple):
    """A value under a key; the higher version wins everywhere.

    :param version: assigned by the platform, never by a clock.
    """

    key: str
    version: int
    value: bytes


class RecordStore:
    """The newest record known under each key; versions never go down.

    :param accept: checks a record before it is stored; one that it refuses leaves
        the older one in place.
    """

    def __init__(self, *, accept: Callable[[Record], bool] = lambda _: True) -> None:
        self._accept = accept
        self._records: dict[str, Record] = {}
        self._refused: dict[str, int] = {}
        self._heard: dict[str, int] = {}
        self._digest = 0
        self._version_sum = 0
        self._listeners: list[Callable[[Record], None]] = []

    @property
    def digest(self) -> int:
        """A digest of all keys and versions, equal where the stores are."""
        return self._digest

    @property
    def version_sum(self) -> int:
        """The sum of all versions; a replica with a lower one lacks something."""
        return self._version_sum

    def get(self, key: str) -> Record | None:
        """Return the record under a key."""
        return self._records.get(key)

    def version(self, key: str) -> int:
        """Return the version seen under a key, 0 without one."""
        return max(self.held_version(key), self._refused.get(key, 0))

    def held_version(self, key: str) -> int:
        """Return the version that is held under a key, 0 without one."""
        record = self._records.get(key)
        return record.version if record else 0

    def versions(self) -> dict[str, int]:
        """Return the version seen under every key."""
        keys = self._records.keys() | self._refused.keys()
        return {key: self.version(key) for key in keys}

    def note_advertised(self, key: str, version: int) -> None:
        """Record that a version exists, whether or not its value is stored here."""
        if version > self._heard.get(key, 0):
            self._heard[key] = version

    def advertised_keys(self) -> list[str]:
        """Return the keys under which some version was advertised."""
        return list(self._heard)

    def missing_version(self, key: str) -> int:
        """Return the newest advertised version that was not seen here, or 0."""
        heard = self._heard.get(key, 0)
        return heard if heard > self.version(key) else 0

    def subscribe(self, listener: Callable[[Record], None]) -> None:
        """Call a function with each record that is stored."""
        self._listeners.append(listener)

    def put(self, record: Record) -> bool:
        """Store a record if it is newer than what was seen under its key.

        :returns: whether it was new, so that it should be passed on.
        """
        seen = self.version(record.key)
        if record.version <= seen:
            return False
        self._version_sum += record.version - seen
        self._digest ^= _fingerprint(record.key, seen)
        self._digest ^= _fingerprint(record.key, record.version)
        if not self._accept(record):
            self._refused[record.key] = record.version
            return True
        self._records[record.key] = record
        for listener in self._listeners:
            listener(record)
        return True

    def newer_than(self, versions: dict[str, int]) -> list[Record]:
        """Return the records that a replica with these versions lacks."""
        return [
            record
            for key, record in self._records.items()
            if record.version > versions.get(key, 0)
        ]


def _fingerprint(key: str, version: int) -> int:
    if not version:
        return 0
    text = f"{key}/{version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())
