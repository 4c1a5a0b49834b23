"""Tests of joining while the platform is away."""

import asyncio
import random

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.node.bootstrap import Bootstrap
from burdockdock.node.roster import Roster
from burdockdock.overlay.datagrams import Address
from tests.support import FakePlatform, async_test


class _AwayReader:
    """Reads nothing, since the platform is away."""

    async def refresh(self) -> bool:
        """Return that the platform did not answer."""
        return False


class _Sync:
    """Exchanges state with the nodes of a fleet that is up."""

    def __init__(self, membership: MembershipTable, fleet: list[Member]) -> None:
        self._membership = membership
        self._fleet = {(m.host, m.port): m for m in fleet}
        self.peers: set[str] = set()
        self.tried: list[Address] = []

    async def sync_with(self, host: str, port: int) -> object:
        """Exchange state with the node at an address."""
        self.tried.append((host, port))
        self.exchange(self._fleet[host, port])
        return object()

    def exchange(self, peer: Member) -> None:
        """Learn what a peer knows: all members."""
        for member in self._fleet.values():
            self._membership.merge(member)
        self.peers.add(peer.node_id)


def _member(i: int) -> Member:
    return Member(f"n{i}", f"10.0.0.{i}", 7000, "r", f"z{i % 3}", 1)


class BootstrapTest(testtools.TestCase):
    """Tests of a node that starts again, which its peers still know."""

    @async_test
    async def test_one_peer_that_finds_it_leads_it_to_the_others(self) -> None:
        membership = MembershipTable(_member(0), clock=SystemClock())
        fleet = [_member(i) for i in range(1, 11)]
        sync = _Sync(membership, fleet)
        platform = FakePlatform()
        platform.down = True
        rng = random.Random(1)
        bootstrap = Bootstrap(
            roster=Roster(platform, own=membership.own, rng=rng),
            reader=_AwayReader(),
            sync=sync,
            membership=membership,
            seeds=(),
            rng=rng,
        )
        joining = asyncio.create_task(bootstrap.join())
        await asyncio.sleep(0.1)
        self.assertEqual([], sync.tried)
        sync.exchange(fleet[0])
        async with asyncio.timeout(20):
            await joining
        self.assertGreaterEqual(len(sync.peers), 2)
