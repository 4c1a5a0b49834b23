"""Tests of the time that connections with tiny chunks get."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.proxy.chunk_pace import ChunkPace, TinyChunkTime


class ChunkPaceTest(testtools.TestCase):
    """Tests of the pauses before chunks."""

    def _total_pause_s(
        self, *, chunks: int, chunk_bytes: int, connections: int
    ) -> float:
        clock = ManualClock()
        shared = TinyChunkTime(clock)
        total_s = 0.0
        paces = [ChunkPace(shared) for _ in range(connections)]
        for _ in range(chunks):
            for pace in paces:
                pause_s = pace.pause_s()
                pace.note_bytes(chunk_bytes)
                clock.advance(pause_s)
                total_s += pause_s
        return total_s

    def test_tiny_chunks_of_all_connections_share_a_rate(self) -> None:
        """Guards against many connections that occupy the processor together."""
        total_s = self._total_pause_s(chunks=10_000, chunk_bytes=1, connections=10)
        self.assertGreater(total_s, 10.0)

    def test_larger_chunks_and_few_ones_are_not_slowed_down(self) -> None:
        for chunks, chunk_bytes in ((10_000, 1024), (200, 1)):
            pause_s = self._total_pause_s(
                chunks=chunks, chunk_bytes=chunk_bytes, connections=2
            )
            self.assertEqual(0.0, pause_s)
