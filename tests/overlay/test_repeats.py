"""Tests of which members a node repeats a record to, and against which version."""

import asyncio
import random
from collections import Counter

import testtools

from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.overlay.pings import PeerDigest
from burdockdock.overlay.repeats import RecordRepeater
from tests.virtual_time import LoopClock, run_virtually

_KEY = "config"
_ZONES = 2


def _members(count: int) -> list[Member]:
    return [Member(f"n{i}", "h", i, "r", f"z{i % _ZONES}", 1) for i in range(count)]


class _Sent:
    """Records what one node repeats."""

    def __init__(self, members: list[Member], own: int) -> None:
        clock = LoopClock()
        membership = MembershipTable(members[own], clock=clock)
        for member in members:
            membership.merge(member)
        self.records = RecordStore(clock=clock)
        self.sent: list[tuple[int, int, list[str]]] = []
        self.repeater = RecordRepeater(
            membership=membership,
            ranking=MemberRanking(membership),
            records=self.records,
            clock=clock,
            rng=random.Random(1),
            send=self._send,
            head_key=_KEY,
        )
        self.records.subscribe(self.repeater.schedule)

    def put(self, version: int) -> None:
        """Store a version."""
        self.records.put(Record(_KEY, version, b""))

    def _send(self, record: Record, base: int, targets: list[Member]) -> None:
        ids = [m.node_id for m in targets]
        self.sent.append((record.version, base, ids))


def _digest(node_id: str, head_version: int) -> PeerDigest:
    return PeerDigest(node_id, 0, 0, 0, ("h", 0), head_version)


class RecordRepeaterTest(testtools.TestCase):
    """Tests of one node's repeats."""

    def test_each_member_is_sent_a_record_by_three_others_of_its_zone(self) -> None:
        members = _members(14)
        senders: Counter[str] = Counter()

        async def run() -> None:
            nodes = [_Sent(members, i) for i in range(len(members))]
            for node in nodes:
                node.put(1)
            await asyncio.sleep(1)
            for i, node in enumerate(nodes):
                ((_, _, ids),) = node.sent
                self.assertNotIn(f"n{i}", ids)
                self.assertEqual({i % _ZONES}, {int(n[1:]) % _ZONES for n in ids})
                senders.update(ids)

        run_virtually(run())
        self.assertEqual({m.node_id: 3 for m in members}, dict(senders))

    def test_small_zone_is_not_sent_a_record_twice(self) -> None:
        async def run() -> None:
            node = _Sent(_members(4), 0)
            node.put(1)
            await asyncio.sleep(1)
            self.assertEqual([(1, 0, ["n2"])], node.sent)

        run_virtually(run())

    def test_repeat_replaces_what_was_newest_two_seconds_ago(self) -> None:
        async def run() -> None:
            node = _Sent(_members(4), 0)
            for version in (1, 2):
                node.put(version)
                await asyncio.sleep(3)
            for version in (3, 4, 5):
                node.put(version)
                await asyncio.sleep(0.5)
            self.assertEqual((5, 2, ["n2"]), node.sent[-1])

        run_virtually(run())

    def test_peer_that_is_behind_is_sent_what_it_lacks(self) -> None:
        async def run() -> None:
            node = _Sent(_members(4), 0)
            node.put(5)
            await asyncio.sleep(1)
            node.sent.clear()
            for _ in range(3):
                node.repeater.answer(_digest("n1", 3))
            node.repeater.answer(_digest("n2", 5))
            node.repeater.answer(_digest("n3", 0))
            self.assertEqual([(5, 3, ["n1"])], node.sent)
            await asyncio.sleep(1)
            node.repeater.answer(_digest("n1", 3))
            self.assertEqual(2, len(node.sent))

        run_virtually(run())
