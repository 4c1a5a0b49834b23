"""Tests of the stand-in's objects and their return from an older copy."""

import testtools

from burdockdock.standin.object_table import ObjectTable
from tests.support import async_test


class ObjectTableTest(testtools.TestCase):
    """Tests of the objects after a return."""

    def setUp(self) -> None:
        super().setUp()
        self._now_s = 100.0
        self.table = ObjectTable(monotonic=lambda: self._now_s)

    async def _put(self, key: str, value: int) -> None:
        self._now_s += 1.0
        await self.table.put(key, None, value)

    def _values(self) -> dict[str, int]:
        return {key: item["value"] for key, item in self.table.objects.items()}

    @async_test
    async def test_changes_after_the_copy_are_undone(self) -> None:
        await self._put("a", 1)
        await self._put("b", 1)
        await self._put("a", 2)
        await self.table.delete("b")
        await self._put("a", 3)
        await self._put("c", 1)
        lost = await self.table.return_from_copy(2.5)
        self.assertEqual(4, lost)
        self.assertEqual({"a": 1, "b": 1}, self._values())
        self.assertEqual((2, 1), (self.table.revision, self.table.era))

    @async_test
    async def test_revisions_are_given_out_again(self) -> None:
        await self._put("a", 1)
        await self._put("a", 2)
        await self.table.return_from_copy(0.5)
        await self._put("a", 3)
        self.assertEqual(2, self.table.version("a"))

    @async_test
    async def test_deletion_is_told_until_the_object_is_there_again(self) -> None:
        await self._put("a", 1)
        await self.table.delete("a")
        self.assertEqual([{"key": "a", "version": 0}], self.table.changes("a", 1))
        self.assertEqual([], self.table.changes("a", 2))
        self.assertEqual([], self.table.after("a", 0))
        await self._put("a", 2)
        self.assertEqual([3], [item["version"] for item in self.table.changes("a", 1)])

    @async_test
    async def test_deletion_that_is_undone(self) -> None:
        await self._put("a", 1)
        await self._put("b", 1)
        self._now_s += 1.0
        await self.table.delete("a")
        await self.table.return_from_copy(0.5)
        self.assertEqual({1, 2}, {i["version"] for i in self.table.changes("", 0)})

    @async_test
    async def test_two_returns(self) -> None:
        await self._put("a", 1)
        await self._put("a", 2)
        await self.table.return_from_copy(0.5)
        await self._put("b", 1)
        await self.table.return_from_copy(1.5)
        self.assertEqual({"a": 1}, self._values())
        self.assertEqual(2, self.table.era)

    @async_test
    async def test_age_out_of_range(self) -> None:
        for age_s in (-1.0, 61.0, float("nan")):
            with testtools.ExpectedException(ValueError):
                await self.table.return_from_copy(age_s)
        self.assertEqual(0, self.table.era)
