"""Tests of the system's clock."""

import time
from unittest import mock

import testtools

from burdockdock.clock import SystemClock


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
