"""Tests of the traffic weights before any rollout."""

import testtools

from burdockdock.rollout.default_weights import default_weights


def _slots(**members: int) -> dict[str, int]:
    return {version: count * 9 for version, count in members.items()}


class DefaultWeightsTest(testtools.TestCase):
    """Tests of versions that start beside others."""

    def test_one_version_needs_no_weights(self) -> None:
        self.assertEqual({}, default_weights(_slots(v1=10)))
        self.assertEqual({}, default_weights({}))

    def test_a_version_that_just_started_waits(self) -> None:
        self.assertEqual({"v1": 1.0}, default_weights(_slots(v1=10, v2=1)))

    def test_an_ordered_version_waits_even_with_most_slots(self) -> None:
        slots = _slots(v1=3, v2=10)
        found = default_weights(slots, ordered_version="v2")
        self.assertEqual({"v1": 1.0}, found)
