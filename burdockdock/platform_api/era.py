"""The era of the platform's store, which rises when the store returns from a copy.

After such a return, what was acknowledged since the copy is gone, and its revisions are
given out again: revisions of different eras say nothing about each other.
"""

from collections.abc import Callable

from burdockdock.coordination.whole_numbers import parse_whole_number
from burdockdock.logs import log_event

_MAX_ERA = 1 << 20
_REVISION_BITS = 40
_UNREADABLE = -1


def ordered_version(era: int, revision: int) -> int:
    """Return a number that orders revisions of all eras, 0 for the revision 0.

    It equals the revision if the store states no era.
    """
    return (era << _REVISION_BITS) | revision if revision else 0


def era_of(version: int) -> int:
    """Return the era of a number that :func:`ordered_version` returned."""
    return version >> _REVISION_BITS


class StoreEra:
    """The newest era that the store's responses stated.

    :param count: increments a counter, given its name.
    """

    def __init__(self, *, count: Callable[[str], None]) -> None:
        self._count = count
        self._listeners: list[Callable[[int], None]] = []
        self._newest: int | None = None

    @property
    def newest(self) -> int:
        """The newest era, 0 if none was stated."""
        return self._newest or 0

    def subscribe(self, listener: Callable[[int], None]) -> None:
        """Call a function with each era that replaces one that was known."""
        self._listeners.append(listener)

    def accept(self, header: str | None) -> bool:
        """Note the era that a response states.

        :param header: as in the response, None if it states no era.
        :returns: False if the response is of an era that is over.
        """
        if header is None:
            return True
        era = parse_whole_number(header.strip(), _UNREADABLE)
        if not 0 <= era <= _MAX_ERA:
            self._count("platform_eras_unreadable")
            log_event("platform.era_unreadable", text=header[:40])
            return True
        if era < self.newest:
            self._count("platform_answers_of_earlier_eras")
            log_event("platform.earlier_era", era=era, newest=self.newest)
            return False
        if self._newest is None or era > self._newest:
            self._advance(era)
        return True

    def _advance(self, era: int) -> None:
        previous = self._newest
        self._newest = era
        if previous is None:
            return
        self._count("platform_returns")
        log_event("platform.era_changed", previous=previous, era=era)
        for listener in self._listeners:
            listener(era)
