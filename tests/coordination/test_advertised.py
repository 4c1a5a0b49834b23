"""Tests of what a node knows of versions that it lacks."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.advertised import AdvertisedVersions
from burdockdock.coordination.records import Record, RecordStore


class AdvertisedVersionsTest(testtools.TestCase):
    """Tests of the time since when a version is missing."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.versions = AdvertisedVersions(clock=self.clock)

    def test_lag_counts_from_the_oldest_version_that_is_missing(self) -> None:
        for version in (13, 16, 20):
            self.versions.note(version)
            self.clock.advance(1)
        missing = self.versions.missing(10)
        self.assertEqual((20, 0.0, 2.0), missing)
        self.versions.arrived(13)
        self.assertEqual((20, 1.0, 2.0), self.versions.missing(13))
        self.assertIsNone(self.versions.missing(20))

    def test_repeated_advertisement_keeps_its_first_time(self) -> None:
        self.versions.note(13)
        self.clock.advance(2)
        self.versions.note(13)
        missing = self.versions.missing(10)
        self.assertEqual((13, 0.0, 2.0), missing)
        self.assertTrue(missing.is_confirmed(self.clock.monotonic() + 4))
        self.assertFalse(missing.is_confirmed(self.clock.monotonic() + 6))

    def test_advertisement_that_nobody_repeats_gives_way_to_a_lower_one(self) -> None:
        self.versions.note(2**63)
        self.versions.note(13)
        self.assertEqual(2**63, self.versions.newest)
        self.clock.advance(6)
        self.versions.note(13)
        self.assertEqual(13, self.versions.newest)

    def test_many_pending_versions_use_bounded_memory(self) -> None:
        for version in range(1, 1000):
            self.versions.note(version)
        self.assertLessEqual(len(self.versions._told_s), 33)
        self.assertEqual((999, 0.0, 0.0), self.versions.missing(0))

    def test_store_knows_nothing_missing_once_a_record_arrived(self) -> None:
        records = RecordStore(clock=self.clock)
        records.note_advertised("config", 13)
        self.assertEqual(13, records.missing_version("config"))
        records.put(Record("config", 13, b""))
        self.assertIsNone(records.missing("config"))
