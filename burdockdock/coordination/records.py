"""Store of versioned records whose replicas converge to the same state."""

import hashlib
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock, SystemClock
from burdockdock.coordination.advertised import AdvertisedVersions, MissingVersion


class Record(NamedTuple):
    """A key with a value and its version; the highest version wins on every node.

    :param version: version assigned by the platform, never derived from a clock.
    """

    key: str
    version: int
    value: bytes


class RecordStore:
    """Newest known record of each key; versions never decrease.

    :param accept: returns whether a record may be stored; if it refuses a record, the
        older record stays in place.
    :param clock: times since when an advertised version is missing.
    """

    def __init__(
        self,
        *,
        accept: Callable[[Record], bool] = lambda _: True,
        clock: Clock | None = None,
    ) -> None:
        self._accept = accept
        self._clock = clock or SystemClock()
        self._records: dict[str, Record] = {}
        self._refused_versions: dict[str, int] = {}
        self._advertised: dict[str, AdvertisedVersions] = {}
        self._digest = 0
        self._version_sum = 0
        self._listeners: list[Callable[[Record], None]] = []

    @property
    def digest(self) -> int:
        """Digest of all keys and versions; equal stores have equal digests."""
        return self._digest

    @property
    def version_sum(self) -> int:
        """Sum of all versions; a replica with a lower sum lacks some record."""
        return self._version_sum

    def get(self, key: str) -> Record | None:
        """Return the record of a key, or None without one."""
        return self._records.get(key)

    def version(self, key: str) -> int:
        """Return the newest version seen of a key, stored or refused; 0 without one."""
        return max(self.held_version(key), self._refused_versions.get(key, 0))

    def held_version(self, key: str) -> int:
        """Return the version of the stored record of a key; 0 without one."""
        record = self._records.get(key)
        return record.version if record else 0

    def versions(self) -> dict[str, int]:
        """Return the newest version seen of every key, stored or refused."""
        keys = self._records.keys() | self._refused_versions.keys()
        return {key: self.version(key) for key in keys}

    def note_advertised(self, key: str, version: int) -> None:
        """Record that a version exists, whether or not its value is stored here."""
        if not version:
            return
        advertised = self._advertised.get(key)
        if advertised is None:
            advertised = AdvertisedVersions(clock=self._clock)
            self._advertised[key] = advertised
        advertised.note(version)

    def advertised_keys(self) -> list[str]:
        """Return the keys of which any version was advertised."""
        return list(self._advertised)

    def missing(self, key: str) -> MissingVersion | None:
        """Return the advertised version that was not seen here, None without one."""
        advertised = self._advertised.get(key)
        return None if advertised is None else advertised.missing(self.version(key))

    def missing_version(self, key: str) -> int:
        """Return the newest advertised version if it was not seen here, otherwise 0."""
        missing = self.missing(key)
        return missing.version if missing else 0

    def advertised_s(self, key: str) -> float:
        """Return when the newest version was last advertised, -inf if never."""
        advertised = self._advertised.get(key)
        return float("-inf") if advertised is None else advertised.repeated_s

    def told_s(self, key: str, version: int) -> float | None:
        """Return the monotonic time at which a version was first advertised here."""
        advertised = self._advertised.get(key)
        return None if advertised is None else advertised.told_s(version)

    def subscribe(self, listener: Callable[[Record], None]) -> None:
        """Call a function with each record that is stored."""
        self._listeners.append(listener)

    def put(self, record: Record) -> bool:
        """Store a record if it is newer than every version seen of its key.

        :returns: whether it was newer and should be forwarded, also if refused.
        """
        seen = self.version(record.key)
        if record.version <= seen:
            return False
        self._version_sum += record.version - seen
        self._digest ^= _fingerprint(record.key, seen)
        self._digest ^= _fingerprint(record.key, record.version)
        if not self._accept(record):
            self._refused_versions[record.key] = record.version
            return True
        self._records[record.key] = record
        for listener in self._listeners:
            listener(record)
        if record.key in self._advertised:
            self._advertised[record.key].arrived(record.version)
        return True

    def newer_than(self, versions: dict[str, int]) -> list[Record]:
        """Return the stored records that a replica with these versions lacks."""
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
