"""The clock interface that every time-dependent part takes as an argument."""

import asyncio
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


def next_tick_s(period_s: float) -> float:
    """Return the event loop's time when it is next a multiple of a period.

    Loops that look for work now and then wake together and not each for itself, which
    counts where many idle nodes share a machine.

    :param period_s: seconds between two ticks; the next one may come sooner.
    """
    now_s = asyncio.get_running_loop().time()
    return now_s + period_s - now_s % period_s


async def sleep_to_tick(period_s: float) -> None:
    """Sleep until the next tick.

    :param period_s: seconds between two ticks.
    """
    now_s = asyncio.get_running_loop().time()
    await asyncio.sleep(next_tick_s(period_s) - now_s)
