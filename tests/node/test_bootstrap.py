"""Tests of joining while the platform is unavailable."""

import asyncio
import random

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.node.bootstrap import Bootstrap
from burdockdock.node.roster import Roster
from burdockdock.overlay.datagrams import Address
from burdockdock.platform_api import PlatformObject
from tests.support import FakePlatform, async_test
from tests.virtual_time import LoopClock, run_virtually


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


class _AnsweringReader:
    """Has read a configuration from the platform."""

    has_configuration = True

    async def refresh(self) -> bool:
        """Return True: all of the platform was read."""
        return True


class _UnreachablePeers:
    """Fails each exchange after the time that a connection may take to open."""

    def __init__(self) -> None:
        self.peers: set[str] = set()

    async def sync_with(self, host: str, port: int) -> Failure:
        """Return a failure."""
        await asyncio.sleep(1.0)
        return Failure(Verdict.NOT_RUN, "sync_failed")


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

    def test_many_unreachable_peers_delay_a_join_by_little(self) -> None:
        # Guards against a fleet that is slow to come back after most of it is gone.
        async def run() -> None:
            platform = FakePlatform()
            addresses = [[f"10.0.1.{i}", 7000] for i in range(24)]
            key = "roster/z0"
            platform.objects[key] = PlatformObject(key, 1, {"addresses": addresses})
            membership = MembershipTable(_member(0), clock=LoopClock())
            rng = random.Random(1)
            bootstrap = Bootstrap(
                roster=Roster(platform, own=membership.own, rng=rng),
                reader=_AnsweringReader(),
                sync=_UnreachablePeers(),
                membership=membership,
                seeds=(),
                rng=rng,
            )
            started_s = asyncio.get_running_loop().time()
            await bootstrap.join()
            took_s = asyncio.get_running_loop().time() - started_s
            self.assertLess(took_s, 2.0)

        run_virtually(run())
