"""Tests of reading what others wrote into the platform."""

import testtools

from burdockdock.configuration.source import OWN_SOURCE
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.node.relay import PlatformReader
from burdockdock.platform.orders import ORDER_FORMAT
from burdockdock.platform_api import PlatformObject
from tests.support import FakePlatform, async_test

_ORDER = {"service": "desk", "target-version": "v2", "duration": "16s"}


class PlatformReaderTest(testtools.TestCase):
    """Tests of entries that are none, between others that are."""

    @async_test
    async def test_what_cannot_be_read_harms_nothing_else(self) -> None:
        records = RecordStore()
        reader = PlatformReader(
            FakePlatform(),
            source=OWN_SOURCE,
            orders=ORDER_FORMAT.read,
            records=records,
            spread=lambda record: self._spread(records, record),
        )
        odd_rollouts = [{}, {"phase": "dancing"}, {"phase": 3, "history": 5}]
        odd_orders = [{}, {**_ORDER, "duration": "infs"}, {"target-version": 5}]
        objects = [
            PlatformObject(f"rollouts/odd{i}", 5, value)
            for i, value in enumerate(odd_rollouts)
        ]
        objects += [
            PlatformObject(f"orders/odd{i}", 5, value)
            for i, value in enumerate(odd_orders)
        ]
        objects.append(PlatformObject("orders/desk", 6, _ORDER))
        self.assertTrue(await reader.take_in(objects))
        self.assertEqual({"orders/desk": 6}, dict(records.versions()))

    def _spread(self, records: RecordStore, record: Record) -> None:
        records.put(record)
