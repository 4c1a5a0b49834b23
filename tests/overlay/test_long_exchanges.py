"""What becomes of long replies, and of who waits for them, when things go wrong."""

import asyncio
from unittest import mock

import testtools

from burdockdock.coordination.membership import Member
from burdockdock.coordination.records import Record
from burdockdock.node.config_state import CONFIG_KEY
from burdockdock.overlay.long_replies import LongReplies, Peer
from burdockdock.protocol.members import pack_member
from tests.overlay.link_network import LinkNetwork
from tests.overlay.links import LinkSpeed
from tests.overlay.long_version import (
    SOURCES,
    first_document,
    long_document,
    record_of,
)
from tests.virtual_time import run_virtually

_LINK = LinkSpeed(10e6, 10e6)
_STOPPED_LINK = LinkSpeed(0, 0)
# The long version takes 2.7 s over it.
_SLOW_LINK = LinkSpeed(1.2e5, 1.2e5)
_PEER = Peer("a", "z")
_UNKNOWN = Member("x", "h", 0, "r", "z0", 1)


def _network(count: int) -> LinkNetwork:
    """Return nodes that have the first version, and show nobody their digests."""
    network = LinkNetwork([_LINK] * count, zones=1)
    for node in network.nodes:
        node.records.put(record_of(first_document()))
    return network


def _pair_with_long_version() -> LinkNetwork:
    """Return two nodes of which the first has the long version."""
    network = _network(2)
    network.nodes[0].records.put(record_of(long_document()))
    return network


def _sent_on_by(replies: LongReplies) -> mock.Mock:
    """Return a note of the peers that are named as sources."""
    replies.send_on = mock.Mock(wraps=replies.send_on)
    return replies.send_on


class LongExchangesTest(testtools.TestCase):
    """Tests of two nodes, and of a few."""

    async def _bytes_of_exchange(self, *, unknown_member: bool) -> int:
        network = _pair_with_long_version()
        if unknown_member:
            network.nodes[1].membership.merge(_UNKNOWN)
        await network.nodes[1].sync.sync_with("h", 0)
        await asyncio.sleep(1.0)
        self.assertEqual(2, network.nodes[1].config.snapshot.version)
        network.close()
        return network.stream_bytes(0)

    def test_a_peer_with_other_members_gets_the_long_reply_once(self) -> None:
        async def check() -> None:
            alike = await self._bytes_of_exchange(unknown_member=False)
            differing = await self._bytes_of_exchange(unknown_member=True)
            self.assertLess(differing, 1.5 * alike)

        run_virtually(check())

    def test_what_arrived_is_kept_when_the_members_do_not_arrive(self) -> None:
        async def check() -> None:
            network = _pair_with_long_version()
            near = network.nodes[1]
            near.membership.merge(_UNKNOWN)

            def pack_and_stop(member: Member) -> dict[str, object]:
                network.set_speed(0, _STOPPED_LINK)
                return pack_member(member)

            with mock.patch("burdockdock.overlay.sync.pack_member", pack_and_stop):
                await near.sync.sync_with("h", 0)
            network.close()
            self.assertEqual(2, near.config.snapshot.version)

        run_virtually(check())

    def test_a_reply_that_takes_long_makes_a_source_too(self) -> None:
        async def check() -> None:
            network = _pair_with_long_version()
            network.set_speed(0, _SLOW_LINK)
            named = _sent_on_by(network.nodes[0].server.long_replies)
            await network.nodes[1].sync.sync_with("h", 0)
            await asyncio.sleep(1.0)
            network.close()
            named.assert_called_once()

        run_virtually(check())

    def test_a_peer_that_left_while_it_waited_is_not_named_as_a_source(self) -> None:
        async def check() -> None:
            network = _pair_with_long_version()
            replies = network.nodes[0].server.long_replies
            await replies.begin(_PEER)
            await replies.begin(_PEER)
            named = _sent_on_by(replies)
            outcome = await network.nodes[1].sync.sync_with("h", 0)
            await asyncio.sleep(1.0)
            self.assertEqual("sync_timeout", outcome.reason)
            self.assertEqual(0, replies.waiting)
            replies.end(_PEER, taken=False)
            await asyncio.sleep(1.0)
            network.close()
            named.assert_not_called()

        run_virtually(check())

    def test_values_kept_do_not_grow_with_the_askers_versions(self) -> None:
        async def check() -> None:
            network = _network(1)
            node = network.nodes[0]
            node.records.put(record_of(long_document()._replace(version=1000)))
            record = node.records.get(CONFIG_KEY)
            for version in range(100, 200):
                node.server._pack(record, version, True)
            self.assertLess(len(node.server._encoded), 20)

        run_virtually(check())

    def test_who_lacks_a_member_does_not_send_all_members_back(self) -> None:
        async def check() -> None:
            network = _network(2)
            for i in range(3000):
                member = _UNKNOWN._replace(node_id=f"x{i}", service="service-12")
                network.nodes[0].membership.merge(member)
            near = network.nodes[1].sync
            await near.sync_with("h", 0)
            network.close()
            self.assertEqual(3002, len(network.nodes[1].membership))
            self.assertLess(near.sent_bytes, near.received_bytes / 10)

        run_virtually(check())

    def test_a_long_version_that_all_refuse_is_not_asked_for_for_ever(self) -> None:
        async def check() -> None:
            network = LinkNetwork([_LINK] * 12, zones=3)
            network.start(record_of(first_document()))
            await asyncio.sleep(1.0)
            long = long_document()
            bad = {**long.sections, "route bad": {"path": "no slash", "service": "?"}}
            refused: Record = record_of(long._replace(sections=bad))
            # A node that hears nothing meanwhile learns of it by a digest.
            network.set_speed(5, _STOPPED_LINK)
            for i in SOURCES:
                network.nodes[i].spreader.broadcast_record(refused)
            await asyncio.sleep(1.0)
            network.set_speed(5, _LINK)
            await asyncio.sleep(30.0)
            before = len(network.fetches)
            await asyncio.sleep(30.0)
            lacking = [
                node.records.missing_version(CONFIG_KEY) for node in network.nodes
            ]
            network.close()
            self.assertEqual([0] * 12, lacking)
            self.assertEqual(before, len(network.fetches))

        run_virtually(check())
