"""Bounds the processor time of connections that send bodies in tiny chunks."""

from burdockdock.clock import Clock

# Seconds of processor time for each chunk, whatever its size: the parser takes several
# turns of the event loop.
_CHUNK_COST_S = 50e-6
# Part of the processor's time for the tiny chunks of all connections together.
_TIME_SHARE = 0.2
# Chunks that a connection may send before their size matters, since a short body in a
# few small chunks is ordinary.
_FREE_CHUNKS = 256
# Chunks that are smaller than this on average are tiny.
_TINY_CHUNK_BYTES = 256
# How many chunks pass between two pauses, so that few chunks need a timer.
_BATCH_CHUNKS = 64
# Bytes that the parser may hold before it delivers them.
_UNDELIVERED_BYTES = 64 * 1024


class TinyChunkTime:
    """Time on the processor that all connections with tiny chunks share."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_at_s = 0.0

    def reserve(self) -> float:
        """Reserve the time of a batch; return how long to wait for it in seconds."""
        now_s = self._clock.monotonic()
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + _BATCH_CHUNKS * _CHUNK_COST_S / _TIME_SHARE
        return start_s - now_s


class ChunkPace:
    """The chunks of one connection."""

    def __init__(self, shared: TinyChunkTime) -> None:
        self._shared = shared
        self._chunks = 0
        self._bytes = 0

    def note_bytes(self, size_bytes: int) -> None:
        """Count bytes of a body that were delivered."""
        self._bytes += size_bytes

    def pause_s(self) -> float:
        """Count a chunk; return how long to wait before it is read."""
        self._chunks += 1
        if self._chunks < _FREE_CHUNKS or self._chunks % _BATCH_CHUNKS:
            return 0.0
        if self._chunks * _TINY_CHUNK_BYTES <= self._bytes + _UNDELIVERED_BYTES:
            return 0.0
        return self._shared.reserve()
