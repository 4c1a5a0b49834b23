"""Tests of odd entries that another writer left among the system's own objects.

The rest of a list must be used, and no node may stop following it.
"""

import asyncio
import random

import eliot
import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure
from burdockdock.node.roster import Roster
from burdockdock.platform.announcements import decode_heartbeat
from burdockdock.platform.objects import DIALECT
from burdockdock.platform.orders import ORDER_FORMAT
from burdockdock.platform_api import PlatformClient, PlatformObject
from burdockdock.standin.local_fleet import free_port
from tests import streams
from tests.support import FakePlatform, async_test

_HOST = "127.0.0.1"
_GOOD_ADDRESS = ["10.0.0.1", 7000]
_ODD_ADDRESSES = (
    ["10.0.0.9", 0],
    ["10.0.0.9", -1],
    ["10.0.0.9", 65_536],
    ["10.0.0.9", 10**400],
    ["10.0.0.9", 1e308],
    ["10.0.0.9", True],
    ["host.example", 7000],
    ["", 7000],
    [None, 7000],
    [_GOOD_ADDRESS, 7000],
    "10.0.0.9:7000",
)
_ODD_VALUES = (
    b"[" * 100_000 + b"]" * 100_000,
    b'{"addresses":' * 100_000 + b"1" + b"}" * 100_000,
    b"9" * 10_000,
    b"1e400",
    b"NaN",
    b'"a text"',
    b"null",
    b'{"addresses":[["10.0.0.9",65536],["10.0.0.9",-1]]}',
    b'{"addresses":{"10.0.0.9":7000}}',
)
_HEARTBEAT = (
    b'{"service":"a","address":"10.0.0.1:%s","zone":"z","version":"v1","slots":%s,'
    b'"state":"ready","seq":1}'
)


def _roster_list(odd: bytes) -> bytes:
    item = b'{"metadata":{"name":"%s","revision":%d},"spec":%s}'
    good = b'{"addresses":[["10.0.0.1",7000]]}'
    items = [item % (b"a", 1, odd), item % (b"b", 2, good)]
    return b'{"items":[%s],"has-more":false,"at":3}' % b",".join(items)


async def _addresses_in(body: bytes) -> object:
    """Return the addresses that a node reads from a list of the store."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body)

    port = free_port()
    await streams.start_server(serve, _HOST, port)
    client = PlatformClient(
        f"http://{_HOST}:{port}", name="n", clock=SystemClock(), dialect=DIALECT
    )
    own = Member("n0", "10.0.0.0", 7000, "r", "z", 1)
    return await Roster(client, own=own, rng=random.Random(1)).addresses()


class OddEntriesTest(testtools.TestCase):
    """Tests of odd entries of the roster, of heartbeats and of orders."""

    @async_test
    async def test_odd_entry_leaves_the_others_of_the_roster(self) -> None:
        for odd in _ODD_VALUES:
            found = await _addresses_in(_roster_list(odd))
            self.assertEqual([tuple(_GOOD_ADDRESS)], found, odd[:80])

    @async_test
    async def test_odd_entries_are_logged(self) -> None:
        events: list[str] = []

        def collect(event: dict) -> None:
            events.append(event.get("message_type", ""))

        eliot.add_destinations(collect)
        self.addCleanup(eliot.remove_destination, collect)
        # Eliot delivers events from before the first destination was added.
        events.clear()
        await _addresses_in(_roster_list(_ODD_VALUES[0]))
        self.assertEqual(1, events.count("platform.odd_values"))
        await _addresses_in(_roster_list(b'{"addresses":[["10.0.0.9",0]]}'))
        self.assertEqual(1, events.count("roster.odd_entries"))

    @async_test
    async def test_odd_addresses_are_not_used(self) -> None:
        platform = FakePlatform()
        value = {"addresses": [*_ODD_ADDRESSES, _GOOD_ADDRESS]}
        await platform.try_update("roster/z", expected_version=0, value=value)
        own = Member("n0", "10.0.0.0", 7000, "r", "z", 1)
        roster = Roster(platform, own=own, rng=random.Random(1))
        self.assertEqual([tuple(_GOOD_ADDRESS)], await roster.addresses())

    def test_odd_heartbeats_name_no_instance(self) -> None:
        for odd in (b"0", b"-1", b"65536", b"9" * 400, b"", b"http"):
            self.assertIsInstance(
                decode_heartbeat("i-1", _HEARTBEAT % (odd, b"4")), Failure, odd
            )
        for odd in (b"0", b"1e400", b"NaN", b"9" * 10_000, b"[" * 100_000):
            self.assertIsInstance(
                decode_heartbeat("i-1", _HEARTBEAT % (b"80", odd)), Failure, odd[:80]
            )

    def test_odd_orders_are_refused(self) -> None:
        nested: list = []
        for _ in range(900):
            nested = [nested]
        for version in (nested, {"a": 1}, 3, None, "", float("inf")):
            value = {"target-version": version, "duration": "10s"}
            order = ORDER_FORMAT.read(PlatformObject("orders/a", 1, value))
            self.assertIsInstance(order, Failure)
