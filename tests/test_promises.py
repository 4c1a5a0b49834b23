"""Checks that docs/PROMISES.md names tests that exist."""

import re
from pathlib import Path

import testtools

from tests.proxy.fault_matrix import FAULTS

_ROOT = Path(__file__).parent.parent


class PromisesTest(testtools.TestCase):
    """Tests of the test names on the page."""

    def test_every_named_test_exists(self) -> None:
        page = (_ROOT / "docs" / "PROMISES.md").read_text()
        named = set(re.findall(r"`(test_\w+)`", page))
        existing = {f"test_{fault.replace(' ', '_')}" for fault in FAULTS}
        for path in (_ROOT / "tests").rglob("test_*.py"):
            existing |= set(re.findall(r"def (test_\w+)", path.read_text()))
        self.assertEqual(set(), named - existing)
        self.assertGreaterEqual(len(named), 10)
