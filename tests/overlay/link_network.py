"""A fleet in virtual time, whose nodes share what they send over a link each."""

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from tornado.iostream import StreamClosedError

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
from burdockdock.protocol.handshake import PeerIdentity, receive_greeting
from tests.virtual_time import LoopClock

_MESH = "m"
_HOST = "h"
_SEGMENT_BYTES = 16 * 1024
# Segments of one stream that left its sender and did not arrive yet.
_WINDOW_SEGMENTS = 4
_DATAGRAM_QUEUE_BYTES = 64 * 1024
# What a datagram, and a segment that opens or ends a stream, takes beside its data.
_HEADER_BYTES = 40
_DELAY_IN_ZONE_S = 0.001
_DELAY_BETWEEN_ZONES_S = 0.003
_DATAGRAMS = 0


class LinkSpeed(NamedTuple):
    """What a link carries, in bits per second; at 0 it stands still."""

    up_bits_per_s: float
    down_bits_per_s: float


class _Packet(NamedTuple):
    """Something on its way.

    :param leave: called when the link has carried it.
    """

    size_bytes: int
    leave: Callable[[], None]


class _Pipe:
    """One direction of a link: flows take turns, of a segment's length each.

    All datagrams are one flow, whose queue is bounded; each stream is one.
    """

    def __init__(self, bits_per_s: float) -> None:
        self._bits_per_s = bits_per_s
        self._flows: dict[int, deque[_Packet]] = {}
        self._turns: deque[int] = deque()
        self._turn_bytes = 0
        self._datagram_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped_datagrams = 0
        self.stream_bytes = 0
        self.datagram_bytes = 0

    def set_speed(self, bits_per_s: float) -> None:
        """Change the speed; a packet that is being carried starts again."""
        self._bits_per_s = bits_per_s
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._carry_next()

    def put(self, flow: int, packet: _Packet) -> None:
        """Queue a packet; a datagram too many is dropped."""
        if flow == _DATAGRAMS:
            if self._datagram_bytes + packet.size_bytes > _DATAGRAM_QUEUE_BYTES:
                self.dropped_datagrams += 1
                return
            self._datagram_bytes += packet.size_bytes
        if flow not in self._flows:
            self._flows[flow] = deque()
            self._turns.append(flow)
        self._flows[flow].append(packet)
        self._carry_next()

    def drop(self, flow: int) -> None:
        """Drop what is queued of a stream; what is being carried goes on."""
        queue = self._flows.get(flow)
        if queue is None:
            return
        carried = self._timer is not None and self._turns[0] == flow
        kept = [queue[0]] if carried else []
        queue.clear()
        queue.extend(kept)
        if not kept:
            self._end_flow(flow)

    def _carry_next(self) -> None:
        if self._timer is not None or not self._turns or not self._bits_per_s:
            return
        packet = self._flows[self._turns[0]][0]
        seconds_s = packet.size_bytes * 8 / self._bits_per_s
        self._timer = asyncio.get_running_loop().call_later(seconds_s, self._carried)

    def _carried(self) -> None:
        self._timer = None
        flow = self._turns[0]
        packet = self._flows[flow].popleft()
        self._count(flow, packet.size_bytes)
        self._turn_bytes += packet.size_bytes
        if not self._flows[flow]:
            self._end_flow(flow)
        elif self._turn_bytes >= _SEGMENT_BYTES:
            self._turns.rotate(-1)
            self._turn_bytes = 0
        self._carry_next()
        packet.leave()

    def _end_flow(self, flow: int) -> None:
        del self._flows[flow]
        if self._turns[0] == flow:
            self._turn_bytes = 0
        self._turns.remove(flow)

    def _count(self, flow: int, size_bytes: int) -> None:
        if flow == _DATAGRAMS:
            self._datagram_bytes -= size_bytes
            self.datagram_bytes += size_bytes
        else:
            self.stream_bytes += size_bytes


class _Path(NamedTuple):
    """The way from one node to another."""

    up: _Pipe
    down: _Pipe
    delay_s: float

    def send(
        self,
        flow: int,
        size_bytes: int,
        *,
        left: Callable[[], None] = lambda: None,
        arrived: Callable[[], None],
    ) -> None:
        """Carry a packet over both links.

        :param left: called when it has left the sender's link.
        """
        loop = asyncio.get_running_loop()
        last = _Packet(size_bytes, arrived)

        def leave() -> None:
            left()
            loop.call_later(self.delay_s, self.down.put, flow, last)

        self.up.put(flow, _Packet(size_bytes, leave))


