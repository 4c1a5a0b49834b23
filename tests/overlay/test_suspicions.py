"""Tests of suspicion in a whole fleet: live members must not be declared dead."""

import asyncio
import random

import testtools

from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import RecordStore
from burdockdock.overlay.failure_detector import FailureDetector
from burdockdock.overlay.spread import Spreader
from burdockdock.protocol import Message, decode, encode
from tests.virtual_time import LoopClock, run_virtually

_NODE_COUNT = 88
_ZONE_COUNT = 3
_NETWORK_LATENCY_S = 0.002


class _Network:
    """A simulated network that delays datagrams and loses some of them.

    ``offline`` nodes neither send nor receive; ``send_blocked`` nodes only receive.

    :param loss_rate: share of datagrams lost at random.
    """

    def __init__(self, *, loss_rate: float = 0.0) -> None:
        self.rng = random.Random(18)
        self.loss_rate = loss_rate
        self.offline: set[int] = set()
        self.send_blocked: set[int] = set()
        self.nodes = [_Node(index, self) for index in range(_NODE_COUNT)]

    def deliver(self, sender: int, address: tuple[str, int], data: bytes) -> None:
        """Deliver a datagram after the network latency unless it is lost."""
        if {sender, address[1]} & self.offline or self.rng.random() < self.loss_rate:
            return
        if sender in self.send_blocked:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            _NETWORK_LATENCY_S, self.nodes[address[1]].receive, data, ("h", sender)
        )

    def start(self) -> list[asyncio.Task[None]]:
        """Start the failure detector of every node."""
        return [asyncio.create_task(node.detector.run()) for node in self.nodes]


class _Node:
    """A failure detector and a spreader that know all members from the start."""

    def __init__(self, index: int, network: _Network) -> None:
        self._index = index
        self._network = network
        self._handlers: dict = {}
        self.declared_dead: set[str] = set()
        members = [_member(i) for i in range(_NODE_COUNT)]
        clock = LoopClock()
        membership = MembershipTable(members[index], clock=clock)
        for member in members:
            membership.merge(member)
        records = RecordStore()
        ranking = MemberRanking(membership)
        self.spreader = Spreader(
            membership=membership,
            ranking=ranking,
            records=records,
            datagrams=self,
            deltas={},
            fetch=lambda _: None,
        )
        self.detector = FailureDetector(
            membership=membership,
            records=records,
            datagrams=self,
            clock=clock,
            rng=random.Random(index),
            on_digest=lambda _: None,
            spread=self.spreader.broadcast_member,
        )
        membership.subscribe(self._record_death)
        self.membership = membership

    def on(self, kind: str, handler: object) -> None:
        """Register a handler."""
        self._handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Encode a message and pass it to the network."""
        data = encode(kind, mesh="m", **fields)
        self._network.deliver(self._index, address, data)

    def receive(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a message and pass it to its handler."""
        message: Message = decode(data)
        kind = message.which()
        self._handlers[kind](getattr(message, kind), address)

    def _record_death(self, member: Member, previous: Member | None) -> None:
        if member.state is MemberState.DEAD:
            self.declared_dead.add(member.node_id)


def _member(index: int) -> Member:
    return Member(
        f"n{index}", "h", index, "r", f"z{index % _ZONE_COUNT}", 1, ready=True
    )


class SuspicionTest(testtools.TestCase):
    """Tests with 88 nodes in three zones and the default timing."""

    def test_a_member_that_is_briefly_offline_is_not_declared_dead(self) -> None:
        async def check() -> None:
            network = _Network()
            tasks = network.start()
            await asyncio.sleep(3.0)
            network.offline = {7, 20, 41}
            await asyncio.sleep(2.5)
            network.offline = set()
            await asyncio.sleep(20.0)
            for task in tasks:
                task.cancel()
            self.assertEqual(0, sum(len(node.declared_dead) for node in network.nodes))

        run_virtually(check())

    def test_random_datagram_loss_gets_no_live_member_declared_dead(self) -> None:
        async def check() -> None:
            network = _Network(loss_rate=0.2)
            tasks = network.start()
            await asyncio.sleep(40.0)
            for task in tasks:
                task.cancel()
            self.assertEqual(0, sum(len(node.declared_dead) for node in network.nodes))

        run_virtually(check())

    def test_a_node_that_cannot_send_gets_no_other_member_declared_dead(
        self,
    ) -> None:
        async def check() -> None:
            network = _Network()
            tasks = network.start()
            await asyncio.sleep(3.0)
            network.send_blocked = {7}
            await asyncio.sleep(5.5)
            network.send_blocked = set()
            await asyncio.sleep(20.0)
            for task in tasks:
                task.cancel()
            dead_ids = set().union(*(node.declared_dead for node in network.nodes))
            self.assertEqual(set(), dead_ids - {"n7"})

        run_virtually(check())

    def test_a_failed_member_is_soon_declared_dead_by_all(self) -> None:
        async def check() -> None:
            network = _Network(loss_rate=0.05)
            tasks = network.start()
            await asyncio.sleep(3.0)
            network.offline = {7}
            tasks[7].cancel()
            await asyncio.sleep(12.0)
            for task in tasks:
                task.cancel()
            survivors = network.nodes[:7] + network.nodes[8:]
            self.assertEqual(
                [{"n7"}] * len(survivors), [n.declared_dead for n in survivors]
            )

        run_virtually(check())
