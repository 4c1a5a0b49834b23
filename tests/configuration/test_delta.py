"""Tests of deltas between versions."""

import testtools
from hypothesis import given

from burdockdock.configuration.delta import (
    ConfigDocument,
    apply_delta,
    changed_sections,
    encode_delta,
)
from burdockdock.configuration.ini import configuration_digest
from burdockdock.configuration.model import Sections
from tests.configuration.configurations import SECTIONS


class DeltaTest(testtools.TestCase):
    """Tests of deltas between versions."""

    @given(SECTIONS, SECTIONS, SECTIONS)
    def test_delta_yields_the_new_version_or_none(
        self, old: Sections, new: Sections, other: Sections
    ) -> None:
        first, second = ConfigDocument(1, old), ConfigDocument(2, new, "a", "b")
        data = encode_delta(first, second, digest=configuration_digest(new))
        self.assertEqual(
            second, apply_delta(first, data, digest=configuration_digest(old))
        )
        applied = apply_delta(
            ConfigDocument(1, other), data, digest=configuration_digest(other)
        )
        self.assertIn(applied, (None, second))

    def test_shared_sections_are_not_compared(self) -> None:
        shared = _UncomparableSection(path="/a")
        old = {"route a": shared, "route b": {"path": "/b"}, "route c": {}}
        new = {"route a": shared, "route b": {"path": "/x"}, "route d": {}}
        expected = {"route b": {"path": "/x"}, "route d": {}}
        self.assertEqual(expected, changed_sections(old, new))


class _UncomparableSection(dict):
    """A section that fails the test when it is compared."""

    __hash__ = None

    def __eq__(self, other: object) -> bool:
        raise AssertionError("compared")

    __ne__ = __eq__
