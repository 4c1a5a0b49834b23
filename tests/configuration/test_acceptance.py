"""Tests of acceptance under faults and with concurrent changes."""

import itertools

import testtools

from burdockdock.clock import ManualClock
from burdockdock.configuration.acceptance import (
    HEAD_KEY,
    Accepted,
    Rejected,
    Undecided,
    accept,
    find_outcome,
    read_document,
    read_head,
)
from burdockdock.configuration.ini import read_sections
from tests.configuration.configurations import VALID_CONFIG
from tests.support import FakePlatform, async_test


class AcceptanceTest(testtools.TestCase):
    """Tests of acceptance with each fault at each write, and of concurrent changes."""

    async def _accept(
        self, platform: FakePlatform, author: str, **options: object
    ) -> Accepted | Rejected | Undecided:
        head = await read_head(platform)
        return await accept(
            platform,
            read_sections(VALID_CONFIG),
            base=options.pop("base", head),
            author=author,
            reason="test",
            clock=ManualClock(),
            **options,
        )

    @async_test
    async def test_reported_outcome_matches_the_stored_head(self) -> None:
        faults = ("lost_before", "lost_after", "both")
        for number, fault in itertools.product((1, 2, 3), faults):
            write_faults = {number: fault}
            if fault == "both":
                write_faults = {number: "lost_after", number + 1: "lost_before"}
            platform = FakePlatform(write_faults)
            result = await self._accept(platform, "one", token="mine")
            head = await read_head(platform)
            accepted = head.find_entry("mine") is not None
            if isinstance(result, Accepted):
                self.assertTrue(accepted, write_faults)
                document = await read_document(platform, head)
                self.assertEqual(read_sections(VALID_CONFIG), document.sections)
            elif isinstance(result, Rejected):
                self.assertFalse(accepted, write_faults)
            else:
                later = await find_outcome(platform, "mine", base_version=0)
                self.assertEqual(accepted, isinstance(later, Accepted), write_faults)

    @async_test
    async def test_first_of_two_concurrent_changes_wins_and_is_reported(self) -> None:
        platform = FakePlatform()
        base = await read_head(platform)
        first = await self._accept(platform, "first", base=base)
        second = await self._accept(platform, "second", base=base)
        self.assertEqual(Accepted(1), first)
        self.assertIsInstance(second, Rejected)
        self.assertEqual(("first", 1), (second.winner.author, second.winner.version))

    @async_test
    async def test_invalid_configuration_writes_nothing(self) -> None:
        platform = FakePlatform()
        head = await read_head(platform)
        result = await accept(
            platform,
            {"route x": {"path": "/", "service": "none"}},
            base=head,
            author="a",
            reason="b",
            clock=ManualClock(),
        )
        self.assertIsInstance(result, Rejected)
        self.assertEqual({}, platform.objects)

    @async_test
    async def test_change_after_a_return_is_newer_than_what_the_platform_lost(
        self,
    ) -> None:
        # Guards against versions that every node takes for old ones.
        platform = FakePlatform()
        platform.era.accept("0")
        await self._accept(platform, "one")
        copy = dict(platform.objects)
        lost = [await self._accept(platform, "two") for _ in range(3)]
        platform.objects = copy
        platform.era.accept("1")
        first = await self._accept(platform, "three")
        second = await self._accept(platform, "four")
        self.assertEqual([2, 3, 4], [result.version for result in lost])
        self.assertGreater(first.version, lost[-1].version)
        self.assertEqual(first.version + 1, second.version)

    @async_test
    async def test_change_after_the_first_configuration_was_lost(self) -> None:
        # Guards against a second version 1, which no running node would apply.
        platform = FakePlatform()
        platform.era.accept("0")
        lost = await self._accept(platform, "one")
        platform.objects = {}
        platform.era.accept("1")
        again = await self._accept(platform, "two")
        self.assertGreater(again.version, lost.version)
        following = await self._accept(platform, "three")
        self.assertEqual(again.version + 1, following.version)

    @async_test
    async def test_change_over_a_head_that_states_no_era(self) -> None:
        # Guards against numbers given out twice, by heads of releases without eras.
        platform = FakePlatform()
        await self._accept(platform, "one")
        head = platform.objects[HEAD_KEY]
        del head.value["era"]
        platform.era.accept("1")
        result = await self._accept(platform, "two")
        self.assertGreater(result.version, 1 << 32)
