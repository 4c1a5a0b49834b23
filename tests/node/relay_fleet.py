"""Simulated relays and standbys in virtual time, with a store that changes once."""

import asyncio
import random
from collections.abc import Callable

from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.verdict import Failure
from burdockdock.node.relay import Relay
from burdockdock.node.relay_beats import RelayBeats
from burdockdock.node.relay_roles import RelayRoles, select_roles
from burdockdock.node.roster import Roster
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.platform_api import WatchResult
from tests.support import UNAVAILABLE, FakePlatform
from tests.virtual_time import LoopClock

_CALL_S = 0.004
_MAX_DELAY_S = 0.005
_CONNECT_S = 0.05
_CALL_TIMEOUT_S = 2.0


class Store:
    """The store's newest version, and the calls that nodes made.

    :ivar is_away: whether calls fail.
    :ivar call_count: number of calls.
    """

    def __init__(self) -> None:
        self.version = 1
        self.is_away = False
        self.call_count = 0
        self._changed = asyncio.Event()

    def put(self) -> None:
        """Accept a version."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, after: int, wait_s: float) -> None:
        """Wait for a version after one."""
        if self.version <= after:
            changed = self._changed
            await asyncio.wait([asyncio.ensure_future(changed.wait())], timeout=wait_s)


class _NodePlatform(FakePlatform):
    """One node's calls to the store."""

    def __init__(self, store: Store, is_cut_off: Callable[[], bool]) -> None:
        super().__init__()
        self.failures_in_row = 0
        self._store = store
        self._is_cut_off = is_cut_off

    async def list(self, prefix: str) -> WatchResult | Failure:
        """Return the newest version."""
        await asyncio.sleep(_CONNECT_S)
        return await self._answer()

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> WatchResult | Failure:
        """Return the newest version once it is after the one given."""
        if not self._store.is_away:
            await self._store.wait(after, wait_s)
        return await self._answer()

    async def pause_after_failure(self) -> None:
        """Wait as long as the client does at most."""
        await asyncio.sleep(1.0 if self.failures_in_row else 0.0)

    async def _answer(self) -> WatchResult | Failure:
        self._store.call_count += 1
        await asyncio.sleep(_CALL_S)
        if self._is_cut_off():
            await asyncio.sleep(_CALL_TIMEOUT_S)
            self.failures_in_row += 1
            return UNAVAILABLE
        if self._store.is_away:
            self.failures_in_row += 1
            return UNAVAILABLE
        self.failures_in_row = 0
        return WatchResult(self._store.version, [])


class _NodeReader:
    """Notes when a node read which version."""

    watched_prefixes = ("config/",)

    def __init__(self, platform: _NodePlatform, fleet: "RelayFleet") -> None:
        self._platform = platform
        self._fleet = fleet

    async def refresh(self) -> bool:
        """Read the newest version."""
        found = await self._platform.list("config/")
        if isinstance(found, Failure):
            return False
        self._fleet.note_read()
        return True

    def note_listed(self, prefix: str, found: WatchResult) -> None:
        """Accept any list."""

    async def ingest(self, objects: list) -> bool:
        """Note that what the platform returned was read."""
        self._fleet.note_read()
        return True


