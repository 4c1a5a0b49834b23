"""Tests of the era that the store's responses state."""

import testtools

from burdockdock.platform_api.era import StoreEra, era_of, ordered_version


class StoreEraTest(testtools.TestCase):
    """Tests of which responses are used, and which tell of a return."""

    def setUp(self) -> None:
        super().setUp()
        self.counted: list[str] = []
        self.returns: list[int] = []
        self.era = StoreEra(count=self.counted.append)
        self.era.subscribe(self.returns.append)

    def test_first_era_is_no_return(self) -> None:
        for first in ("0", "7"):
            era = StoreEra(count=self.counted.append)
            era.subscribe(self.returns.append)
            self.assertTrue(era.accept(first))
            self.assertTrue(era.accept(first))
        self.assertEqual(([], []), (self.returns, self.counted))

    def test_higher_era_is_a_return(self) -> None:
        for header in ("0", "1", "1", "3"):
            self.assertTrue(self.era.accept(header))
        self.assertEqual([1, 3], self.returns)

    def test_response_of_an_era_that_is_over_is_not_used(self) -> None:
        self.era.accept("4")
        self.assertFalse(self.era.accept("3"))
        self.assertEqual(["platform_answers_of_earlier_eras"], self.counted)
        self.assertEqual(4, self.era.newest)

    def test_missing_or_unreadable_era_changes_nothing(self) -> None:
        self.era.accept("4")
        self.assertTrue(self.era.accept(None))
        for header in ("", "x", "-1", "1e400", "9" * 5000, "5.0", "²"):
            self.assertTrue(self.era.accept(header), header)
        self.assertEqual((4, []), (self.era.newest, self.returns))
        self.assertEqual({"platform_eras_unreadable"}, set(self.counted))

    def test_versions_are_ordered_by_era_first(self) -> None:
        versions = [ordered_version(1, 900), ordered_version(2, 3)]
        self.assertEqual(sorted(versions), versions)
        self.assertEqual([1, 2], [era_of(v) for v in versions])
        self.assertEqual((900, 0), (ordered_version(0, 900), ordered_version(2, 0)))
