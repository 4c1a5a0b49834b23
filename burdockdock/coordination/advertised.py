"""Versions that other nodes advertised, and since when this node lacks them."""

from typing import NamedTuple

from burdockdock.clock import Clock

# Nodes that hold a version repeat it with every ping. One that nobody repeats for this
# long may be wrong, or lost with the nodes that held it.
_MAX_SILENCE_S = 5.0
_MAX_PENDING_VERSIONS = 32


class MissingVersion(NamedTuple):
    """A version that exists and has not arrived here.

    :param version: the newest version that was advertised.
    :param since_s: monotonic time in seconds at which this node was first told of a
        version that it still lacks.
    :param repeated_s: monotonic time in seconds at which it was last told of one.
    """

    version: int
    since_s: float
    repeated_s: float

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether others have advertised the version lately."""
        return now_s - self.repeated_s <= _MAX_SILENCE_S


class AdvertisedVersions:
    """The advertised versions of one key."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._repeated_s = float("-inf")
        # When each version that may still be missing was first advertised, in order.
        self._told_s: dict[int, float] = {}

    @property
    def newest(self) -> int:
        """The newest advertised version, 0 without one."""
        return max(self._told_s, default=0)

    def note(self, version: int) -> None:
        """Note that somebody advertised a version."""
        now_s = self._clock.monotonic()
        if now_s - self._repeated_s > _MAX_SILENCE_S:
            self._told_s.clear()
        newest = self.newest
        if version < newest:
            return
        self._repeated_s = now_s
        if version > newest:
            self._told_s[version] = now_s
        if len(self._told_s) > _MAX_PENDING_VERSIONS:
            # Keeps the oldest, from which the time is counted, and the newest.
            del self._told_s[list(self._told_s)[1]]

    @property
    def repeated_s(self) -> float:
        """Monotonic time in seconds at which the newest version was last advertised."""
        return self._repeated_s

    def told_s(self, version: int) -> float | None:
        """Return when a version or a newer one was first advertised, None if never."""
        times = (time_s for v, time_s in self._told_s.items() if v >= version)
        return next(times, None)

    def arrived(self, version: int) -> None:
        """Forget the times of the versions up to one, except that of the newest."""
        newest = self.newest
        for known in list(self._told_s):
            if known <= version and known != newest:
                del self._told_s[known]

    def missing(self, seen_version: int) -> MissingVersion | None:
        """Return what is missing, None if the seen version is the newest."""
        if self.newest <= seen_version:
            return None
        since_s = next(s for v, s in self._told_s.items() if v > seen_version)
        return MissingVersion(self.newest, since_s, self._repeated_s)
