"""A fleet's belief about members that live but were not heard for a moment."""

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

_NODES = 88
_ZONES = 3
_DELAY_S = 0.002


class _Network:
    """Datagrams between nodes, of which some are lost.

    :param loss_share: share of datagrams lost at random.
    """

    def __init__(self, *, loss_share: float = 0.0) -> None:
        self.rng = random.Random(18)
        self.loss_share = loss_share
        self.silent: set[int] = set()
        self.choked: set[int] = set()
        self.nodes = [_Node(index, self) for index in range(_NODES)]

    def deliver(self, sender: int, address: tuple[str, int], data: bytes) -> None:
        """Carry a datagram unless it is lost."""
        if {sender, address[1]} & self.silent or self.rng.random() < self.loss_share:
            return
        if sender in self.choked:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_DELAY_S, self.nodes[address[1]].receive, data, ("h", sender))

    def start(self) -> list[asyncio.Task[None]]:
        """Let every node probe."""
        return [asyncio.create_task(node.detector.run()) for node in self.nodes]


class _Node:
    """A detector and a spreader, which know all members from the start."""

    def __init__(self, index: int, network: _Network) -> None:
        self._index = index
        self._network = network
        self._handlers: dict = {}
        self.ever_dead: set[str] = set()
        members = [_member(i) for i in range(_NODES)]
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
            pull=lambda _: None,
        )
        self.detector = FailureDetector(
            membership=membership,
            records=records,
            datagrams=self,
            clock=clock,
            rng=random.Random(index),
            on_digest=lambda _: None,
            spread=self.spreader.start_member,
        )
        membership.subscribe(self._note)
        self.membership = membership

    def on(self, kind: str, handler: object) -> None:
        """Keep a handler, as datagrams do."""
        self._handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Send a message, as datagrams do."""
        data = encode(kind, mesh="m", **fields)
        self._network.deliver(self._index, address, data)

    def receive(self, data: bytes, address: tuple[str, int]) -> None:
        """Hand a message to its handler."""
        message: Message = decode(data)
        kind = message.which()
        self._handlers[kind](getattr(message, kind), address)

    def _note(self, member: Member, known: Member | None) -> None:
        if member.state is MemberState.DEAD:
            self.ever_dead.add(member.node_id)


def _member(index: int) -> Member:
    return Member(f"n{index}", "h", index, "r", f"z{index % _ZONES}", 1, ready=True)


class SuspicionTest(testtools.TestCase):
    """Tests with the nodes and times of a whole fleet."""

    def test_a_member_unheard_for_a_moment_is_taken_for_dead_by_nobody(self) -> None:
        async def check() -> None:
            network = _Network()
            tasks = network.start()
            await asyncio.sleep(3.0)
            network.silent = {7, 20, 41}
            await asyncio.sleep(2.5)
            network.silent = set()
            await asyncio.sleep(20.0)
            for task in tasks:
                task.cancel()
            self.assertEqual(0, sum(len(node.ever_dead) for node in network.nodes))

        run_virtually(check())

    def test_lost_datagrams_make_nobody_take_a_live_member_for_dead(self) -> None:
        async def check() -> None:
            network = _Network(loss_share=0.2)
            tasks = network.start()
            await asyncio.sleep(40.0)
            for task in tasks:
                task.cancel()
            self.assertEqual(0, sum(len(node.ever_dead) for node in network.nodes))

        run_virtually(check())

    def test_a_node_whose_own_link_is_full_makes_nobody_take_others_for_dead(
        self,
    ) -> None:
        async def check() -> None:
            network = _Network()
            tasks = network.start()
            await asyncio.sleep(3.0)
            network.choked = {7}
            await asyncio.sleep(5.5)
            network.choked = set()
            await asyncio.sleep(20.0)
            for task in tasks:
                task.cancel()
            others = set().union(*(node.ever_dead for node in network.nodes))
            self.assertEqual(set(), others - {"n7"})

        run_virtually(check())

    def test_a_member_that_is_gone_is_soon_taken_for_dead_by_all(self) -> None:
        async def check() -> None:
            network = _Network(loss_share=0.05)
            tasks = network.start()
            await asyncio.sleep(3.0)
            network.silent = {7}
            tasks[7].cancel()
            await asyncio.sleep(12.0)
            for task in tasks:
                task.cancel()
            others = network.nodes[:7] + network.nodes[8:]
            self.assertEqual([{"n7"}] * len(others), [n.ever_dead for n in others])

        run_virtually(check())
