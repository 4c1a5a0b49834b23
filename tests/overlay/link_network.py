"""Simulated fleet in virtual time, in which each node has one link."""

import asyncio
import random
from typing import NamedTuple

from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.node.overlay_parts import on_digest_callback
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.overlay.failure_detector import FailureDetector
from burdockdock.overlay.repeats import RecordRepeater
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
_INTRA_ZONE_DELAY_S = 0.001
_INTER_ZONE_DELAY_S = 0.003


class _DatagramTransport:
    """Simulated datagram transport of a node."""

    def __init__(self, index: int, network: "LinkNetwork") -> None:
        self._index = index
        self._network = network

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram, which may be dropped."""
        self._network.send_datagram(self._index, address[1], data)

    def close(self) -> None:
        """Do nothing."""


class AppliedVersion(NamedTuple):
    """A configuration version that a node applied, and when."""

    at_s: float
    version: int


class Fetch(NamedTuple):
    """A connection that a node opened to fetch missing state.

    :param version: configuration version of the node at that time.
    """

    at_s: float
    node: int
    source: int
    version: int


class LinkNode:
    """The parts of a node that distribute and fetch state, wired as in production."""

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
        self.records = RecordStore(accept=self._accept, clock=clock)
        deltas = {CONFIG_KEY: self.config.codec}
        self.datagrams = Datagrams(_MESH, count=lambda name: None)
        self.datagrams.connection_made(_DatagramTransport(index, network))
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
            on_new_record=lambda record, previous_version: self.spreader.forward_record(
                record, base_version=previous_version
            ),
            clock=clock,
            rng=rng,
            connect=lambda _, port: network.connect(index, port),
            head_key=CONFIG_KEY,
        )
        ranking = MemberRanking(self.membership)
        self.spreader = Spreader(
            membership=self.membership,
            ranking=ranking,
            records=self.records,
            datagrams=self.datagrams,
            deltas=deltas,
            fetch=self.sync.fetch_from,
        )
        self.repeater = RecordRepeater(
            membership=self.membership,
            ranking=ranking,
            records=self.records,
            clock=clock,
            rng=rng,
            send=self.spreader.send_record,
            head_key=CONFIG_KEY,
        )
        self.detector = FailureDetector(
            membership=self.membership,
            records=self.records,
            datagrams=self.datagrams,
            clock=clock,
            rng=rng,
            on_digest=on_digest_callback(self.sync, self.repeater),
            spread=self.spreader.broadcast_member,
            head_key=CONFIG_KEY,
        )

    def apply_initial(self, record: Record) -> None:
        """Apply the initial record and send digests after each later record."""
        self.records.put(record)
        self.applied.clear()
        self.records.subscribe(lambda _: self.detector.schedule_digest_pings())
        self.records.subscribe(self.repeater.schedule)
        self.repeater.schedule(record)

    def applied_at_s(self, version: int) -> float:
        """Return when this node applied a version or a newer one, infinity if never."""
        times = (a.at_s for a in self.applied if a.version >= version)
        return next(times, float("inf"))

    async def serve(self, connection: FrameConnection) -> None:
        """Serve one connection until it ends, as the peer server does."""
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
    """Simulated nodes that know each other, and the links between them.

    ``fetches`` holds every connection that was opened.

    :param speeds: link speed of each node.
    :param zones: number of availability zones; nodes are assigned round-robin.
    """

    def __init__(self, speeds: list[LinkSpeed], *, zones: int) -> None:
        self._zones = zones
        self._up = [Pipe(speed.up_bits_per_s) for speed in speeds]
        self._down = [Pipe(speed.down_bits_per_s) for speed in speeds]
        self._streams = DATAGRAMS
        self._tasks: set[asyncio.Task[None]] = set()
        self.fetches: list[Fetch] = []
        node_count = len(speeds)
        self.members = [
            Member(f"n{i:03d}", _HOST, i, "r", f"z{i % zones}", 1)
            for i in range(node_count)
        ]
        self.nodes = [LinkNode(i, self) for i in range(node_count)]

    @property
    def dropped_datagrams(self) -> int:
        """Number of datagrams dropped because a queue was full."""
        return sum(pipe.dropped_datagrams for pipe in self._up + self._down)

    def stream_bytes(self, node: int) -> int:
        """Return the number of stream bytes that a node's link has transmitted."""
        return self._up[node].sent_stream_bytes

    def datagram_bytes(self, node: int) -> int:
        """Return the number of datagram bytes that a node's link has transmitted."""
        return self._up[node].sent_datagram_bytes

    def set_speed(self, node: int, speed: LinkSpeed) -> None:
        """Change the speed of a node's link."""
        self._up[node].set_speed(speed.up_bits_per_s)
        self._down[node].set_speed(speed.down_bits_per_s)

    def start(self, record: Record) -> None:
        """Apply an initial record on every node and start the failure detectors."""
        for node in self.nodes:
            node.apply_initial(record)
            self._run(node.detector.run())

    def close(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.sync.close()
        for task in self._tasks:
            task.cancel()

    def send_datagram(self, sender: int, target: int, data: bytes) -> None:
        """Send a datagram; drop it if a queue is full."""
        receive = self.nodes[target].datagrams.datagram_received
        self._path(sender, target).send(
            DATAGRAMS,
            len(data) + HEADER_BYTES,
            on_arrived=lambda: receive(data, (_HOST, sender)),
        )

    async def connect(self, client: int, server: int) -> FrameConnection:
        """Open a stream to a node and serve it there."""
        now_s = asyncio.get_running_loop().time()
        version = self.nodes[client].config.snapshot.version
        self.fetches.append(Fetch(now_s, client, server, version))
        client_end, server_end = self.new_stream(client, server)
        opened = asyncio.Event()

        def accept() -> None:
            self._run(self.nodes[server].serve(FrameConnection(server_end)))
            server_end.send_opening(opened.set)

        client_end.send_opening(accept)
        try:
            await opened.wait()
        except asyncio.CancelledError:
            client_end.close()
            raise
        return FrameConnection(client_end)

    def new_stream(self, client: int, server: int) -> tuple[LinkStream, LinkStream]:
        """Return both ends of an open stream, without a handshake."""
        self._streams += 1
        client_end = LinkStream(self._streams, self._path(client, server))
        server_end = LinkStream(self._streams, self._path(server, client))
        client_end.connect_to(server_end)
        server_end.connect_to(client_end)
        return client_end, server_end

    def _path(self, sender: int, target: int) -> Path:
        same_zone = sender % self._zones == target % self._zones
        delay_s = _INTRA_ZONE_DELAY_S if same_zone else _INTER_ZONE_DELAY_S
        return Path(self._up[sender], self._down[target], delay_s)

    def _run(self, coroutine: object) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
