"""Tests of the system's clock."""

import asyncio
import time
from unittest import mock

import testtools

from burdockdock.clock import SystemClock, next_tick_s, sleep_to_tick


class SystemClockTest(testtools.TestCase):
    """Tests of time during which a machine is suspended."""

    def test_suspended_time_counts(self) -> None:
        clock = SystemClock()
        started_s = clock.monotonic()
        real = time.clock_gettime

        def after_a_suspend(number: int) -> float:
            # Only this clock of the machine goes on while it is suspended.
            slept_s = 30.0 if number == time.CLOCK_BOOTTIME else 0.0
            return real(number) + slept_s

        with mock.patch("time.clock_gettime", after_a_suspend):
            self.assertGreaterEqual(clock.monotonic() - started_s, 30.0)


class TickTest(testtools.TestCase):
    """Tests of loops that wake together."""

    def test_loops_that_began_apart_wake_at_the_same_tick(self) -> None:
        for began_s in (8.0, 8.1, 8.24):
            with mock.patch("asyncio.get_running_loop") as loop:
                loop.return_value.time.return_value = began_s
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
