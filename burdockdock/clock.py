"""Clock interface, its implementations, and periodic ticks."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time, passed to all time-dependent code."""

    def monotonic(self) -> float:
        """Return monotonic seconds, of which only differences are meaningful."""
        ...

    def now(self) -> datetime:
        """Return the wall-clock time with a time zone."""
        ...


class SystemClock:
    """Clock of this machine."""

    def monotonic(self) -> float:
        """Return the machine's monotonic time in seconds.

        Time during which the machine is suspended counts, so leases expire then too.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the machine's wall-clock time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Clock that only advances on request, for tests and replays.

    :param start: wall-clock time at which the monotonic time is 0.
    """

    def __init__(self, *, start: datetime | None = None) -> None:
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed_s = 0.0

    def monotonic(self) -> float:
        """Return the total seconds by which this clock was advanced."""
        return self._elapsed_s

    def now(self) -> datetime:
        """Return the start time plus the total seconds advanced."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, duration_s: float) -> None:
        """Move the clock forward.

        :param duration_s: seconds to add, not negative.
        :raises ValueError: if the duration is negative.
        """
        if duration_s < 0:
            raise ValueError("can't advance a clock by a negative duration")
        self._elapsed_s += duration_s


def next_tick_s(period_s: float) -> float:
    """Return the next event loop time that is a multiple of a period.

    Polling loops that use ticks wake up together rather than each at its own time. This
    matters where many idle nodes share a machine.

    :param period_s: seconds between two ticks; the next tick is at most this far away.
    :returns: event loop time in seconds.
    """
    now_s = asyncio.get_running_loop().time()
    return now_s + period_s - now_s % period_s


async def sleep_to_tick(period_s: float) -> None:
    """Sleep until the next tick.

    :param period_s: seconds between two ticks.
    """
    now_s = asyncio.get_running_loop().time()
    await asyncio.sleep(next_tick_s(period_s) - now_s)
