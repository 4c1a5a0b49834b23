"""Tests of HTTP/1.0 callers, for which a close may mark the end of an answer.

An answer that was cut off must therefore end in a reset, not in a clean end of file.
"""

import asyncio
import socket

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from tests.proxy.caller_server import HOST, CallerServer, start_caller_server
from tests.support import PATIENCE_S, async_test, eventually

_GET = b"GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
_PARTIAL_PUT = b"PUT /x HTTP/1.0\r\nContent-Length: 9\r\n\r\nabc"
_PARTIAL_CHUNKED_PUT = (
    b"PUT /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
)
_LARGE = b"x" * 20_000_000


class _ControlledForwarder:
    """Begins an answer, then ends it in the way that a test chooses."""

    def __init__(self, body: bytes, *headers: tuple[str, str]) -> None:
        self._head = AnswerHead(200, "OK", headers)
        self._body = body
        self.may_finish = asyncio.Event()
        self.aborts = False
        self.fails = False

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Send an answer, and wait before ending it."""
        await caller.send_head(self._head)
        await caller.send_body(self._body)
        await self.may_finish.wait()
        if self.fails:
            raise RuntimeError("an exception in this node")
        if self.aborts:
            caller.abort()
        else:
            caller.finish()
        return None


async def _read_all(connection: socket.socket, received: bytes = b"") -> bytes:
    """Read until a clean end of file.

    :returns: the data, after what was already received.
    """
    loop = asyncio.get_running_loop()
    data = bytearray(received)
    async with asyncio.timeout(PATIENCE_S):
        while chunk := await loop.sock_recv(connection, 65536):
            data += chunk
    return bytes(data)


class Http10CallerTest(testtools.TestCase):
    """Tests of how answers to HTTP/1.0 callers end."""

    async def _begin(
        self, forwarder: object, request: bytes
    ) -> tuple[CallerServer, socket.socket, bytes]:
        """Send a request and read until the first bytes of the answer's body."""
        caller_server = start_caller_server(self, forwarder)
        loop = asyncio.get_running_loop()
        connection = socket.create_connection((HOST, caller_server.port))
        self.addCleanup(connection.close)
        connection.setblocking(False)
        await loop.sock_sendall(connection, request)
        got = b""
        async with asyncio.timeout(PATIENCE_S):
            while not got.endswith(b"ok"):
                got += await loop.sock_recv(connection, 65536)
        return caller_server, connection, got

    @async_test
    async def test_an_answer_without_a_length_ends_the_connection(self) -> None:
        # An answer to the second request would be taken for the body of the first.
        forwarder = _ControlledForwarder(b"ok")
        _, connection, got = await self._begin(forwarder, _GET + _GET)
        forwarder.may_finish.set()
        self.assertEqual(_HEAD + b"ok", await _read_all(connection, got))

    @async_test
    async def test_an_answer_with_a_length_keeps_the_connection_open(self) -> None:
        forwarder = _ControlledForwarder(b"ok", ("Content-Length", "2"))
        _, connection, got = await self._begin(forwarder, _GET)
        self.assertIn(b"Connection: Keep-Alive\r\n", got)
        forwarder.may_finish.set()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, _GET)
        async with asyncio.timeout(PATIENCE_S):
            self.assertIn(b"200 OK", await loop.sock_recv(connection, 65536))

    @async_test
    async def test_an_answer_ends_before_the_rest_of_the_body_came(self) -> None:
        forwarder = _ControlledForwarder(b"ok")
        caller_server, connection, got = await self._begin(forwarder, _PARTIAL_PUT)
        forwarder.may_finish.set()
        self.assertEqual(_HEAD + b"ok", await _read_all(connection, got))
        await eventually(lambda: not caller_server.context.open_calls)

    async def _assert_reset(self, connection: socket.socket) -> None:
        """Assert that the connection ends in a reset, not in a clean end of file."""
        try:
            data = await _read_all(connection)
        except ConnectionResetError:
            return
        self.fail(f"a clean end of file after {data!r}")

    @async_test
    async def test_an_aborted_answer_does_not_look_whole(self) -> None:
        for request in (_GET, _PARTIAL_PUT):
            forwarder = _ControlledForwarder(b"ok")
            forwarder.aborts = True
            _, connection, _ = await self._begin(forwarder, request)
            forwarder.may_finish.set()
            await self._assert_reset(connection)

    @async_test
    async def test_an_answer_cut_by_an_exception_does_not_look_whole(self) -> None:
        forwarder = _ControlledForwarder(b"ok")
        forwarder.fails = True
        _, connection, _ = await self._begin(forwarder, _GET)
        forwarder.may_finish.set()
        await self._assert_reset(connection)

    @async_test
    async def test_an_answer_cut_by_a_malformed_body_does_not_look_whole(self) -> None:
        for malformed in (b"no chunk\r\n", b"1" * 100):
            _, connection, _ = await self._begin(
                _ControlledForwarder(b"ok"), _PARTIAL_CHUNKED_PUT
            )
            await asyncio.get_running_loop().sock_sendall(connection, malformed)
            await self._assert_reset(connection)

    @async_test
    async def test_an_answer_cut_by_a_stop_does_not_look_whole(self) -> None:
        caller_server, connection, _ = await self._begin(
            _ControlledForwarder(b"ok"), _GET
        )
        await caller_server.server.close_all_connections()
        await self._assert_reset(connection)

    @async_test
    async def test_an_aborted_answer_with_a_length_lacks_its_end(self) -> None:
        forwarder = _ControlledForwarder(b"ok", ("Content-Length", "9"))
        forwarder.aborts = True
        _, connection, got = await self._begin(forwarder, _GET)
        forwarder.may_finish.set()
        got = await _read_all(connection, got)
        self.assertTrue(got.endswith(b"\r\n\r\nok"), got)

    @async_test
    async def test_a_large_answer_arrives_whole(self) -> None:
        forwarder = _ControlledForwarder(_LARGE + b"ok")
        forwarder.may_finish.set()
        caller_server = start_caller_server(self, forwarder)
        connection = socket.create_connection((HOST, caller_server.port))
        self.addCleanup(connection.close)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(connection, _GET)
        got = await _read_all(connection)
        self.assertEqual(len(_HEAD) + len(_LARGE) + 2, len(got))
        self.assertTrue(got.endswith(b"xok"))

    @async_test
    async def test_a_whole_answer_arrives_however_late_it_is_read(self) -> None:
        forwarder = _ControlledForwarder(b"ok")
        caller_server, connection, got = await self._begin(forwarder, _GET)
        forwarder.may_finish.set()
        await eventually(lambda: not caller_server.context.open_calls)
        await caller_server.server.close_all_connections()
        self.assertEqual(_HEAD + b"ok", await _read_all(connection, got))
