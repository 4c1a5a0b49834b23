"""Tests of callers of HTTP/1.0, which know an answer's end by the connection's."""

import asyncio
import socket

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from tests.proxy.listening import HOST, Listening, listen_for
from tests.support import PATIENCE_S, async_test, eventually

_KEPT = b"GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
_PUT = b"PUT /x HTTP/1.0\r\nContent-Length: 9\r\n\r\nabc"


class _Answering:
    """Begins an answer, then ends it as a test says."""

    def __init__(self, body: bytes, *headers: tuple[str, str]) -> None:
        self._head = AnswerHead(200, "OK", headers)
        self._body = body
        self.ends = asyncio.Event()
        self.breaks = False
        self.fails = False

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Answer, and wait before the end."""
        await caller.send_head(self._head)
        await caller.send_body(self._body)
        await self.ends.wait()
        if self.fails:
            raise RuntimeError("a fault of this node")
        if self.breaks:
            caller.break_off()
        else:
            caller.finish()
        return None


async def _read_all(connection: socket.socket, already: bytes = b"") -> bytes:
    """Read to a clean end of file."""
    loop = asyncio.get_running_loop()
    data = bytearray(already)
    async with asyncio.timeout(PATIENCE_S):
        while piece := await loop.sock_recv(connection, 65536):
            data += piece
    return bytes(data)


class OlderCallerTest(testtools.TestCase):
    """Tests of the ends of their answers."""

    async def _begin(
        self, forwarder: object, request: bytes
    ) -> tuple[Listening, socket.socket, bytes]:
        """Send a request; return what has come once the answer's body began."""
        listening = listen_for(self, forwarder)
        loop = asyncio.get_running_loop()
        connection = socket.create_connection((HOST, listening.port))
        self.addCleanup(connection.close)
        connection.setblocking(False)
        await loop.sock_sendall(connection, request)
        got = b""
        async with asyncio.timeout(PATIENCE_S):
            while not got.endswith(b"ok"):
                got += await loop.sock_recv(connection, 65536)
        return listening, connection, got

    @async_test
    async def test_an_answer_without_a_length_ends_the_connection(self) -> None:
        # The second request's answer would stand in the body of the first one's.
        forwarder = _Answering(b"ok")
        _, connection, got = await self._begin(forwarder, _KEPT + _KEPT)
        forwarder.ends.set()
        self.assertEqual(_HEAD + b"ok", await _read_all(connection, got))

    @async_test
    async def test_an_answer_with_a_length_leaves_the_connection(self) -> None:
        forwarder = _Answering(b"ok", ("Content-Length", "2"))
        _, connection, got = await self._begin(forwarder, _KEPT)
        self.assertIn(b"Connection: Keep-Alive\r\n", got)
        forwarder.ends.set()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, _KEPT)
        async with asyncio.timeout(PATIENCE_S):
            self.assertIn(b"200 OK", await loop.sock_recv(connection, 65536))

    @async_test
    async def test_an_answer_ends_before_the_rest_of_the_body_came(self) -> None:
        forwarder = _Answering(b"ok")
        listening, connection, got = await self._begin(forwarder, _PUT)
        forwarder.ends.set()
        self.assertEqual(_HEAD + b"ok", await _read_all(connection, got))
        await eventually(lambda: not listening.context.open_calls)
