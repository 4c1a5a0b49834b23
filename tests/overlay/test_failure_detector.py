"""Tests of the digest pings that the failure detector sends after a new record."""

import asyncio
import random

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.overlay.failure_detector import FailureDetector
from burdockdock.overlay.pings import PeerDigest
from tests.support import async_test, eventually

_NODE_COUNT = 6


class _Network:
    """A network that records the targets of pings and delivers nothing."""

    def __init__(self) -> None:
        self.nodes = [_FakeNode(i, self) for i in range(_NODE_COUNT)]
        self.ping_targets: list[int] = []


class _FakeNode:
    """A failure detector with its record store, and the datagrams that it uses."""

    def __init__(self, index: int, network: _Network) -> None:
        self.index = index
        self.network = network
        self.handlers: dict = {}
        self.digests: list[PeerDigest] = []
        members = [Member(str(i), "h", i, "r", "z", 1) for i in range(_NODE_COUNT)]
        membership = MembershipTable(members[index], clock=SystemClock())
        for member in members:
            membership.merge(member)
        self.records = RecordStore()
        self.detector = FailureDetector(
            membership=membership,
            records=self.records,
            datagrams=self,
            clock=SystemClock(),
            rng=random.Random(index),
            on_digest=self.digests.append,
            spread=lambda _: None,
        )
        self.records.subscribe(lambda _: self.detector.schedule_digest_pings())

    def on(self, kind: str, handler: object) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Record the target port of a ping."""
        if kind == "ping":
            self.network.ping_targets.append(address[1])


class DigestPingTest(testtools.TestCase):
    """Tests of advertising new records to members that the broadcast trees missed."""

    @async_test
    async def test_a_new_record_is_advertised_to_two_members(self) -> None:
        network = _Network()
        network.nodes[0].records.put(Record("config", 7, b""))
        await eventually(lambda: network.ping_targets)
        self.assertEqual(2, len(set(network.ping_targets) - {0}))

    @async_test
    async def test_many_new_records_share_the_same_pings(self) -> None:
        network = _Network()
        for version in range(1, 100):
            network.nodes[0].records.put(Record("config", version, b""))
        await eventually(lambda: network.ping_targets)
        await asyncio.sleep(0)
        self.assertEqual(2, len(network.ping_targets))
