"""Tests of what the failure detector sends besides its probes."""

import asyncio
import random

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.overlay.failure_detector import FailureDetector, PeerDigest
from tests.support import async_test, eventually

_NODES = 6


class _Network:
    """Datagrams between detectors, of which those along trees never arrive."""

    def __init__(self) -> None:
        self.nodes = [_FakeNode(i, self) for i in range(_NODES)]
        self.sent: list[int] = []


class _FakeNode:
    """A detector, and the records that it tells of."""

    def __init__(self, index: int, network: _Network) -> None:
        self.index = index
        self.network = network
        self.handlers: dict = {}
        self.digests: list[PeerDigest] = []
        members = [Member(str(i), "h", i, "r", "z", 1) for i in range(_NODES)]
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
        self.records.subscribe(lambda _: self.detector.tell_news())

    def on(self, kind: str, handler: object) -> None:
        """Keep a handler, as datagrams do."""
        self.handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Note where a datagram goes."""
        if kind == "ping":
            self.network.sent.append(address[1])


class NewsTest(testtools.TestCase):
    """Tests of telling members that the trees missed."""

    @async_test
    async def test_a_new_record_is_shown_to_a_few_members_soon(self) -> None:
        network = _Network()
        network.nodes[0].records.put(Record("config", 7, b""))
        await eventually(lambda: network.sent)
        self.assertEqual(2, len(set(network.sent) - {0}))

    @async_test
    async def test_many_new_records_are_shown_together(self) -> None:
        network = _Network()
        for version in range(1, 100):
            network.nodes[0].records.put(Record("config", version, b""))
        await eventually(lambda: network.sent)
        await asyncio.sleep(0)
        self.assertEqual(2, len(network.sent))