class LinkStream:
    """One end of a stream, with what a connection uses of a tornado stream."""

    def __init__(self, flow: int, path: _Path) -> None:
        self._flow = flow
        self._path = path
        self._peer: LinkStream | None = None
        self._unsent: deque[bytes] = deque()
        self._under_way = 0
        self._unleft_bytes = 0
        self._written: list[asyncio.Future[None]] = []
        self._received = bytearray()
        self._news = asyncio.Event()
        self._ended = False
        self._closed = False
        self._shut = False
        self._on_close: Callable[[], None] = lambda: None
        self.error: OSError | None = None

    def join(self, peer: "LinkStream") -> None:
        """Connect this end to the other one."""
        self._peer = peer

    def send_opening(self, arrived: Callable[[], None]) -> None:
        """Send the segment that opens this end."""
        self._path.send(self._flow, _HEADER_BYTES, arrived=arrived)

    @property
    def socket(self) -> "LinkStream":
        """The end that can be shut down."""
        return self

    def set_nodelay(self, value: bool) -> None:
        """Do nothing: no byte waits for others here."""

    def set_close_callback(self, callback: Callable[[], None]) -> None:
        """Call a function when the stream is closed."""
        self._on_close = callback

    def closed(self) -> bool:
        """Whether this end is closed, by either side."""
        return self._closed

    async def read_bytes(self, size_bytes: int, *, partial: bool) -> bytes:
        """Return what has arrived, once there is something."""
        assert partial
        while not self._received:
            if self._ended or self._closed:
                self._close_end()
                raise StreamClosedError
            self._news.clear()
            await self._news.wait()
        data = bytes(self._received[:size_bytes])
        del self._received[:size_bytes]
        return data

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Send bytes; the future is done when they, and all before, have left."""
        if self._closed or self._ended:
            raise StreamClosedError
        future = asyncio.get_running_loop().create_future()
        for start in range(0, len(data), _SEGMENT_BYTES):
            self._unsent.append(data[start : start + _SEGMENT_BYTES])
        self._unleft_bytes += len(data)
        self._written.append(future)
        self._pump()
        self._tell_written()
        return future

    def shutdown(self, how: int) -> None:
        """Send nothing more after what was written."""
        assert how == socket.SHUT_WR
        if not self._shut:
            self._shut = True
            self._send_end()

    def close(self) -> None:
        """Close this end; what has not left is lost, and the other end is told."""
        if not self._closed:
            shut = self._shut
            self._close_end()
            if not shut:
                self._send_end()

    def arrive(self, data: bytes) -> None:
        """Take in a segment."""
        if not self._closed:
            self._received += data
            self._news.set()

    def end(self) -> None:
        """Note that the other end sends nothing more, nor reads on."""
        self._ended = True
        self._news.set()
        self._drop_unsent()
        if not self._received:
            # As a tornado stream, whose owner hears of it also while it reads nothing.
            self._close_end()

    def _close_end(self) -> None:
        if not self._closed:
            self._closed = True
            self._news.set()
            self._drop_unsent()
            self._on_close()

    def _drop_unsent(self) -> None:
        self._unsent.clear()
        self._path.up.drop(self._flow)
        for future in self._written:
            if not future.done():
                future.set_exception(StreamClosedError())
                future.exception()
        self._written.clear()

    def _send_end(self) -> None:
        self._path.send(self._flow, _HEADER_BYTES, arrived=self._peer.end)

    def _pump(self) -> None:
        while self._unsent and self._under_way < _WINDOW_SEGMENTS:
            data = self._unsent.popleft()
            self._under_way += 1
            self._path.send(
                self._flow,
                len(data),
                left=lambda data=data: self._left(data),
                arrived=lambda data=data: self._arrived(data),
            )

    def _left(self, data: bytes) -> None:
        self._unleft_bytes -= len(data)
        self._tell_written()

    def _arrived(self, data: bytes) -> None:
        self._under_way -= 1
        self._peer.arrive(data)
        if not self._closed:
            self._pump()

    def _tell_written(self) -> None:
        if self._unleft_bytes:
            return
        for future in self._written:
            if not future.done():
                future.set_result(None)
        self._written.clear()


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
            pass_on=lambda record, before: self.spreader.pass_on_record(
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
            peer = await receive_greeting(connection, self.own)
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
        self._up = [_Pipe(speed.up_bits_per_s) for speed in speeds]
        self._down = [_Pipe(speed.down_bits_per_s) for speed in speeds]
        self._streams = _DATAGRAMS
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
            _DATAGRAMS,
            len(data) + _HEADER_BYTES,
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

    def _path(self, sender: int, target: int) -> _Path:
        same = sender % self._zones == target % self._zones
        delay_s = _DELAY_IN_ZONE_S if same else _DELAY_BETWEEN_ZONES_S
        return _Path(self._up[sender], self._down[target], delay_s)

    def _run(self, coroutine: object) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
