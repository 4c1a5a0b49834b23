"""Tests of sync exchanges with large replies, slow links and failures."""

import asyncio
from unittest import mock

import testtools

from burdockdock.coordination.membership import Member
from burdockdock.coordination.records import Record
from burdockdock.node.config_state import CONFIG_KEY
from burdockdock.overlay.reply_limiter import Peer, ReplyLimiter
from burdockdock.protocol.members import pack_member
from tests.overlay.link_network import LinkNetwork
from tests.overlay.links import LinkSpeed
from tests.overlay.long_version import (
    RELAYS,
    initial_document,
    long_document,
    record_of,
)
from tests.virtual_time import run_virtually

_LINK = LinkSpeed(10e6, 10e6)
_STOPPED_LINK = LinkSpeed(0, 0)
# The long version takes 2.7 s over this link, longer than a reply may hold its slot.
_SLOW_LINK = LinkSpeed(1.2e5, 1.2e5)
_PEER = Peer("a", "z")
_UNKNOWN = Member("x", "h", 0, "r", "z0", 1)


def _network(count: int) -> LinkNetwork:
    """Return nodes that have the initial version and send no digests."""
    network = LinkNetwork([_LINK] * count, zones=1)
    for node in network.nodes:
        node.records.put(record_of(initial_document()))
    return network


def _pair_with_long_version() -> LinkNetwork:
    """Return two nodes, of which only the first has the long version."""
    network = _network(2)
    network.nodes[0].records.put(record_of(long_document()))
    return network


def _record_redirects(limiter: ReplyLimiter) -> mock.Mock:
    """Return a mock that records the peers offered as sources."""
    limiter.redirect_waiters = mock.Mock(wraps=limiter.redirect_waiters)
    return limiter.redirect_waiters


class SyncExchangesTest(testtools.TestCase):
    """Tests of exchanges between simulated nodes."""

    async def _bytes_of_exchange(self, *, unknown_member: bool) -> int:
        network = _pair_with_long_version()
        if unknown_member:
            network.nodes[1].membership.merge(_UNKNOWN)
        await network.nodes[1].sync.sync_with("h", 0)
        await asyncio.sleep(1.0)
        self.assertEqual(2, network.nodes[1].config.snapshot.version)
        network.close()
        return network.stream_bytes(0)

    def test_peer_with_different_members_gets_large_reply_once(self) -> None:
        async def check() -> None:
            same_members_bytes = await self._bytes_of_exchange(unknown_member=False)
            different_members_bytes = await self._bytes_of_exchange(unknown_member=True)
            self.assertLess(different_members_bytes, 1.5 * same_members_bytes)

        run_virtually(check())

    def test_received_records_are_kept_if_member_push_fails(self) -> None:
        async def check() -> None:
            network = _pair_with_long_version()
            client = network.nodes[1]
            client.membership.merge(_UNKNOWN)

            def pack_and_stop(member: Member) -> dict[str, object]:
                network.set_speed(0, _STOPPED_LINK)
                return pack_member(member)

            with mock.patch("burdockdock.overlay.sync.pack_member", pack_and_stop):
                await client.sync.sync_with("h", 0)
            network.close()
            self.assertEqual(2, client.config.snapshot.version)

        run_virtually(check())

    def test_slow_reply_still_adds_a_source(self) -> None:
        async def check() -> None:
            network = _pair_with_long_version()
            network.set_speed(0, _SLOW_LINK)
            redirects = _record_redirects(network.nodes[0].server.reply_limiter)
            await network.nodes[1].sync.sync_with("h", 0)
            await asyncio.sleep(1.0)
            network.close()
            redirects.assert_called_once()

        run_virtually(check())

    def test_peer_that_disconnects_while_waiting_is_not_a_source(self) -> None:
        async def check() -> None:
            network = _pair_with_long_version()
            limiter = network.nodes[0].server.reply_limiter
            await limiter.acquire(_PEER)
            await limiter.acquire(_PEER)
            redirects = _record_redirects(limiter)
            outcome = await network.nodes[1].sync.sync_with("h", 0)
            await asyncio.sleep(1.0)
            self.assertEqual("sync_timeout", outcome.reason)
            self.assertEqual(0, limiter.waiting)
            limiter.release(_PEER, delivered=False)
            await asyncio.sleep(1.0)
            network.close()
            redirects.assert_not_called()

        run_virtually(check())

    def test_number_of_cached_encodings_is_limited(self) -> None:
        async def check() -> None:
            network = _network(1)
            node = network.nodes[0]
            node.records.put(record_of(long_document()._replace(version=1000)))
            record = node.records.get(CONFIG_KEY)
            for version in range(100, 200):
                node.server._pack(record, version, True)
            self.assertLess(len(node.server._encodings), 20)

        run_virtually(check())

    def test_peer_does_not_send_received_members_back(self) -> None:
        async def check() -> None:
            network = _network(2)
            for i in range(3000):
                member = _UNKNOWN._replace(node_id=f"x{i}", service="service-12")
                network.nodes[0].membership.merge(member)
            client = network.nodes[1].sync
            await client.sync_with("h", 0)
            network.close()
            self.assertEqual(3002, len(network.nodes[1].membership))
            self.assertLess(client.sent_bytes, client.received_bytes / 10)

        run_virtually(check())

    def test_refused_long_version_is_not_fetched_forever(self) -> None:
        async def check() -> None:
            network = LinkNetwork([_LINK] * 12, zones=3)
            network.start(record_of(initial_document()))
            await asyncio.sleep(1.0)
            long = long_document()
            bad = {**long.sections, "route bad": {"path": "no slash", "service": "?"}}
            refused: Record = record_of(long._replace(sections=bad))
            # A node that is cut off meanwhile learns of the version from a digest.
            network.set_speed(5, _STOPPED_LINK)
            for i in RELAYS:
                network.nodes[i].spreader.broadcast_record(refused)
            await asyncio.sleep(1.0)
            network.set_speed(5, _LINK)
            await asyncio.sleep(30.0)
            fetch_count = len(network.fetches)
            await asyncio.sleep(30.0)
            missing = [
                node.records.missing_version(CONFIG_KEY) for node in network.nodes
            ]
            network.close()
            self.assertEqual([0] * 12, missing)
            self.assertEqual(fetch_count, len(network.fetches))

        run_virtually(check())
