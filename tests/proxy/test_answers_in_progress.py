"""Tests that membership updates don't interrupt answers in progress.

An update may be wrong, such as a report that a node is dead while it sends an answer.
"""

import asyncio

import testtools

from burdockdock.coordination.membership import Member, MemberState
from tests import streams
from tests.fleet import HOST, Fleet, running_fleet
from tests.support import async_test, eventually

# More than the connections can buffer, so that the answer is in progress until the
# caller reads on.
_ANSWER_BYTES = 40_000_000


class _SlowCaller:
    """A caller that reads only the head of a large answer through node a at first."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def start(self, fleet: Fleet) -> None:
        """Send the request and read the answer's head."""
        port = int(fleet.callers["a"].rpartition(":")[2])
        self._reader, self._writer = await streams.open_connection(HOST, port)
        target = f"/bytes/{_ANSWER_BYTES}"
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        await self._reader.readuntil(b"\r\n\r\n")

    async def read_rest(self) -> int:
        """Read to the end of the answer and return the length of its body."""
        read_bytes = 0
        while read_bytes < _ANSWER_BYTES:
            data = await self._reader.read(1 << 20)
            if not data:
                break
            read_bytes += len(data)
        self._writer.close()
        return read_bytes


class AnswersInProgressTest(testtools.TestCase):
    """Tests that updates affect new calls only, not those in progress."""

    async def _start_answer(self, fleet: Fleet) -> _SlowCaller:
        await fleet.add_backend("b")
        await fleet.apply()
        caller = _SlowCaller()
        await caller.start(fleet)
        return caller

    def _merge_update(self, fleet: Fleet, **changes: object) -> Member:
        """Merge an update of node b that b did not send into the table of node a."""
        membership = fleet.nodes["a"].membership
        known = membership.get("b")
        update = known._replace(incarnation=known.incarnation + 1000, **changes)
        self.assertTrue(membership.merge(update))
        return update

    @async_test
    async def test_an_answer_survives_a_false_death_report_of_its_node(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._start_answer(fleet)
            self._merge_update(fleet, state=MemberState.DEAD)
            self.assertEqual(_ANSWER_BYTES, await caller.read_rest())

    @async_test
    async def test_an_answer_survives_a_false_address_change_of_its_node(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._start_answer(fleet)
            host = fleet.nodes["a"].membership.get("b").host
            self._merge_update(fleet, host="127.0.0.2")
            self._merge_update(fleet, host=host)
            self.assertEqual(_ANSWER_BYTES, await caller.read_rest())

    @async_test
    async def test_an_answer_survives_a_dead_member_at_the_same_address(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._start_answer(fleet)
            membership = fleet.nodes["a"].membership
            earlier = membership.get("b")._replace(
                node_id="earlier", state=MemberState.DEAD
            )
            self.assertTrue(membership.merge(earlier))
            self.assertEqual(_ANSWER_BYTES, await caller.read_rest())

    @async_test
    async def test_the_connection_closes_after_its_last_answer(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._start_answer(fleet)
            member = fleet.nodes["a"].membership.get("b")
            link = fleet.nodes["a"].links.get_if_open(member.host, member.port)
            self._merge_update(fleet, state=MemberState.DEAD)
            self.assertFalse(link.closed)
            await caller.read_rest()
            await eventually(lambda: link.closed)

    @async_test
    async def test_a_new_call_opens_a_new_connection(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._start_answer(fleet)
            links = fleet.nodes["a"].links
            member = fleet.nodes["a"].membership.get("b")
            link = links.get_if_open(member.host, member.port)
            self._merge_update(fleet, state=MemberState.DEAD)
            self.assertIsNot(link, await links.get(member.host, member.port))
            await caller.read_rest()

    @async_test
    async def test_a_connection_to_another_node_is_retired(self) -> None:
        async with running_fleet("a", "b") as fleet:
            await fleet.add_backend("b")
            await fleet.apply()
            node = fleet.nodes["a"]
            member = node.membership.get("b")
            link = await node.links.get(member.host, member.port)
            link.peer = link.peer._replace(node_id="earlier")
            caller = _SlowCaller()
            await caller.start(fleet)
            self.assertTrue(link.closed)
            self.assertEqual(_ANSWER_BYTES, await caller.read_rest())
