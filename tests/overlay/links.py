"""Simulated network links in virtual time.

All streams and datagrams of a node share its link.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from tornado.iostream import StreamClosedError

# Flow id shared by all datagrams; stream ids start at the next number.
DATAGRAMS = 0
# Overhead of a datagram; also the size of a segment that opens or ends a stream.
HEADER_BYTES = 40
_SEGMENT_BYTES = 16 * 1024
# Maximum number of segments in flight per stream.
_MAX_SEGMENTS_IN_FLIGHT = 4
_DATAGRAM_QUEUE_BYTES = 64 * 1024


class LinkSpeed(NamedTuple):
    """Bandwidth of a link in bits per second; 0 stops the link."""

    up_bits_per_s: float
    down_bits_per_s: float


class _Packet(NamedTuple):
    """A queued packet.

    :param on_sent: called when the link has transmitted the packet.
    """

    size_bytes: int
    on_sent: Callable[[], None]


class Pipe:
    """One direction of a link, shared by its flows in round-robin order.

    A flow transmits up to one segment per turn. Each stream is a flow; all datagrams
    together are one flow, whose queue is bounded.
    """

    def __init__(self, bits_per_s: float) -> None:
        self._bits_per_s = bits_per_s
        self._flows: dict[int, deque[_Packet]] = {}
        self._round_robin: deque[int] = deque()
        self._turn_bytes = 0
        self._queued_datagram_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped_datagrams = 0
        self.sent_stream_bytes = 0
        self.sent_datagram_bytes = 0

    def set_speed(self, bits_per_s: float) -> None:
        """Change the bandwidth and restart the packet in transmission."""
        self._bits_per_s = bits_per_s
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._transmit_next()

    def enqueue(self, flow: int, packet: _Packet) -> None:
        """Queue a packet; drop a datagram if its queue is full."""
        if flow == DATAGRAMS:
            if self._queued_datagram_bytes + packet.size_bytes > _DATAGRAM_QUEUE_BYTES:
                self.dropped_datagrams += 1
                return
            self._queued_datagram_bytes += packet.size_bytes
        if flow not in self._flows:
            self._flows[flow] = deque()
            self._round_robin.append(flow)
        self._flows[flow].append(packet)
        self._transmit_next()

    def drop(self, flow: int) -> None:
        """Drop the queued packets of a flow, except the one in transmission."""
        queue = self._flows.get(flow)
        if queue is None:
            return
        is_transmitting = self._timer is not None and self._round_robin[0] == flow
        kept = [queue[0]] if is_transmitting else []
        queue.clear()
        queue.extend(kept)
        if not kept:
            self._end_flow(flow)

    def _transmit_next(self) -> None:
        if self._timer is not None or not self._round_robin or not self._bits_per_s:
            return
        packet = self._flows[self._round_robin[0]][0]
        transmission_s = packet.size_bytes * 8 / self._bits_per_s
        self._timer = asyncio.get_running_loop().call_later(
            transmission_s, self._on_transmitted
        )

    def _on_transmitted(self) -> None:
        self._timer = None
        flow = self._round_robin[0]
        packet = self._flows[flow].popleft()
        self._count_sent(flow, packet.size_bytes)
        self._turn_bytes += packet.size_bytes
        if not self._flows[flow]:
            self._end_flow(flow)
        elif self._turn_bytes >= _SEGMENT_BYTES:
            self._round_robin.rotate(-1)
            self._turn_bytes = 0
        self._transmit_next()
        packet.on_sent()

    def _end_flow(self, flow: int) -> None:
        del self._flows[flow]
        if self._round_robin[0] == flow:
            self._turn_bytes = 0
        self._round_robin.remove(flow)

    def _count_sent(self, flow: int, size_bytes: int) -> None:
        if flow == DATAGRAMS:
            self._queued_datagram_bytes -= size_bytes
            self.sent_datagram_bytes += size_bytes
        else:
            self.sent_stream_bytes += size_bytes


class Path(NamedTuple):
    """One-way path between two nodes: uplink, delay and downlink."""

    up: Pipe
    down: Pipe
    delay_s: float

    def send(
        self,
        flow: int,
        size_bytes: int,
        *,
        on_sent: Callable[[], None] = lambda: None,
        on_arrived: Callable[[], None],
    ) -> None:
        """Send a packet over both links.

        :param on_sent: called when the sender's link has transmitted the packet.
        :param on_arrived: called when the receiver's link has transmitted it.
        """
        loop = asyncio.get_running_loop()
        last_hop = _Packet(size_bytes, on_arrived)

        def sent() -> None:
            on_sent()
            loop.call_later(self.delay_s, self.down.enqueue, flow, last_hop)

        self.up.enqueue(flow, _Packet(size_bytes, sent))


class LinkStream:
    """One end of a stream.

    Implements the part of the interface of a tornado stream that connections use.
    """

    def __init__(self, flow: int, path: Path) -> None:
        self._flow = flow
        self._path = path
        self._peer: LinkStream | None = None
        self._unsent: deque[bytes] = deque()
        self._segments_in_flight = 0
        self._untransmitted_bytes = 0
        self._write_futures: list[asyncio.Future[None]] = []
        self._received = bytearray()
        self._state_changed = asyncio.Event()
        self._peer_ended = False
        self._closed = False
        self._write_ended = False
        self._on_close: Callable[[], None] = lambda: None
        self.error: OSError | None = None

    def connect_to(self, peer: "LinkStream") -> None:
        """Set the other end of the stream."""
        self._peer = peer

    def send_opening(self, on_arrived: Callable[[], None]) -> None:
        """Send the segment that opens the stream."""
        self._path.send(self._flow, HEADER_BYTES, on_arrived=on_arrived)

    @property
    def socket(self) -> "LinkStream":
        """This object, which also implements ``shutdown`` of the socket."""
        return self

    def set_nodelay(self, value: bool) -> None:
        """Do nothing: the simulation never delays small segments."""

    def set_close_callback(self, callback: Callable[[], None]) -> None:
        """Set the function to call when the stream is closed."""
        self._on_close = callback

    def closed(self) -> bool:
        """Return whether either side closed the stream."""
        return self._closed

    async def read_bytes(self, size_bytes: int, *, partial: bool) -> bytes:
        """Return received bytes, after waiting for at least one."""
        assert partial
        while not self._received:
            if self._peer_ended or self._closed:
                self._mark_closed()
                raise StreamClosedError
            self._state_changed.clear()
            await self._state_changed.wait()
        data = bytes(self._received[:size_bytes])
        del self._received[:size_bytes]
        return data

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Send bytes.

        :returns: a future that is done when these and all earlier bytes have been
            transmitted.
        """
        if self._closed or self._peer_ended:
            raise StreamClosedError
        future = asyncio.get_running_loop().create_future()
        for start in range(0, len(data), _SEGMENT_BYTES):
            self._unsent.append(data[start : start + _SEGMENT_BYTES])
        self._untransmitted_bytes += len(data)
        self._write_futures.append(future)
        self._send_segments()
        self._complete_writes()
        return future

    def shutdown(self, how: int) -> None:
        """End the stream in this direction after all written bytes."""
        assert how == socket.SHUT_WR
        if not self._write_ended:
            self._write_ended = True
            self._send_end()

    def close(self) -> None:
        """Close this end, discard unsent bytes and notify the other end."""
        if not self._closed:
            shut = self._write_ended
            self._mark_closed()
            if not shut:
                self._send_end()

    def receive(self, data: bytes) -> None:
        """Receive a segment."""
        if not self._closed:
            self._received += data
            self._state_changed.set()

    def receive_end(self) -> None:
        """Handle the end of the other side, which neither sends nor reads any more."""
        self._peer_ended = True
        self._state_changed.set()
        self._drop_unsent()
        if not self._received:
            # As in tornado, the close callback runs even if no read is pending.
            self._mark_closed()

    def _mark_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self._state_changed.set()
            self._drop_unsent()
            self._on_close()

    def _drop_unsent(self) -> None:
        self._unsent.clear()
        self._path.up.drop(self._flow)
        for future in self._write_futures:
            if not future.done():
                future.set_exception(StreamClosedError())
                future.exception()
        self._write_futures.clear()

    def _send_end(self) -> None:
        self._path.send(self._flow, HEADER_BYTES, on_arrived=self._peer.receive_end)

    def _send_segments(self) -> None:
        while self._unsent and self._segments_in_flight < _MAX_SEGMENTS_IN_FLIGHT:
            data = self._unsent.popleft()
            self._segments_in_flight += 1
            self._path.send(
                self._flow,
                len(data),
                on_sent=lambda data=data: self._on_segment_sent(data),
                on_arrived=lambda data=data: self._on_segment_arrived(data),
            )

    def _on_segment_sent(self, data: bytes) -> None:
        self._untransmitted_bytes -= len(data)
        self._complete_writes()

    def _on_segment_arrived(self, data: bytes) -> None:
        self._segments_in_flight -= 1
        self._peer.receive(data)
        if not self._closed:
            self._send_segments()

    def _complete_writes(self) -> None:
        if self._untransmitted_bytes:
            return
        for future in self._write_futures:
            if not future.done():
                future.set_result(None)
        self._write_futures.clear()
