"""Tests of the platform's values, and of those that are none."""

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.platform.orders import ORDER_FORMAT
from burdockdock.platform.values import parse_duration_ms
from burdockdock.platform_api import PlatformObject


class ValuesTest(testtools.TestCase):
    """Tests of times with units."""

    def test_times(self) -> None:
        for text, expected_ms in (
            ("1500ms", 1500),
            ("2.5s", 2500),
            ("0ms", 0),
            ("0.25s", 250),
        ):
            self.assertEqual(expected_ms, parse_duration_ms(text))

    def test_what_is_no_time_is_a_value_error(self) -> None:
        for odd in (
            "",
            "s",
            "ms",
            "infs",
            "nanms",
            "1e400s",
            "-1s",
            "9" * 400,
            5,
            None,
        ):
            self.assertRaises(ValueError, parse_duration_ms, odd)

    def test_an_order_with_an_odd_time_is_refused_and_harms_no_other(self) -> None:
        for odd in ("infs", "nanms", "1e400s", "-3s", "soon", 5, None):
            spec = {"service": "desk", "target-version": "v2", "duration": odd}
            found = ORDER_FORMAT.read(PlatformObject("orders/desk", 3, spec))
            self.assertIsInstance(found, Failure, odd)
