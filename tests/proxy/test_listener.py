"""Tests of the HTTP server for callers."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from burdockdock.proxy.listener import CallerServer
from burdockdock.proxy.request_body import MAX_BUFFERED_BODY_BYTES
from tests import streams
from tests.proxy.caller_server import HOST, start_caller_server
from tests.support import PATIENCE_S, async_test, eventually

_LARGE_POST_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"
_ANSWER = b"a whole answer"


class _UnreadBodyForwarder:
    """Reads no request body, and ends when a test says that the caller is gone."""

    def __init__(self) -> None:
        self.caller_gone = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> None:
        """Wait, then raise what a write to a closed connection raises."""
        await self.caller_gone.wait()
        raise asyncio.CancelledError


class _AnsweringForwarder:
    """Sends an answer at once, but finishes it only when a test says so."""

    def __init__(self) -> None:
        self.may_finish = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> None:
        """Send an answer with a Content-Length header."""
        headers = (("Content-Length", str(len(_ANSWER))),)
        await caller.send_head(AnswerHead(200, "OK", headers))
        await caller.send_body(_ANSWER)
        await self.may_finish.wait()
        caller.finish()


class _RefusingForwarder:
    """Refuses every call at once."""

    async def forward(self, call: object, caller: Caller) -> Failure:
        """Refuse a call."""
        return Failure(Verdict.NOT_RUN, "queue_full")


class _IdleConnection:
    """An idle connection, as far as the listener closes it to make room.

    :param idle_since_s: monotonic seconds.
    :param has_input: whether a request has arrived that was not read yet.
    """

    idle = True

    def __init__(self, idle_since_s: float, *, has_input: bool = False) -> None:
        self.idle_rank = (False, idle_since_s)
        self.has_input = lambda: has_input
        self.is_closed = False
        self.stream = self

    def closed(self) -> bool:
        """Return whether the connection was closed."""
        return self.is_closed

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True


class MakeRoomTest(testtools.TestCase):
    """Tests of which connection is closed for a new one."""

    def _server_with(self, *connections: _IdleConnection) -> CallerServer:
        server = start_caller_server(self, _RefusingForwarder()).server
        server.connections.update(connections)
        self.addCleanup(server.connections.clear)
        server.max_connections = len(connections)
        return server

    @async_test
    async def test_connection_with_unread_input_is_kept(self) -> None:
        # Guards against closing a connection whose next request has just arrived.
        sending = _IdleConnection(1.0, has_input=True)
        silent = _IdleConnection(2.0)
        server = self._server_with(sending, silent)
        self.assertTrue(server._make_room())
        self.assertEqual((False, True), (sending.is_closed, silent.is_closed))

    @async_test
    async def test_room_is_made_if_all_connections_have_input(self) -> None:
        connections = [_IdleConnection(float(i), has_input=True) for i in range(2)]
        self.assertTrue(self._server_with(*connections)._make_room())
        self.assertEqual([True, False], [c.is_closed for c in connections])

    @async_test
    async def test_closed_connection_is_awaited_and_makes_room_once(self) -> None:
        # Guards against a stop of the server that doesn't wait for its requests.
        connections = [_IdleConnection(float(i)) for i in range(3)]
        server = self._server_with(*connections)
        self.assertTrue(server._make_room())
        self.assertEqual(set(connections), server.connections)
        server.connections.add(_IdleConnection(3.0))
        self.assertTrue(server._make_room())
        self.assertEqual([True, True, False], [c.is_closed for c in connections])


class ListenerTest(testtools.TestCase):
    """Tests of how callers' connections end."""

    @async_test
    async def test_connection_of_an_ended_call_does_not_wait_for_room(self) -> None:
        forwarder = _UnreadBodyForwarder()
        context, server, port = start_caller_server(self, forwarder)
        _, writer = await streams.open_connection(HOST, port)
        writer.write(_LARGE_POST_HEAD + b"x" * 4 * MAX_BUFFERED_BODY_BYTES)
        await eventually(lambda: context.open_calls)
        # Time for the buffers to fill up, so that the connection waits for room.
        await asyncio.sleep(0.2)
        forwarder.caller_gone.set()
        await eventually(lambda: not context.open_calls)
        # asyncio.timeout would cancel the closing and so hide that it hangs.
        closing = asyncio.create_task(server.close_all_connections())
        done, _ = await asyncio.wait({closing}, timeout=PATIENCE_S)
        self.assertEqual({closing}, done)
        writer.close()

    @async_test
    async def test_refusal_arrives_while_the_body_is_still_sent(self) -> None:
        context, _, port = start_caller_server(self, _RefusingForwarder())
        reader, writer = await streams.open_connection(HOST, port)
        writer.write(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n")
        await eventually(
            lambda: context.metrics.counter("call_failures", label="queue_full")
        )
        for _ in range(4):
            writer.write(b"x" * 1_000_000)
            await writer.drain()
            await asyncio.sleep(0.05)
        answer = await reader.readuntil(b"}")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        writer.close()
        await eventually(lambda: not context.open_calls)

    @async_test
    async def test_caller_that_leaves_after_its_answer_is_not_abandoned(self) -> None:
        context, _, port = start_caller_server(self, _AnsweringForwarder())
        reader, writer = await streams.open_connection(HOST, port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(_ANSWER)
        writer.close()
        await eventually(lambda: not context.open_calls)
        self.assertEqual(0, context.metrics.counter("calls_abandoned"))
