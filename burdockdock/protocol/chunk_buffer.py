"""Buffer of a body's chunks that joins small ones and knows what it occupies."""

from collections import deque

# Chunks below this size are joined: the objects of a one-byte chunk take 100 bytes.
_SMALL_BYTES = 4 * 1024
_JOINED_BYTES = 16 * 1024
# Most bytes that are taken at once.
MAX_TAKEN_BYTES = 64 * 1024
_PIECE_OVERHEAD_BYTES = 64


class ChunkBuffer:
    """Bytes in the order of their arrival.

    ``size_bytes`` is the number of bytes, and ``occupied_bytes`` the memory that they
    take.
    """

    def __init__(self) -> None:
        self._pieces: deque[bytes | bytearray] = deque()
        self.size_bytes = 0

    def __bool__(self) -> bool:
        """Return whether there are any bytes."""
        return bool(self._pieces)

    @property
    def occupied_bytes(self) -> int:
        """Memory of the pieces; a bytearray that grows reserves an eighth more."""
        overhead_bytes = _PIECE_OVERHEAD_BYTES * len(self._pieces)
        return self.size_bytes + self.size_bytes // 8 + overhead_bytes

    def append(self, data: bytes) -> None:
        """Add a chunk at the end."""
        if not data:
            return
        self.size_bytes += len(data)
        if len(data) >= _SMALL_BYTES:
            self._pieces.append(data)
            return
        last = self._pieces[-1] if self._pieces else None
        if isinstance(last, bytearray) and len(last) < _JOINED_BYTES:
            last += data
        else:
            self._pieces.append(bytearray(data))

    def take(self, *, max_bytes: int = MAX_TAKEN_BYTES) -> bytes:
        """Remove and return the first bytes, at least one piece.

        :param max_bytes: bound that only a single longer chunk exceeds.
        """
        if not self._pieces:
            return b""
        taken = [self._pieces.popleft()]
        size_bytes = len(taken[0])
        while self._pieces and size_bytes + len(self._pieces[0]) <= max_bytes:
            size_bytes += len(self._pieces[0])
            taken.append(self._pieces.popleft())
        self.size_bytes -= size_bytes
        return bytes(taken[0]) if len(taken) == 1 else b"".join(taken)

    def clear(self) -> None:
        """Remove all bytes."""
        self._pieces.clear()
        self.size_bytes = 0
