"""Links in virtual time, which all streams and datagrams of a node share."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from tornado.iostream import StreamClosedError

# The flow of all datagrams; streams are counted from the next number on.
DATAGRAMS = 0
# What a datagram, and a segment that opens or ends a stream, takes beside its data.
HEADER_BYTES = 40
_SEGMENT_BYTES = 16 * 1024
# Segments of one stream that left its sender and did not arrive yet.
_WINDOW_SEGMENTS = 4
_DATAGRAM_QUEUE_BYTES = 64 * 1024


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


class Pipe:
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
        if flow == DATAGRAMS:
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
        if flow == DATAGRAMS:
            self._datagram_bytes -= size_bytes
            self.datagram_bytes += size_bytes
        else:
            self.stream_bytes += size_bytes


class Path(NamedTuple):
    """The way from one node to another."""

    up: Pipe
    down: Pipe
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

    def __init__(self, flow: int, path: Path) -> None:
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
        self._path.send(self._flow, HEADER_BYTES, arrived=arrived)

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
        self._path.send(self._flow, HEADER_BYTES, arrived=self._peer.end)

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