class _Transport:
    """Sends the datagrams of one node."""

    def __init__(self, index: int, fleet: "RelayFleet") -> None:
        self._index = index
        self._fleet = fleet

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram, which may be lost."""
        self._fleet.deliver(self._index, address[1], data)

    def close(self) -> None:
        """Do nothing."""


class RelayNode:
    """The parts of a node that watch the platform."""

    def __init__(self, index: int, fleet: "RelayFleet") -> None:
        clock = LoopClock()
        rng = random.Random(index)
        self.membership = MembershipTable(fleet.members[index], clock=clock)
        for member in fleet.members:
            self.membership.merge(member)
        ranking = MemberRanking(self.membership)
        self.datagrams = Datagrams("m", count=lambda name: None)
        self.datagrams.connection_made(_Transport(index, fleet))
        self.stand_in_count = 0
        self.is_running = True
        self.beats = RelayBeats(
            membership=self.membership,
            ranking=ranking,
            datagrams=self.datagrams,
            clock=clock,
            has_contact=lambda: self.relay.has_contact,
            on_change=lambda: self.relay.check_role_soon(),
            count=self._count,
        )
        platform = _NodePlatform(fleet.store, lambda: index in fleet.cut_off)
        self.relay = Relay(
            platform=platform,
            reader=_NodeReader(platform, fleet),
            roster=Roster(FakePlatform(), own=fleet.members[index], rng=rng),
            membership=self.membership,
            ranking=ranking,
            clock=clock,
            rng=rng,
            change_own=lambda **changes: fleet.change(index, **changes),
            stands_in=lambda: self.beats.stands_in,
        )
        self.tasks = [
            asyncio.create_task(self.beats.run()),
            asyncio.create_task(self.relay.run()),
        ]

    def _count(self, name: str) -> None:
        self.stand_in_count += 1


class RelayFleet:
    """The relays and standbys of a fleet; no other node has a part in this.

    :ivar loss: share of the datagrams that are lost.
    :ivar muted: nodes whose datagrams don't leave them.
    :ivar cut_off: nodes whose calls to the store get no answer.
    """

    def __init__(self, count: int, *, zones: int = 3, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.store = Store()
        self.loss = 0.0
        self.muted: set[int] = set()
        self.cut_off: set[int] = set()
        self.members = [
            Member(f"n{seed}-{i}", "h", i, "r", f"z{i % zones}", 1)
            for i in range(count)
        ]
        self.roles = self._initial_roles()
        self.read_s: dict[int, float] = {}
        self.nodes: dict[int, RelayNode] = {}
        for node_id in (*sorted(self.roles.relays), *self.roles.standbys):
            index = int(node_id.partition("-")[2])
            self.nodes[index] = RelayNode(index, self)

    @property
    def relays(self) -> list[int]:
        """Indices of the relays."""
        return [i for i in self.nodes if self.members[i].node_id in self.roles.relays]

    @property
    def standbys(self) -> list[int]:
        """Indices of the standbys, by rank."""
        return [int(key.partition("-")[2]) for key in self.roles.standbys]

    @property
    def stand_ins(self) -> list[int]:
        """Indices of the nodes that stand in for relays."""
        running = (i for i, node in self.nodes.items() if node.is_running)
        return [i for i in running if self.nodes[i].beats.stands_in]

    @property
    def stand_in_count(self) -> int:
        """How often nodes began to stand in."""
        return sum(node.stand_in_count for node in self.nodes.values())

    def note_read(self) -> None:
        """Note that a running node read the store's newest version."""
        now_s = asyncio.get_running_loop().time()
        self.read_s.setdefault(self.store.version, now_s)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        """Deliver a datagram after a delay, unless it is lost."""
        if sender in self.muted or self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        delay_s = self.rng.uniform(0.0005, _MAX_DELAY_S)
        loop.call_later(delay_s, self._receive, sender, receiver, data)

    def change(self, index: int, **changes: object) -> None:
        """Change a node's entry, and tell the others."""
        own = self.nodes[index].membership.update_own(**changes)
        for node in self.nodes.values():
            if node.membership.own.node_id != own.node_id:
                node.membership.merge(own)

    def kill(self, indices: list[int]) -> None:
        """End processes without a notice."""
        for index in indices:
            node = self.nodes.get(index)
            if node is None or not node.is_running:
                continue
            node.is_running = False
            for task in node.tasks:
                task.cancel()

    def close(self) -> None:
        """End all processes."""
        self.kill(list(self.nodes))

    def _initial_roles(self) -> RelayRoles:
        membership = MembershipTable(self.members[0], clock=LoopClock())
        for member in self.members:
            membership.merge(member)
        return select_roles(MemberRanking(membership))

    def _receive(self, sender: int, receiver: int, data: bytes) -> None:
        node = self.nodes.get(receiver)
        if node is not None and node.is_running:
            node.datagrams.datagram_received(data, ("h", sender))
