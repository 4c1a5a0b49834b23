"""Callers that exceed the limits, on plain sockets."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable, Iterator

from tests.support import PATIENCE_S

# How long a crowd sends. It bounds the time of a test, and no verdict depends on it.
_SENDING_S = 3.0
_PIECE_BYTES = 16 * 1024
_SMALL_RECEIVE_BUFFER_BYTES = 4096


def announced(size_bytes: int) -> bytes:
    """Return the head of a request that announces a body."""
    return b"POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size_bytes


CHUNKED_HEAD = b"POST /up HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def pieces(size_bytes: int, *, piece_bytes: int = _PIECE_BYTES) -> Iterator[bytes]:
    """Yield a body in pieces."""
    while size_bytes > 0:
        yield b"x" * min(piece_bytes, size_bytes)
        size_bytes -= piece_bytes


def chunks(count: int, *, chunk_bytes: int, per_write: int = 1) -> Iterator[bytes]:
    """Yield the chunks of a body without the last chunk, several in one write."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    for _ in range(0, count, per_write):
        yield chunk * per_write


class Crowd:
    """Connections of callers, which stay open until the crowd is closed."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._sockets: list[socket.socket] = []

    async def send(
        self, parts: Iterable[Iterable[bytes]], *, reads: bool = True
    ) -> None:
        """Send the parts of each caller at once, on one connection each.

        :param reads: whether the callers read what the node sends.
        """
        tasks = [asyncio.create_task(self._send_one(p, reads=reads)) for p in parts]
        _, pending = await asyncio.wait(tasks, timeout=_SENDING_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()

    async def _send_one(self, parts: Iterable[bytes], *, reads: bool) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        if not reads:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_RECEIVE_BUFFER_BYTES
            )
        # The node may refuse the caller at any moment.
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, ("127.0.0.1", self._port))
            for part in parts:
                await loop.sock_sendall(sock, part)
                await asyncio.sleep(0)
            while reads and await loop.sock_recv(sock, 65536):
                pass


async def ordinary_request(port: int) -> bytes:
    """Send ordinary requests until one is answered; return the answer's status line."""
    line = b""
    async with asyncio.timeout(PATIENCE_S):
        while b" 200 " not in line:
            line = await _request_once(port)
            await asyncio.sleep(0.05)
    return line


async def post(port: int, head: bytes, body: Iterable[bytes]) -> bytes:
    """Send one whole request; return the first line of its answer, empty if none."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            with contextlib.suppress(OSError):
                writer.write(head)
                for part in body:
                    writer.write(part)
                    await writer.drain()
            async with asyncio.timeout(PATIENCE_S):
                return await reader.readline()
        finally:
            writer.close()
    return b""


async def _request_once(port: int) -> bytes:
    head = b"GET /ordinary HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    return await post(port, head, ())
