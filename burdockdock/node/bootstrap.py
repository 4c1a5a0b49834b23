"""Discovery of peers and of the current state at start and after isolation."""

import asyncio
import contextlib
import math
import random

from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.node.platform_reader import PlatformReader
from burdockdock.node.roster import Roster
from burdockdock.overlay.datagrams import Address
from burdockdock.overlay.sync import SyncClient
from burdockdock.protocol.handshake import PeerIdentity

_SYNC_PEER_TARGET = 3
_JOIN_RETRY_DELAY_S = 0.5
_REJOIN_CHECK_INTERVAL_S = 10.0
_ISOLATED_CHECK_INTERVAL_S = 1.0
_PLATFORM_HEAD_START_S = 0.3
_PEER_STAGGER_S = 0.2
_PEER_SYNC_WAIT_S = 0.5
_POLL_INTERVAL_S = 0.05
# How long a node that has read the platform waits for a peer to confirm what it read.
_CONFIRMATION_WAIT_S = 1.0
# The same if the roster may be lost; relays notice a return within this time.
_OLD_ROSTER_WAIT_S = 3.0
_CONFIRMATION_RETRY_S = 0.25


class Bootstrap:
    """Joins the overlay, and rejoins it when this node loses most of the members.

    :param seeds: peer addresses from the settings.
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
        self._peer_sync_tasks: set[asyncio.Task[None]] = set()
        self._others_listed = False

    async def join(self) -> None:
        """Fetch the members and the current state before this node serves calls.

        If the platform is unavailable, the state of several peers replaces it: record
        versions only increase, so the newest among the peers is kept. If the platform
        answers, unreachable peers delay the join by a bounded time.
        """
        while True:
            platform_read = await self._fetch_state()
            peers = len(self._sync.peers)
            if platform_read or peers >= self._required_peers():
                log_event("node.joined", peers=peers, platform=platform_read)
                return
            await self._wait_for_new_peer(
                _JOIN_RETRY_DELAY_S * self._rng.uniform(1.0, 2.0)
            )

    async def run(self) -> None:
        """Rejoin whenever this node is isolated or lost most members.

        Runs until cancelled.
        """
        peak_count = 1
        while True:
            count = len(self._membership.live())
            interval_s = (
                _ISOLATED_CHECK_INTERVAL_S if count == 1 else _REJOIN_CHECK_INTERVAL_S
            )
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            count = len(self._membership.live())
            if count == 1 or count < peak_count / 2:
                reached = await self._sync_with_addresses(await self._peer_addresses())
                log_event("node.rejoined", peers=reached, members=count)
            # Decays, so that a node of a permanently smaller fleet stops rejoining.
            peak_count = max(count, int(peak_count * 0.9))

    async def _fetch_state(self) -> bool:
        """Query the platform and peers; return whether all of the platform was read."""
        refresh = asyncio.create_task(self._reader.refresh())
        # Peers need not send again what the platform has already returned.
        await asyncio.wait({refresh}, timeout=_PLATFORM_HEAD_START_S)
        peer_sync = asyncio.create_task(self._sync_with_peers())
        self._peer_sync_tasks.add(peer_sync)
        peer_sync.add_done_callback(self._peer_sync_tasks.discard)
        while not refresh.done() and len(self._sync.peers) < self._required_peers():
            await asyncio.sleep(_POLL_INTERVAL_S)
        platform_read = refresh.done() and refresh.result()
        await asyncio.wait({peer_sync}, timeout=_PEER_SYNC_WAIT_S)
        if platform_read:
            await self._confirm_with_peer()
        return platform_read

    async def _confirm_with_peer(self) -> None:
        """Wait until a peer has told the newest versions, if there may be one.

        What the platform returned may be a copy some seconds old. If it lost the
        roster too, the other nodes list themselves again as soon as they notice.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._confirmation_wait_s()):
                while not self._sync.peers:
                    await asyncio.sleep(_CONFIRMATION_RETRY_S)
                    if not self._others_listed:
                        await self._sync_with_addresses(await self._peer_addresses())

    def _confirmation_wait_s(self) -> float:
        if not self._reader.has_configuration:
            return 0.0
        if self._others_listed:
            return _CONFIRMATION_WAIT_S
        return _OLD_ROSTER_WAIT_S if self._roster.may_be_old else 0.0

    async def _sync_with_peers(self) -> None:
        """Register in the roster, then synchronize state with a few known peers."""
        refusal = await self._roster.register()
        addresses = await self._peer_addresses()
        reached = await self._sync_with_addresses(addresses)
        log_event(
            "node.met_peers",
            reached=reached,
            addresses=len(addresses),
            in_roster=refusal is None,
        )

    async def _wait_for_new_peer(self, max_wait_s: float) -> None:
        """Wait before the next attempt, or until a new peer contacts this node."""
        known = len(self._sync.peers)
        for _ in range(math.ceil(max_wait_s / _POLL_INTERVAL_S)):
            await asyncio.sleep(_POLL_INTERVAL_S)
            if len(self._sync.peers) > known:
                return

    def _required_peers(self) -> int:
        """Return how many peers suffice when the platform does not answer."""
        others = len(self._membership.live()) - 1
        return min(2, max(1, len(self._seeds), others))

    async def _peer_addresses(self) -> list[Address]:
        """Return peer addresses from the settings, the roster and the membership.

        If the roster is unavailable, one peer is enough to learn all members.
        """
        own = (self._membership.own.host, self._membership.own.port)
        found = await self._roster.addresses()
        listed = [] if isinstance(found, Failure) else found
        members = [(m.host, m.port) for m in self._membership.live()]
        self._rng.shuffle(members)
        addresses = dict.fromkeys([*self._seeds, *listed, *members])
        addresses.pop(own, None)
        self._others_listed = bool(addresses)
        return list(addresses)

    async def _sync_with_addresses(self, addresses: list[Address]) -> int:
        """Synchronize state with a few of the addresses; return how many answered.

        Attempts are staggered: a slow address does not delay the next one.
        """
        reached = 0
        pending: set[asyncio.Task[PeerIdentity | Failure]] = set()
        remaining = iter(addresses)
        address = next(remaining, None)
        while reached < _SYNC_PEER_TARGET and (address or pending):
            if address is not None:
                pending.add(asyncio.create_task(self._sync.sync_with(*address)))
                address = next(remaining, None)
            timeout_s = _PEER_STAGGER_S if address else None
            done, pending = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            reached += sum(not isinstance(task.result(), Failure) for task in done)
        for task in pending:
            task.cancel()
        return reached
