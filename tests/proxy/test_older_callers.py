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
_CHUNKED = b"PUT /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
_LARGE = b"x" * 20_000_000


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
            caller.abort()
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

    async def _is_reset(self, connection: socket.socket) -> None:
        """The end of the connection can't pass for the end of the answer."""
        try:
            data = await _read_all(connection)
        except ConnectionResetError:
            return
        self.fail(f"a clean end of file after {data!r}")

    @async_test
    async def test_an_answer_that_is_broken_off_does_not_look_whole(self) -> None:
        for request in (_KEPT, _PUT):
            forwarder = _Answering(b"ok")
            forwarder.breaks = True
            _, connection, _ = await self._begin(forwarder, request)
            forwarder.ends.set()
            await self._is_reset(connection)

    @async_test
    async def test_an_answer_cut_by_a_fault_does_not_look_whole(self) -> None:
        forwarder = _Answering(b"ok")
        forwarder.fails = True
        _, connection, _ = await self._begin(forwarder, _KEPT)
        forwarder.ends.set()
        await self._is_reset(connection)

    @async_test
    async def test_an_answer_cut_by_a_malformed_body_does_not_look_whole(self) -> None:
        for malformed in (b"no chunk\r\n", b"1" * 100):
            _, connection, _ = await self._begin(_Answering(b"ok"), _CHUNKED)
            await asyncio.get_running_loop().sock_sendall(connection, malformed)
            await self._is_reset(connection)

    @async_test
    async def test_an_answer_cut_by_a_stop_does_not_look_whole(self) -> None:
        listening, connection, _ = await self._begin(_Answering(b"ok"), _KEPT)
        await listening.server.close_all_connections()
        await self._is_reset(connection)

    @async_test
    async def test_a_broken_answer_with_a_length_lacks_its_end(self) -> None:
        forwarder = _Answering(b"ok", ("Content-Length", "9"))
        forwarder.breaks = True
        _, connection, got = await self._begin(forwarder, _KEPT)
        forwarder.ends.set()
        got = await _read_all(connection, got)
        self.assertTrue(got.endswith(b"\r\n\r\nok"), got)

    @async_test
    async def test_a_large_answer_arrives_whole(self) -> None:
        forwarder = _Answering(_LARGE + b"ok")
        forwarder.ends.set()
        listening = listen_for(self, forwarder)
        connection = socket.create_connection((HOST, listening.port))
        self.addCleanup(connection.close)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(connection, _KEPT)
        got = await _read_all(connection)
        self.assertEqual(len(_HEAD) + len(_LARGE) + 2, len(got))
        self.assertTrue(got.endswith(b"xok"))

    @async_test
    async def test_a_whole_answer_arrives_however_late_it_is_read(self) -> None:
        forwarder = _Answering(b"ok")
        listening, connection, got = await self._begin(forwarder, _KEPT)
        forwarder.ends.set()
        await eventually(lambda: not listening.context.open_calls)
        await listening.server.close_all_connections()
        self.assertEqual(_HEAD + b"ok", await _read_all(connection, got))
