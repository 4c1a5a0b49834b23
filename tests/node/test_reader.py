"""Tests of reading rollouts and orders that others wrote to the platform."""

import testtools

from burdockdock.configuration.source import OWN_SOURCE
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.node.platform_reader import PlatformReader
from burdockdock.platform.orders import ORDER_FORMAT
from burdockdock.platform_api import PlatformObject
from tests.support import FakePlatform, async_test

_ORDER = {"service": "desk", "target-version": "v2", "duration": "16s"}


class PlatformReaderTest(testtools.TestCase):
    """Tests of malformed entries among valid ones."""

    @async_test
    async def test_malformed_entries_do_not_affect_others(self) -> None:
        records = RecordStore()
        reader = PlatformReader(
            FakePlatform(),
            source=OWN_SOURCE,
            read_order=ORDER_FORMAT.read,
            records=records,
            spread=lambda record: self._store(records, record),
        )
        malformed_rollouts = [{}, {"phase": "dancing"}, {"phase": 3, "history": 5}]
        malformed_orders = [{}, {**_ORDER, "duration": "infs"}, {"target-version": 5}]
        objects = [
            PlatformObject(f"rollouts/odd{i}", 5, value)
            for i, value in enumerate(malformed_rollouts)
        ]
        objects += [
            PlatformObject(f"orders/odd{i}", 5, value)
            for i, value in enumerate(malformed_orders)
        ]
        objects.append(PlatformObject("orders/desk", 6, _ORDER))
        self.assertTrue(await reader.ingest(objects))
        self.assertEqual({"orders/desk": 6}, dict(records.versions()))

    def _store(self, records: RecordStore, record: Record) -> None:
        records.put(record)
