"""Answers under way when this node changes its mind about the node that sends them."""

import asyncio

import testtools

from burdockdock.coordination.membership import Member, MemberState
from tests import streams
from tests.fleet import HOST, Fleet, running_fleet
from tests.support import async_test, eventually

# More than the connections on the way buffer, so that the caller decides when it ends.
_ANSWER_BYTES = 40_000_000


class _SlowCaller:
    """A caller that has begun to read a large answer through node a."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def begin(self, fleet: Fleet) -> None:
        """Send the request and read the answer's head."""
        port = int(fleet.callers["a"].rpartition(":")[2])
        self._reader, self._writer = await streams.open_connection(HOST, port)
        target = f"/bytes/{_ANSWER_BYTES}"
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        await self._reader.readuntil(b"\r\n\r\n")

    async def rest_bytes(self) -> int:
        """Read to the end of the answer; return how much of its body came."""
        read_bytes = 0
        while read_bytes < _ANSWER_BYTES:
            data = await self._reader.read(1 << 20)
            if not data:
                break
            read_bytes += len(data)
        self._writer.close()
        return read_bytes


class RunningAnswersTest(testtools.TestCase):
    """What is believed of a node decides about new calls, never about running ones."""

    async def _begun(self, fleet: Fleet) -> _SlowCaller:
        await fleet.add_backend("b")
        await fleet.apply()
        caller = _SlowCaller()
        await caller.begin(fleet)
        return caller

    def _change_entry(self, fleet: Fleet, **changes: object) -> Member:
        """Let node a hear something of node b that was not said by b."""
        membership = fleet.nodes["a"].membership
        known = membership.get("b")
        changed = known._replace(incarnation=known.incarnation + 1000, **changes)
        self.assertTrue(membership.merge(changed))
        return changed

    @async_test
    async def test_an_answer_outlives_the_belief_that_its_node_is_dead(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._begun(fleet)
            self._change_entry(fleet, state=MemberState.DEAD)
            self.assertEqual(_ANSWER_BYTES, await caller.rest_bytes())

    @async_test
    async def test_an_answer_outlives_a_move_of_its_node_that_was_none(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._begun(fleet)
            place = fleet.nodes["a"].membership.get("b").host
            self._change_entry(fleet, host="127.0.0.2")
            self._change_entry(fleet, host=place)
            self.assertEqual(_ANSWER_BYTES, await caller.rest_bytes())

    @async_test
    async def test_an_answer_outlives_the_death_of_another_at_its_address(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._begun(fleet)
            membership = fleet.nodes["a"].membership
            earlier = membership.get("b")._replace(
                node_id="earlier", state=MemberState.DEAD
            )
            self.assertTrue(membership.merge(earlier))
            self.assertEqual(_ANSWER_BYTES, await caller.rest_bytes())

    @async_test
    async def test_the_connection_ends_with_the_last_answer_on_it(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._begun(fleet)
            member = fleet.nodes["a"].membership.get("b")
            link = fleet.nodes["a"].links.get_if_open(member.host, member.port)
            self._change_entry(fleet, state=MemberState.DEAD)
            self.assertFalse(link.closed)
            await caller.rest_bytes()
            await eventually(lambda: link.closed)

    @async_test
    async def test_a_new_call_takes_a_new_connection(self) -> None:
        async with running_fleet("a", "b") as fleet:
            caller = await self._begun(fleet)
            links = fleet.nodes["a"].links
            member = fleet.nodes["a"].membership.get("b")
            link = links.get_if_open(member.host, member.port)
            self._change_entry(fleet, state=MemberState.DEAD)
            self.assertIsNot(link, await links.get(member.host, member.port))
            await caller.rest_bytes()

    @async_test
    async def test_a_connection_to_another_node_at_an_address_is_given_up(self) -> None:
        async with running_fleet("a", "b") as fleet:
            await fleet.add_backend("b")
            await fleet.apply()
            node = fleet.nodes["a"]
            member = node.membership.get("b")
            link = await node.links.get(member.host, member.port)
            link.peer = link.peer._replace(node_id="earlier")
            caller = _SlowCaller()
            await caller.begin(fleet)
            self.assertTrue(link.closed)
            self.assertEqual(_ANSWER_BYTES, await caller.rest_bytes())
