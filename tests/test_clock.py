"""Tests of the system clock and of ticks."""

import asyncio
import time
from unittest import mock

import testtools

from burdockdock.clock import SystemClock, next_tick_s, sleep_to_tick


class SystemClockTest(testtools.TestCase):
    """Tests of the system clock while the machine is suspended."""

    def test_suspended_time_counts(self) -> None:
        clock = SystemClock()
        started_s = clock.monotonic()
        real_clock_gettime = time.clock_gettime

        def clock_gettime_after_suspend(clock_id: int) -> float:
            # Of the machine's clocks, only CLOCK_BOOTTIME advances while suspended.
            suspended_s = 30.0 if clock_id == time.CLOCK_BOOTTIME else 0.0
            return real_clock_gettime(clock_id) + suspended_s

        with mock.patch("time.clock_gettime", clock_gettime_after_suspend):
            self.assertGreaterEqual(clock.monotonic() - started_s, 30.0)


class TickTest(testtools.TestCase):
    """Tests of polling loops that wake up together."""

    def test_loops_started_at_different_times_wake_at_the_same_tick(self) -> None:
        for started_at_s in (8.0, 8.1, 8.24):
            with mock.patch("asyncio.get_running_loop") as loop:
                loop.return_value.time.return_value = started_at_s
                self.assertAlmostEqual(8.25, next_tick_s(0.25))

    def test_sleep_ends_at_the_tick(self) -> None:
        sleep = mock.AsyncMock()
        with (
            mock.patch("asyncio.get_running_loop") as loop,
            mock.patch("asyncio.sleep", sleep),
        ):
            loop.return_value.time.return_value = 8.125
            asyncio.run(sleep_to_tick(0.5))
        sleep.assert_awaited_once_with(0.375)
