"""How a starting node finds its peers and the newest state."""

import asyncio
import random

from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.node.relay import PlatformReader
from burdockdock.node.roster import Roster
from burdockdock.overlay.datagrams import Address
from burdockdock.overlay.sync import SyncClient

_PEERS_WANTED = 3
_RETRY_S = 0.5
_REJOIN_INTERVAL_S = 10.0


class Bootstrap:
    """Joins the overlay, and joins it again when the view goes stale.

    :param seeds: addresses from the settings.
    """

    def __init__(
        self,
        *,
        roster: Roster,
        reader: PlatformReader,
        sync: SyncClient,
        membership: MembershipTable,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self._roster = roster
        self._reader = reader
        self._sync = sync
        self._membership = membership
        self._seeds = seeds
        self._rng = rng

    async def join(self) -> None:
        """Learn members and the newest state before this node serves.

        Without the platform, the state of several peers stands in for its; records
        only ever move up, so that the highest of them is kept.
        """
        while True:
            entered = await self._roster.enter()
            addresses = await self._addresses()
            reached = await self._sync_with_some(addresses)
            fresh = await self._reader.refresh()
            peers = len(self._sync.peers)
            if fresh or peers >= self._peers_to_trust():
                log_event(
                    "node.joined",
                    reached=reached,
                    peers=peers,
                    platform=fresh,
                    in_roster=entered is None,
                )
                return
            await asyncio.sleep(_RETRY_S * self._rng.uniform(1.0, 2.0))

    def _peers_to_trust(self) -> int:
        """Return how many peers stand in for a platform that does not answer."""
        return min(2, max(1, len(self._seeds)))

    async def run(self) -> None:
        """Join again whenever this node is alone or lost most others."""
        largest = 1
        while True:
            await asyncio.sleep(_REJOIN_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            count = len(self._membership.live())
            if count == 1 or count < largest / 2:
                reached = await self._sync_with_some(await self._addresses())
                log_event("node.rejoined", peers=reached, members=count)
            # Let the mark sink, so that a fleet that shrank is not knocked for ever.
            largest = max(count, int(largest * 0.9))

    async def _addresses(self) -> list[Address]:
        """Return peers' addresses from the settings and the roster."""
        own = (self._membership.own.host, self._membership.own.port)
        found = await self._roster.addresses()
        listed = [] if isinstance(found, Failure) else found
        addresses = dict.fromkeys([*self._seeds, *listed])
        addresses.pop(own, None)
        return list(addresses)

    async def _sync_with_some(self, addresses: list[Address]) -> int:
        """Exchange state with a few of the addresses; return how many answered."""
        reached = 0
        for host, port in addresses:
            if reached >= _PEERS_WANTED:
                break
            peer = await self._sync.sync_with(host, port)
            reached += not isinstance(peer, Failure)
        return reached
