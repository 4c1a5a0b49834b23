"""Tests that callers that exceed the limits end no process and exhaust no VM.

In a trial, such callers filled a node's memory until the process was killed. The tests
check what doesn't depend on the machine's speed: that every process lives, that its
memory and descriptors stay below those of its VM, and that it serves an ordinary
request afterwards.
"""

from collections.abc import Iterable
from itertools import chain

import testtools

from tests.overload.crowd import (
    CHUNKED_HEAD,
    Crowd,
    announced,
    chunks,
    ordinary_request,
    pieces,
    post,
)
from tests.overload.mesh import MAX_FDS, MEMORY_MB, WatchedMesh
from tests.support import async_test

_MB = 1024 * 1024
# Fixed by MEMORY_MB: the bytes that each crowd sends exceed the 50 MB that the VM has
# beside a node at rest.
_CROWD = 300
_LARGE_BYTES = 512 * 1024
_OVER_LIMIT_BYTES = 80 * _MB
_LIMITS = (
    "[limits]\nmax_header_bytes = 16384\nmax_body_bytes = 67108864\n"
    "header_timeout_ms = 3000\nidle_timeout_ms = 15000\n"
)
_HALF_HEAD = b"GET /ordinary HTTP/1.1\r\nHost: a\r\nX-Half: "
_LONGEST_HEAD_BYTES = 16_000
_LONG_LINE = b"GET /ordinary%s HTTP/1.1\r\nHost: a\r\n%s\r\n"
# Each as long as a head may be.
_COSTLY_HEADS = (
    _LONG_LINE % (b"/" * _LONGEST_HEAD_BYTES, b""),
    _LONG_LINE % (b"/a" * (_LONGEST_HEAD_BYTES // 2), b""),
    _LONG_LINE % (b"?" + b"a=1&" * (_LONGEST_HEAD_BYTES // 4), b""),
    _LONG_LINE % (b"/" + b"%2F" * (_LONGEST_HEAD_BYTES // 3), b""),
    _LONG_LINE % (b"", b"A:1\r\n" * (_LONGEST_HEAD_BYTES // 5)),
    _LONG_LINE % (b"", b"Cookie: " + b"a=1;" * (_LONGEST_HEAD_BYTES // 4) + b"\r\n"),
    _LONG_LINE % (b"", b"Connection: " + b"a," * (_LONGEST_HEAD_BYTES // 2) + b"\r\n"),
    _LONG_LINE.replace(b"Host: a", b"Host: " + b"a:" * (_LONGEST_HEAD_BYTES // 2))
    % (b"", b""),
)
_ANSWER_BYTES = 250_000
_UNREAD = b"GET /bytes/%d HTTP/1.1\r\nHost: a\r\n\r\n" % _ANSWER_BYTES


class CrowdsTest(testtools.TestCase):
    """Tests of crowds against a caller's node and a gate's node."""

    async def _check_crowd(
        self,
        parts: Iterable[Iterable[bytes]],
        *,
        limits: str = "",
        max_fds: int = 0,
        reads: bool = True,
    ) -> None:
        """Let a crowd send, and check the processes while its connections are open."""
        mesh = WatchedMesh(limits=limits, config=_LIMITS)
        crowd: Crowd | None = None
        try:
            await mesh.start()
            crowd = Crowd(mesh.port)
            await crowd.send(parts, reads=reads)
            line = await ordinary_request(mesh.port)
            self.assertIn(b" 200 ", line)
            self.assertEqual([], mesh.ended_processes())
            used = (mesh.peak_memory_mb(), mesh.open_fds)
            for name, peak_mb in used[0].items():
                self.assertLess(peak_mb, MEMORY_MB, (name, used))
            for name, count in used[1].items():
                self.assertLess(count, max_fds or 2 * _CROWD, (name, used))
        finally:
            if crowd is not None:
                crowd.close()
            await mesh.stop()

    @async_test
    async def test_bodies_announced_far_over_the_limit(self) -> None:
        await self._check_crowd(
            chain([announced(1 << 39)], pieces(_OVER_LIMIT_BYTES))
            for _ in range(_CROWD)
        )

    @async_test
    async def test_endless_chunked_bodies(self) -> None:
        count = _OVER_LIMIT_BYTES // (64 * 1024)
        await self._check_crowd(
            chain([CHUNKED_HEAD], chunks(count, chunk_bytes=64 * 1024))
            for _ in range(_CROWD)
        )

    @async_test
    async def test_whole_large_bodies(self) -> None:
        await self._check_crowd(
            chain([announced(_LARGE_BYTES)], pieces(_LARGE_BYTES, piece_bytes=_MB))
            for _ in range(_CROWD)
        )

    @async_test
    async def test_large_bodies_that_stop_short(self) -> None:
        """Most callers withhold the end of their body; every tenth sends it."""
        await self._check_crowd(
            chain(
                [announced(_LARGE_BYTES)],
                pieces(_LARGE_BYTES if i % 10 == 0 else _LARGE_BYTES - 1),
            )
            for i in range(_CROWD)
        )

    @async_test
    async def test_large_chunks_that_stop_short(self) -> None:
        count = _LARGE_BYTES // (16 * 1024)
        await self._check_crowd(
            chain(
                [CHUNKED_HEAD],
                chunks(count, chunk_bytes=16 * 1024),
                [b"0\r\n\r\n" if i % 10 == 0 else b""],
            )
            for i in range(_CROWD)
        )

    @async_test
    async def test_tiny_chunks_that_stop_short(self) -> None:
        await self._check_crowd(
            chain([CHUNKED_HEAD], chunks(100_000, chunk_bytes=1, per_write=1000))
            for _ in range(_CROWD // 5)
        )

    @async_test
    async def test_connections_without_a_whole_head(self) -> None:
        """Silent connections and half-sent heads leave descriptors for other callers.

        Without a bound, a node runs out of descriptors, and accepts nobody.
        """
        await self._check_crowd(
            ([] if i % 2 else [_HALF_HEAD] for i in range(_CROWD)),
            limits=f"max_fds = {MAX_FDS}\n",
            max_fds=MAX_FDS,
        )

    @async_test
    async def test_answers_that_are_not_read(self) -> None:
        await self._check_crowd(([_UNREAD * 8] for _ in range(_CROWD)), reads=False)

    @async_test
    async def test_heads_that_are_costly_to_handle(self) -> None:
        # Guards against a process that one path of slashes takes over its memory.
        await self._check_crowd(
            [_COSTLY_HEADS[i % len(_COSTLY_HEADS)]] for i in range(_CROWD)
        )

    @async_test
    async def test_one_body_of_legal_size_in_calm(self) -> None:
        """A bound on all callers' bytes refuses no single request of legal size."""
        mesh = WatchedMesh(
            config=f"{_LIMITS}[route large]\npath = /up\nservice = matchdesk\n"
            "timeout_ms = 60000\n"
        )
        try:
            await mesh.start()
            size = 64 * _MB
            line = await post(mesh.port, announced(size), pieces(size))
            self.assertIn(b" 200 ", line)
            self.assertEqual([], mesh.ended_processes())
            for name, peak_mb in mesh.peak_memory_mb().items():
                self.assertLess(peak_mb, MEMORY_MB, name)
        finally:
            await mesh.stop()
