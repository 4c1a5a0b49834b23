"""Tests that each call ends, and that nothing stays of it."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace

import eliot
import testtools
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from burdockdock.clock import SystemClock
from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure
from burdockdock.metrics import Metrics
from burdockdock.protocol import FrameConnection, frame
from burdockdock.protocol.calls import AnswerHead, CallRequest, frame_answer_head
from burdockdock.protocol.handshake import PeerIdentity, accept_handshake
from burdockdock.proxy.call import Call, Caller
from burdockdock.proxy.forwarder import Forwarder
from burdockdock.proxy.peer_link import PeerLinks
from burdockdock.standin.local_fleet import free_port
from tests import streams
from tests.proxy.listening import HOST, REQUEST, listen_for
from tests.support import async_test, eventually

_LONG_S = 3.0


class _Answering:
    """Begins an answer, then does what a test says."""

    def __init__(self, head: AnswerHead) -> None:
        self._head = head
        self.goes_on = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Answer with a head and two bytes."""
        await caller.send_head(self._head)
        await caller.send_body(b"ok")
        await self.goes_on.wait()
        caller.finish()
        return None


class CallerSideTest(testtools.TestCase):
    """Tests of the listener's end of a request."""

    async def _exchange(
        self,
        head: AnswerHead,
        request: bytes,
        *,
        goes_on: bool = True,
        **options: Callable[..., object],
    ) -> tuple[SimpleNamespace, _Answering, asyncio.StreamReader, object]:
        forwarder = _Answering(head)
        if goes_on:
            forwarder.goes_on.set()
        listening = listen_for(self, forwarder, **options)
        reader, writer = await streams.open_connection(HOST, listening.port)
        writer.write(request)
        return listening.context, forwarder, reader, writer

    async def _hears_an_end(
        self, head: AnswerHead, **options: Callable[..., object]
    ) -> None:
        """An answer that can't be sent ends the connection at least."""
        request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        found = await self._exchange(head, request, **options)
        async with asyncio.timeout(_LONG_S):
            data = await found[2].read(65536)
            while data and not data.endswith(b"ok"):
                more = await found[2].read(65536)
                data = data + more if more else b""
        found[3].close()

    @async_test
    async def test_an_answer_whose_length_is_no_number(self) -> None:
        await self._hears_an_end(AnswerHead(200, "OK", (("Content-Length", "2, 2"),)))

    @async_test
    async def test_an_answer_with_a_line_that_is_no_header(self) -> None:
        await self._hears_an_end(AnswerHead(200, "OK", (("A b", "c"),)))

    @async_test
    async def test_an_answer_with_a_value_that_no_header_has(self) -> None:
        await self._hears_an_end(AnswerHead(200, "OK", (("A", "b\x00c"),)))

    @async_test
    async def test_an_answer_longer_than_its_length(self) -> None:
        await self._hears_an_end(AnswerHead(200, "OK", (("Content-Length", "1"),)))

    @async_test
    async def test_a_fault_of_this_node_is_answered(self) -> None:
        def fail(*_: object) -> None:
            raise RuntimeError("a fault of this node")

        await self._hears_an_end(AnswerHead(200, "OK", ()), make_call=fail)

    def _ends_logged(self) -> list[dict]:
        """Return the list to which each end of a call that is logged is added."""
        ends = []

        def take(event: dict) -> None:
            if event.get("message_type") == "call.ended":
                ends.append(event)

        eliot.add_destinations(take)
        self.addCleanup(eliot.remove_destination, take)
        ends.clear()
        return ends

    @async_test
    async def test_an_answer_shorter_than_its_length_is_logged_once(self) -> None:
        ends = self._ends_logged()
        head = AnswerHead(200, "OK", (("Content-Length", "9"),))
        request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        context, _, reader, _ = await self._exchange(head, request)
        self.assertTrue((await reader.read()).endswith(b"ok"))
        await eventually(lambda: not context.open_calls)
        self.assertEqual(["node_fault"], [end["reason"] for end in ends])

    @async_test
    async def test_a_fault_of_which_nobody_hears_is_logged_once(self) -> None:
        ends = self._ends_logged()

        class Failing:
            async def forward(self, call: object, caller: Caller) -> None:
                (connection,) = server._connections
                connection.stream.close()
                raise RuntimeError("a fault of this node")

        context, server, port = listen_for(self, Failing())
        _, writer = await streams.open_connection(HOST, port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        await eventually(lambda: context.metrics.counter("calls_faulted"))
        await eventually(lambda: not context.open_calls)
        self.assertEqual(1, len(ends))

    @async_test
    async def test_a_caller_that_left_at_once_leaves_no_open_call(self) -> None:
        listening = listen_for(self, _Answering(AnswerHead(200, "OK", ())))
        _, writer = await streams.open_connection(HOST, listening.port)
        await asyncio.sleep(0.05)
        # All of it is there before the node reads: it was busy meanwhile.
        writer.write(b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
        writer.transport.close()
        await asyncio.sleep(0.3)
        self.assertEqual(0, listening.context.open_calls)

    @async_test
    async def test_the_end_of_a_chunked_answer_does_not_wait_for_the_body(self) -> None:
        request = b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"
        found = await self._exchange(AnswerHead(200, "OK", ()), request)
        async with asyncio.timeout(0.5):
            await found[2].readuntil(b"\r\n0\r\n\r\n")
        found[3].close()

    @async_test
    async def test_nothing_stands_in_the_middle_of_an_answer(self) -> None:
        request = b"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        head = AnswerHead(200, "OK", (("Content-Length", "100"),))
        found = await self._exchange(head, request + b"1\r\na\r\n", goes_on=False)
        await found[2].readuntil(b"ok")
        found[3].write(b"no chunk\r\n")
        rest = await found[2].read()
        self.assertEqual(b"", rest)


class _Caller:
    """A caller that notes the end of its answer."""

    def __init__(self, *, sends: bool) -> None:
        self.broken = False
        self._sends = sends

    async def read_body(self) -> tuple[bytes, bool]:
        """Return that there is no body, or wait for one that does not come."""
        if not self._sends:
            await asyncio.Event().wait()
        return b"", True

    async def send_head(self, head: AnswerHead) -> None:
        """Take the head."""

    async def send_body(self, data: bytes) -> None:
        """Take a piece."""

    def finish(self) -> None:
        """End a whole answer."""

    def abort(self) -> None:
        """Note that the answer was broken off."""
        self.broken = True


class _OtherNode:
    """A node that greets, then sends what a test says and falls silent."""

    def __init__(self, *, greets: bool = True, frames: tuple[bytes, ...] = ()) -> None:
        self._greets = greets
        self._frames = frames
        self.port = 0
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen."""
        node = self

        class Server(TCPServer):
            async def handle_stream(self, stream: IOStream, address: tuple) -> None:
                await node._serve(stream)

        self.port = free_port()
        self._server = Server()
        self._server.listen(self.port, address=HOST)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    async def _serve(self, stream: IOStream) -> None:
        if not self._greets:
            await asyncio.sleep(60)
        connection = FrameConnection(stream)
        await accept_handshake(connection, PeerIdentity("m", "b", 1))
        await connection.read()
        for data in self._frames:
            connection.send(data)
        await asyncio.sleep(60)


class SilentNodeTest(testtools.TestCase):
    """Tests of calls to a node that is gone without closing its connections."""

    async def _forward(
        self, other: _OtherNode, *, request: CallRequest = REQUEST
    ) -> tuple[object, _Caller, float]:
        """Forward a call of half a second; return its end and what it took."""
        await other.start()
        member = Member("b", HOST, other.port, "r", "z", 1)
        links = PeerLinks(PeerIdentity("m", "a", 1), count=lambda _: None)
        clock = SystemClock()
        forwarder = Forwarder(
            links=links,
            endpoints=SimpleNamespace(for_call=lambda *_, **__: [member]),
            balancer=SimpleNamespace(
                pick=lambda *_, **__: member,
                started=lambda _: None,
                finished=lambda *_, **__: None,
                tell_load=lambda *_: None,
            ),
            clock=clock,
            metrics=Metrics(),
            retry_budget=FleetRetryBudget(share=0.1, reserve=1, nodes=lambda: 1),
        )
        started_s = clock.monotonic()
        call = Call(request, started_s + 0.5, 0)
        caller = _Caller(sends=not request.body_length)
        run = asyncio.create_task(forwarder.forward(call, caller))
        done, _ = await asyncio.wait({run}, timeout=_LONG_S + 2)
        took_s = clock.monotonic() - started_s
        run.cancel()
        links.close()
        other.stop()
        return (run.result() if done else "no end"), caller, took_s

    @async_test
    async def test_an_answer_that_stops_in_its_middle_ends_with_its_time(self) -> None:
        head = frame_answer_head(1, AnswerHead(200, "OK", (), b"begin"))
        end, caller, took_s = await self._forward(_OtherNode(frames=(head,)))
        self.assertTrue(caller.broken, end)
        self.assertLess(took_s, 1.5)

    @async_test
    async def test_a_greeting_that_does_not_come_ends_with_the_calls_time(self) -> None:
        end, _, took_s = await self._forward(_OtherNode(greets=False))
        self.assertLess(took_s, 1.0, end)

    @async_test
    async def test_a_message_that_can_not_be_taken_in_ends_the_link(self) -> None:
        bad = frame("callFailed", callId=1, verdict=77, reason="x")
        end, _, took_s = await self._forward(_OtherNode(frames=(bad,)))
        self.assertIsInstance(end, Failure)
        self.assertEqual("peer_connection_broken", end.reason)

    @async_test
    async def test_a_body_that_does_not_come_ends_with_the_calls_time(self) -> None:
        request = REQUEST._replace(body_length=9, end=False)
        end, _, took_s = await self._forward(_OtherNode(), request=request)
        self.assertLess(took_s, 1.0, end)
