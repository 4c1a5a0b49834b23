"""A fleet in virtual time, whose nodes share what they send over a link each."""

import asyncio
import random
from typing import NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.overlay.failure_detector import FailureDetector
from burdockdock.overlay.spread import Spreader
from burdockdock.overlay.sync import SyncClient
from burdockdock.overlay.sync_server import SyncServer
from burdockdock.protocol import FrameConnection
from burdockdock.protocol.handshake import PeerIdentity, accept_handshake
from tests.overlay.links import (
    DATAGRAMS,
    HEADER_BYTES,
    LinkSpeed,
    LinkStream,
    Path,
    Pipe,
)
from tests.virtual_time import LoopClock

_MESH = "m"
_HOST = "h"
_DELAY_IN_ZONE_S = 0.001
_DELAY_BETWEEN_ZONES_S = 0.003


class _Wire:
    """The transport of a node's datagrams."""

    def __init__(self, index: int, network: "LinkNetwork") -> None:
        self._index = index
        self._network = network

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram, which may be dropped on its way."""
        self._network.send_datagram(self._index, address[1], data)

    def close(self) -> None:
        """Do nothing."""


class AppliedVersion(NamedTuple):
    """When a node put a version into force."""

    at_s: float
    version: int


class Fetch(NamedTuple):
    """A connection that a node opened to fetch what it lacks.

    :param version: the configuration version that the node had then.
    """

    at_s: float
    node: int
    source: int
    version: int


class LinkNode:
    """The parts of a node that spread and fetch, wired as in a node."""

    def __init__(self, index: int, network: "LinkNetwork") -> None:
        clock = LoopClock()
        rng = random.Random(index)
        self.index = index
        self.applied: list[AppliedVersion] = []
        members = network.members
        self.own = PeerIdentity(_MESH, members[index].node_id, 1)
        self.membership = MembershipTable(members[index], clock=clock)
        for member in members:
            self.membership.merge(member)
        self.config = ConfigState(self.own.node_id)
        self.records = RecordStore(accept=self._accept)
        deltas = {CONFIG_KEY: self.config.codec}
        self.datagrams = Datagrams(_MESH, count=lambda name: None)
        self.datagrams.connection_made(_Wire(index, network))
        self.server = SyncServer(
            membership=self.membership,
            records=self.records,
            deltas=deltas,
            clock=clock,
        )
        self.sync = SyncClient(
            own=self.own,
            membership=self.membership,
            records=self.records,
            deltas=deltas,
            on_new_record=lambda record, before: self.spreader.pass_on_record(
                record, base_version=before
            ),
            clock=clock,
            rng=rng,
            connect=lambda _, port: network.connect(index, port),
            head_key=CONFIG_KEY,
        )
        self.spreader = Spreader(
            membership=self.membership,
            ranking=MemberRanking(self.membership),
            records=self.records,
            datagrams=self.datagrams,
            deltas=deltas,
            pull=self.sync.pull_from,
        )
        self.detector = FailureDetector(
            membership=self.membership,
            records=self.records,
            datagrams=self.datagrams,
            clock=clock,
            rng=rng,
            on_digest=self.sync.compare,
            spread=self.spreader.start_member,
            head_key=CONFIG_KEY,
        )

    def begin(self, record: Record) -> None:
        """Put the record into force that all nodes have from the start."""
        self.records.put(record)
        self.applied.clear()
        self.records.subscribe(lambda _: self.detector.tell_news())

    def applied_at_s(self, version: int) -> float:
        """Return when a version or a newer one came into force, else infinity."""
        times = (a.at_s for a in self.applied if a.version >= version)
        return next(times, float("inf"))

    async def serve(self, connection: FrameConnection) -> None:
        """Serve one connection to its end, as the server for other nodes does."""
        try:
            peer = await accept_handshake(connection, self.own)
            if isinstance(peer, Failure):
                return
            session = self.server.session(peer.node_id, connection)
            while (message := await connection.read()) is not None:
                await session.answer(message.syncRequest)
            session.close()
        finally:
            connection.close()

    def _accept(self, record: Record) -> bool:
        accepted = self.config.accept(record)
        if accepted:
            now_s = asyncio.get_running_loop().time()
            self.applied.append(AppliedVersion(now_s, record.version))
        return accepted


class LinkNetwork:
    """Nodes that know each other, and what is under way between them.

    ``fetches`` holds every connection that was opened.

    :param speeds: the speed of each node's link.
    :param zones: number of availability zones; nodes stand in them by turns.
    """

    def __init__(self, speeds: list[LinkSpeed], *, zones: int) -> None:
        self._zones = zones
        self._up = [Pipe(speed.up_bits_per_s) for speed in speeds]
        self._down = [Pipe(speed.down_bits_per_s) for speed in speeds]
        self._streams = DATAGRAMS
        self._tasks: set[asyncio.Task[None]] = set()
        self.fetches: list[Fetch] = []
        count = len(speeds)
        self.members = [
            Member(f"n{i:03d}", _HOST, i, "r", f"z{i % zones}", 1) for i in range(count)
        ]
        self.nodes = [LinkNode(i, self) for i in range(count)]

    @property
    def dropped_datagrams(self) -> int:
        """Datagrams that found a queue full."""
        return sum(pipe.dropped_datagrams for pipe in self._up + self._down)

    def stream_bytes(self, node: int) -> int:
        """Return the bytes of streams that left a node's link."""
        return self._up[node].stream_bytes

    def datagram_bytes(self, node: int) -> int:
        """Return the bytes of datagrams that left a node's link."""
        return self._up[node].datagram_bytes

    def set_speed(self, node: int, speed: LinkSpeed) -> None:
        """Change the speed of a node's link."""
        self._up[node].set_speed(speed.up_bits_per_s)
        self._down[node].set_speed(speed.down_bits_per_s)

    def start(self, record: Record) -> None:
        """Give every node a record, and let it probe."""
        for node in self.nodes:
            node.begin(record)
            self._run(node.detector.run())

    def close(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.sync.close()
        for task in self._tasks:
            task.cancel()

    def send_datagram(self, sender: int, target: int, data: bytes) -> None:
        """Carry a datagram unless a queue is full."""
        receive = self.nodes[target].datagrams.datagram_received
        self._path(sender, target).send(
            DATAGRAMS,
            len(data) + HEADER_BYTES,
            arrived=lambda: receive(data, (_HOST, sender)),
        )

    async def connect(self, client: int, server: int) -> FrameConnection:
        """Open a stream to a node, which serves it."""
        now_s = asyncio.get_running_loop().time()
        version = self.nodes[client].config.snapshot.version
        self.fetches.append(Fetch(now_s, client, server, version))
        near, far = self.new_stream(client, server)
        opened = asyncio.Event()

        def accept() -> None:
            self._run(self.nodes[server].serve(FrameConnection(far)))
            far.send_opening(opened.set)

        near.send_opening(accept)
        try:
            await opened.wait()
        except asyncio.CancelledError:
            near.close()
            raise
        return FrameConnection(near)

    def new_stream(self, client: int, server: int) -> tuple[LinkStream, LinkStream]:
        """Return both ends of a stream that is taken for open."""
        self._streams += 1
        near = LinkStream(self._streams, self._path(client, server))
        far = LinkStream(self._streams, self._path(server, client))
        near.join(far)
        far.join(near)
        return near, far

    def _path(self, sender: int, target: int) -> Path:
        same = sender % self._zones == target % self._zones
        delay_s = _DELAY_IN_ZONE_S if same else _DELAY_BETWEEN_ZONES_S
        return Path(self._up[sender], self._down[target], delay_s)

    def _run(self, coroutine: object) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
