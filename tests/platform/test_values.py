"""Tests of parsing the platform's values, valid and invalid ones."""

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.platform.orders import ORDER_FORMAT
from burdockdock.platform.values import clamp_number, parse_duration_ms, parse_version
from burdockdock.platform_api import PlatformObject


class ValuesTest(testtools.TestCase):
    """Tests of durations with units."""

    def test_valid_durations(self) -> None:
        for text, expected_ms in (
            ("1500ms", 1500),
            ("2.5s", 2500),
            ("0ms", 0),
            ("0.25s", 250),
            ("0.0000000000001s", 0),
            ("9" * 400 + "s", 1 << 40),
        ):
            self.assertEqual(expected_ms, parse_duration_ms(text))

    def test_invalid_durations_raise_value_error(self) -> None:
        for invalid in (
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
            self.assertRaises(ValueError, parse_duration_ms, invalid)

    def test_versions_fit_into_64_bits(self) -> None:
        self.assertEqual(
            (0, 10**18 - 1), (parse_version("r0"), parse_version("r" + "9" * 18))
        )
        for invalid in ("r", "r-1", "r 1", "r1_0", "r1.5", "12", "r" + "9" * 19, 12):
            self.assertRaises(ValueError, parse_version, invalid)

    def test_numbers_are_clamped(self) -> None:
        for value, expected in (
            (5, 5),
            (10**400, 10),
            (float("inf"), 10),
            (-1, 0),
            ("2.5", 2.5),
        ):
            self.assertEqual(expected, clamp_number(value, 0, 10))
        for invalid in (float("nan"), "nan", "secret", None, [1], {}):
            error = self.assertRaises(ValueError, clamp_number, invalid, 0, 10)
            self.assertNotIn("secret", str(error))

    def test_order_with_an_invalid_duration_is_refused(self) -> None:
        # Any error that the decoder does not catch would affect other orders too.
        for invalid in ("infs", "nanms", "1e400s", "-3s", "soon", 5, None):
            spec = {"service": "desk", "target-version": "v2", "duration": invalid}
            result = ORDER_FORMAT.read(PlatformObject("orders/desk", 3, spec))
            self.assertIsInstance(result, Failure, invalid)
