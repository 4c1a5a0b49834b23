"""Tests of backend servers that send bytes without end that are no answer."""

import asyncio
from pathlib import Path

import testtools

from burdockdock.gate.curl_client import CurlClient
from burdockdock.gate.transfer import BackendRequest
from tests.gate.backend_servers import start_backend
from tests.support import async_test

_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What is sent first, and what is then repeated.
_ENDLESS = {
    "bytes before a head": (b"", b"\x01\x02junk" * 10_000),
    "lines before a head": (b"", b"junk\r\n" * 10_000),
    "empty lines": (b"", b"\r\n" * 30_000),
    "status line": (b"HTTP/1.1 200 ", b"O" * 65_536),
    "header line": (b"HTTP/1.1 200 OK\r\nX-A: ", b"b" * 65_536),
    "interim answers": (b"", b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" * 1500),
    "chunk length": (_CHUNKED, b"0" * 65_536),
    "chunk extension": (_CHUNKED + b"5;", b"e" * 65_536),
    "trailers": (_CHUNKED + b"0\r\n", b"X-A: b\r\n" * 4000),
    "trailer line": (_CHUNKED + b"0\r\nX-A: ", b"b" * 65_536),
    "after the answer": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"b" * 65_536,
    ),
}
_SENT_BYTES = 128 * 1024 * 1024
# A quarter of what is sent, a share of the memory of the smallest machine.
_MAX_KEPT_BYTES = _SENT_BYTES // 4
_PAGE_BYTES = 4096


def _resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * _PAGE_BYTES


class _EndlessServer:
    """Sends a start and then a block again and again, up to a limit."""

    def __init__(self, start: bytes, block: bytes) -> None:
        self._start = start
        self._block = block

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._start)
        try:
            for _ in range(_SENT_BYTES // len(self._block)):
                writer.write(self._block)
                await writer.drain()
        except ConnectionError:
            return
        writer.close()


async def _start_server(start: bytes, block: bytes) -> BackendRequest:
    """Start a server that sends such bytes; return a request to it."""
    port = await start_backend(_EndlessServer(start, block).serve)
    return BackendRequest("GET", f"http://127.0.0.1:{port}/", [], 0, 60_000, True)


class EndlessBytesTest(testtools.TestCase):
    """Tests of the memory that such bytes take at the node that called."""

    async def _kept_bytes(self, start: bytes, block: bytes) -> int:
        request = await _start_server(start, block)
        client = CurlClient()
        before_bytes = _resident_bytes()
        transfer = client.start(request)
        try:
            await transfer.head()
            while isinstance(await transfer.read_body(), bytes):
                pass
            return _resident_bytes() - before_bytes
        finally:
            client.close()

    @async_test
    async def test_memory_is_bounded(self) -> None:
        # Guards against a node that runs out of memory with all its callers' requests.
        for name, (start, block) in _ENDLESS.items():
            kept_bytes = await self._kept_bytes(start, block)
            self.assertLess(kept_bytes, _MAX_KEPT_BYTES, name)

    @async_test
    async def test_body_that_nobody_reads_is_not_kept(self) -> None:
        request = await _start_server(b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 65_536)
        client = CurlClient()
        before_bytes = _resident_bytes()
        transfer = client.start(request)
        await transfer.head()
        await asyncio.sleep(0.5)
        self.assertLess(_resident_bytes() - before_bytes, _MAX_KEPT_BYTES)
        client.close()
