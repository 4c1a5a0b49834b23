"""Tests of which version takes the calls while no rollout says it."""

import testtools

from burdockdock.coordination.membership import Member
from burdockdock.rollout.incumbent import incumbent_weights


def _members(**counts: int) -> list[Member]:
    return [
        Member(f"{version}-{i}", "h", 1, "r", "z", 1, slots=9, service_version=version)
        for version, count in counts.items()
        for i in range(count)
    ]


class IncumbentTest(testtools.TestCase):
    """Tests of versions that start beside others."""

    def test_one_version_needs_no_weights(self) -> None:
        self.assertEqual({}, incumbent_weights(_members(v1=10)))
        self.assertEqual({}, incumbent_weights([]))

    def test_a_version_that_just_started_waits(self) -> None:
        self.assertEqual({"v1": 1.0}, incumbent_weights(_members(v1=10, v2=1)))

    def test_an_ordered_version_waits_however_many_it_has(self) -> None:
        members = _members(v1=3, v2=10)
        found = incumbent_weights(members, ordered_version="v2")
        self.assertEqual({"v1": 1.0}, found)
