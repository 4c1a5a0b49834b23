"""Tests of the buffer of a body's chunks."""

import testtools

from burdockdock.protocol.chunk_buffer import ChunkBuffer


class ChunkBufferTest(testtools.TestCase):
    """Tests of the order, the size and the memory of chunks."""

    def test_bytes_keep_their_order(self) -> None:
        buffer = ChunkBuffer()
        chunks = [
            bytes([i % 251]) * size for i, size in enumerate([1, 9000, 3, 1, 5000])
        ]
        for chunk in chunks:
            buffer.append(chunk)
        taken = []
        while buffer:
            taken.append(buffer.take(max_bytes=6000))
        self.assertEqual(b"".join(chunks), b"".join(taken))
        self.assertEqual((0, 0), (buffer.size_bytes, buffer.occupied_bytes))

    def test_small_chunks_are_joined(self) -> None:
        """Guards against the objects of one-byte chunks, 100 bytes each."""
        buffer = ChunkBuffer()
        for _ in range(100_000):
            buffer.append(b"x")
        self.assertLess(len(buffer._pieces), 10)
        self.assertLess(buffer.occupied_bytes, 120_000)

    def test_taking_is_bounded(self) -> None:
        buffer = ChunkBuffer()
        for _ in range(5):
            buffer.append(b"x" * 30_000)
        self.assertEqual(60_000, len(buffer.take()))
        self.assertEqual(90_000, buffer.size_bytes)
