"""Tests of joining while the platform is unavailable."""

import asyncio
import random

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.node.bootstrap import Bootstrap
from burdockdock.node.roster import Roster
from burdockdock.overlay.datagrams import Address
from tests.support import FakePlatform, async_test


class _FailingReader:
    """Fails every read, as during a platform outage."""

    async def refresh(self) -> bool:
        """Return False: the platform did not answer."""
        return False


class _FakeSyncClient:
    """Simulates state synchronization with a running fleet."""

    def __init__(self, membership: MembershipTable, fleet: list[Member]) -> None:
        self._membership = membership
        self._fleet = {(m.host, m.port): m for m in fleet}
        self.peers: set[str] = set()
        self.attempted: list[Address] = []

    async def sync_with(self, host: str, port: int) -> object:
        """Synchronize with the node at an address."""
        self.attempted.append((host, port))
        self.exchange_state(self._fleet[host, port])
        return object()

    def exchange_state(self, peer: Member) -> None:
        """Merge all members of the fleet, as received from one peer."""
        for member in self._fleet.values():
            self._membership.merge(member)
        self.peers.add(peer.node_id)


def _member(i: int) -> Member:
    return Member(f"n{i}", f"10.0.0.{i}", 7000, "r", f"z{i % 3}", 1)


class BootstrapTest(testtools.TestCase):
    """Tests of a restarted node that its peers still have as a member."""

    @async_test
    async def test_contact_from_one_peer_leads_to_the_other_members(self) -> None:
        membership = MembershipTable(_member(0), clock=SystemClock())
        fleet = [_member(i) for i in range(1, 11)]
        sync = _FakeSyncClient(membership, fleet)
        platform = FakePlatform()
        platform.down = True
        rng = random.Random(1)
        bootstrap = Bootstrap(
            roster=Roster(platform, own=membership.own, rng=rng),
            reader=_FailingReader(),
            sync=sync,
            membership=membership,
            seeds=(),
            rng=rng,
        )
        joining = asyncio.create_task(bootstrap.join())
        await asyncio.sleep(0.1)
        self.assertEqual([], sync.attempted)
        sync.exchange_state(fleet[0])
        async with asyncio.timeout(20):
            await joining
        self.assertGreaterEqual(len(sync.peers), 2)
