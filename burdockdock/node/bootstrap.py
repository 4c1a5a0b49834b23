"""How a starting node finds its peers and the newest state."""

import asyncio
import math
import random

from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.node.relay import PlatformReader
from burdockdock.node.roster import Roster
from burdockdock.overlay.datagrams import Address
from burdockdock.overlay.sync import SyncClient
from burdockdock.protocol.handshake import PeerIdentity

_PEERS_WANTED = 3
_RETRY_S = 0.5
_REJOIN_INTERVAL_S = 10.0
_ALONE_INTERVAL_S = 1.0
_PLATFORM_FIRST_S = 0.3
_NEXT_PEER_S = 0.2
_MEETING_S = 0.5
_POLL_S = 0.05


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
        self._meetings: set[asyncio.Task[None]] = set()

    async def join(self) -> None:
        """Learn members and the newest state before this node serves.

        Without the platform, the state of several peers stands in for its; records
        only ever move up, so that the highest of them is kept. With it, peers that
        don't answer hold nothing up.
        """
        while True:
            fresh = await self._learn()
            peers = len(self._sync.peers)
            if fresh or peers >= self._peers_to_trust():
                log_event("node.joined", peers=peers, platform=fresh)
                return
            await self._wait_for_peer(_RETRY_S * self._rng.uniform(1.0, 2.0))

    async def run(self) -> None:
        """Join again whenever this node is alone or lost most others."""
        largest = 1
        while True:
            count = len(self._membership.live())
            interval_s = _ALONE_INTERVAL_S if count == 1 else _REJOIN_INTERVAL_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            count = len(self._membership.live())
            if count == 1 or count < largest / 2:
                reached = await self._sync_with_some(await self._addresses())
                log_event("node.rejoined", peers=reached, members=count)
            # Let the mark sink, so that a fleet that shrank is not knocked for ever.
            largest = max(count, int(largest * 0.9))

    async def _learn(self) -> bool:
        """Ask the platform and peers; return whether the platform told all it has."""
        refresh = asyncio.create_task(self._reader.refresh())
        # What the platform told need not be sent by a peer again.
        await asyncio.wait({refresh}, timeout=_PLATFORM_FIRST_S)
        meeting = asyncio.create_task(self._meet())
        self._meetings.add(meeting)
        meeting.add_done_callback(self._meetings.discard)
        while not refresh.done() and len(self._sync.peers) < self._peers_to_trust():
            await asyncio.sleep(_POLL_S)
        fresh = refresh.done() and refresh.result()
        await asyncio.wait({meeting}, timeout=_MEETING_S)
        return fresh

    async def _meet(self) -> None:
        """Enter the roster, and exchange state with some who stand there."""
        refusal = await self._roster.enter()
        addresses = await self._addresses()
        reached = await self._sync_with_some(addresses)
        log_event(
            "node.met_peers",
            reached=reached,
            addresses=len(addresses),
            in_roster=refusal is None,
        )

    async def _wait_for_peer(self, longest_s: float) -> None:
        """Wait before the next try, until a peer that knew this node finds it."""
        known = len(self._sync.peers)
        for _ in range(math.ceil(longest_s / _POLL_S)):
            await asyncio.sleep(_POLL_S)
            if len(self._sync.peers) > known:
                return

    def _peers_to_trust(self) -> int:
        """Return how many peers stand in for a platform that does not answer."""
        others = len(self._membership.live()) - 1
        return min(2, max(1, len(self._seeds), others))

    async def _addresses(self) -> list[Address]:
        """Return peers' addresses from the settings, the roster and the members.

        One peer is enough to know the members, when the roster can't be read.
        """
        own = (self._membership.own.host, self._membership.own.port)
        found = await self._roster.addresses()
        listed = [] if isinstance(found, Failure) else found
        members = [(m.host, m.port) for m in self._membership.live()]
        self._rng.shuffle(members)
        addresses = dict.fromkeys([*self._seeds, *listed, *members])
        addresses.pop(own, None)
        return list(addresses)

    async def _sync_with_some(self, addresses: list[Address]) -> int:
        """Exchange state with a few of the addresses; return how many answered.

        An address that does not answer soon does not hold the next one up.
        """
        reached = 0
        waiting: set[asyncio.Task[PeerIdentity | Failure]] = set()
        left = iter(addresses)
        address = next(left, None)
        while reached < _PEERS_WANTED and (address or waiting):
            if address is not None:
                waiting.add(asyncio.create_task(self._sync.sync_with(*address)))
                address = next(left, None)
            timeout_s = _NEXT_PEER_S if address else None
            done, waiting = await asyncio.wait(
                waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            reached += sum(not isinstance(task.result(), Failure) for task in done)
        for task in waiting:
            task.cancel()
        return reached
