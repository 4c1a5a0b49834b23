"""How a starting node finds its peers and the newest state."""

import asyncio
import random

from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.node.relay import ROSTER_PREFIX, PlatformReader
from burdockdock.overlay.datagrams import Address
from burdockdock.overlay.sync import SyncClient
from burdockdock.platform_api.client import PlatformClient

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
        platform: PlatformClient,
        reader: PlatformReader,
        sync: SyncClient,
        membership: MembershipTable,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self._platform = platform
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
            addresses = await self._addresses()
            reached = await self._sync_with_some(addresses or [])
            fresh = await self._reader.refresh()
            if fresh or reached >= min(2, max(1, len(self._seeds))):
                log_event("node.joined", peers=reached, platform=fresh)
                return
            await asyncio.sleep(_RETRY_S * self._rng.uniform(1.0, 2.0))

    async def run(self) -> None:
        """Join again whenever this node is alone or lost most others."""
        largest = 1
        while True:
            await asyncio.sleep(_REJOIN_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            count = len(self._membership.live())
            if count == 1 or count < largest / 2:
                addresses = await self._addresses()
                reached = await self._sync_with_some(addresses or [])
                log_event("node.rejoined", peers=reached, members=count)
            # Let the mark sink, so that a fleet that shrank is not knocked for ever.
            largest = max(count, int(largest * 0.9))

    async def _addresses(self) -> list[Address] | None:
        """Return peers' addresses from the settings and the platform's roster."""
        own = (self._membership.own.host, self._membership.own.port)
        addresses = list(self._seeds)
        found = await self._platform.list(ROSTER_PREFIX)
        if not isinstance(found, Failure):
            for entry in found.objects:
                addresses += [(h, p) for h, p in entry.value["addresses"]]
        addresses = [address for address in dict.fromkeys(addresses) if address != own]
        self._rng.shuffle(addresses)
        return addresses

    async def _sync_with_some(self, addresses: list[Address]) -> int:
        """Exchange state with a few of the addresses; return how many answered."""
        reached = 0
        for host, port in addresses:
            if reached >= _PEERS_WANTED:
                break
            peer = await self._sync.sync_with(host, port)
            reached += not isinstance(peer, Failure)
        return reached
