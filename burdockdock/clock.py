"""The clock interface that every time-dependent part takes as an argument."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time and of wall-clock time."""

    def monotonic(self) -> float:
        """Return monotonic seconds; only differences mean anything."""
        ...

    def now(self) -> datetime:
        """Return the wall-clock time with a time zone."""
        ...


class SystemClock:
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Return the machine's monotonic time in seconds.

        Time during which the machine was suspended counts: a lease ends in it too.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the machine's wall-clock time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when told to, for tests and replays.

    :param start: wall-clock time at monotonic zero.
    """

    def __init__(self, *, start: datetime | None = None) -> None:
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed_s = 0.0

    def monotonic(self) -> float:
        """Return the seconds this clock was advanced by so far."""
        return self._elapsed_s

    def now(self) -> datetime:
        """Return the start time plus the seconds advanced so far."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, seconds_s: float) -> None:
        """Move the clock forward.

        :param seconds_s: seconds to add, not negative.
        :raises ValueError: if the step is negative.
        """
        if seconds_s < 0:
            raise ValueError("a clock does not go backwards")
        self._elapsed_s += seconds_s
