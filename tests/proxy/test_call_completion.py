"""Tests that every call ends, is logged once and leaves nothing open."""

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
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.metrics import Metrics
from burdockdock.protocol import FrameConnection, frame
from burdockdock.protocol.calls import AnswerHead, CallRequest, frame_answer_head
from burdockdock.protocol.handshake import PeerIdentity, accept_handshake
from burdockdock.proxy.call import Call, Caller
from burdockdock.proxy.forwarder import Forwarder
from burdockdock.proxy.peer_link import PeerLinks
from burdockdock.standin.local_fleet import free_port
from tests import streams
from tests.proxy.caller_server import HOST, REQUEST, start_caller_server
from tests.support import async_test, eventually

_HANG_TIMEOUT_S = 3.0
_MALFORMED_FIELDS = (
    ("A b", "c"),
    ("A ", "b"),
    ("A\t", "b"),
    (" A", "b"),
    ("", "b"),
    ("A\x01", "b"),
    ("\xc4", "b"),
    ("A", "b\x01c"),
    ("A", "b\rC: d"),
    ("A", "b\x7f"),
    ("A", "\u0100"),
)


class _AnsweringForwarder:
    """Begins an answer, and finishes it when a test says so."""

    def __init__(self, head: AnswerHead) -> None:
        self._head = head
        self.may_finish = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Send a head and two bytes of an answer."""
        await caller.send_head(self._head)
        await caller.send_body(b"ok")
        await self.may_finish.wait()
        caller.finish()
        return None


class CallerConnectionTest(testtools.TestCase):
    """Tests of the connection between the caller and the listener."""

    async def _send_request(
        self,
        head: AnswerHead,
        request: bytes,
        *,
        may_finish: bool = True,
        **options: Callable[..., object],
    ) -> tuple[SimpleNamespace, _AnsweringForwarder, asyncio.StreamReader, object]:
        forwarder = _AnsweringForwarder(head)
        if may_finish:
            forwarder.may_finish.set()
        caller_server = start_caller_server(self, forwarder, **options)
        reader, writer = await streams.open_connection(HOST, caller_server.port)
        writer.write(request)
        return caller_server.context, forwarder, reader, writer

    async def _assert_answer_ends(
        self, head: AnswerHead, **options: Callable[..., object]
    ) -> None:
        """Assert that a caller gets the answer's body or the end of the connection."""
        request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        found = await self._send_request(head, request, **options)
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            data = await found[2].read(65536)
            while data and not data.endswith(b"ok"):
                more = await found[2].read(65536)
                data = data + more if more else b""
        found[3].close()

    @async_test
    async def test_answer_with_an_invalid_length(self) -> None:
        await self._assert_answer_ends(
            AnswerHead(200, "OK", (("Content-Length", "2, 2"),))
        )

    @async_test
    async def test_caller_gets_no_invalid_status(self) -> None:
        for status in (0, 99, 100, 199, 600, 700, 999):
            head = AnswerHead(status, "Odd", (("Content-Length", "2"),))
            request = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            _, _, reader, _ = await self._send_request(head, request)
            async with asyncio.timeout(_HANG_TIMEOUT_S):
                data = await reader.read()
            self.assertTrue(data.startswith(b"HTTP/1.1 502 "), (status, data))

    @async_test
    async def test_caller_gets_no_malformed_field(self) -> None:
        for field in _MALFORMED_FIELDS:
            head = AnswerHead(200, "OK", (field, ("Content-Length", "2")))
            request = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            _, _, reader, _ = await self._send_request(head, request)
            async with asyncio.timeout(_HANG_TIMEOUT_S):
                data = await reader.read()
            self.assertTrue(data.startswith(b"HTTP/1.1 502 "), (field, data))

    @async_test
    async def test_caller_gets_no_control_character_in_the_reason(self) -> None:
        for reason in ("O\x01K", "\x7f", "OK\r\nX-A: a", "OK\nX-A: a"):
            head = AnswerHead(200, reason, (("Content-Length", "2"),))
            request = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            _, _, reader, _ = await self._send_request(head, request)
            async with asyncio.timeout(_HANG_TIMEOUT_S):
                data = await reader.read()
            self.assertTrue(data.startswith(b"HTTP/1.1 502 "), (reason, data))

    @async_test
    async def test_caller_gets_valid_fields(self) -> None:
        fields = (
            ("!#$%&'*+-.^_`|~09AZaz", "a"),
            ("X-A", ""),
            ("X-B", "a\tb \xff"),
            ("X-C", "\xa0a\x85"),
            ("Content-Length", "2"),
        )
        request = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        head = AnswerHead(200, "OK", fields)
        _, _, reader, _ = await self._send_request(head, request)
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            data = await reader.read()
        self.assertTrue(data.startswith(b"HTTP/1.1 200 OK\r\n"), data)
        lines = data.lower().split(b"\r\n")
        for name, value in fields:
            line = f"{name}: {value}".lower().encode("latin-1")
            self.assertIn(line, lines)

    @async_test
    async def test_answer_with_an_invalid_header_name(self) -> None:
        await self._assert_answer_ends(AnswerHead(200, "OK", (("A b", "c"),)))

    @async_test
    async def test_answer_with_an_invalid_header_value(self) -> None:
        await self._assert_answer_ends(AnswerHead(200, "OK", (("A", "b\x00c"),)))

    @async_test
    async def test_answer_longer_than_its_length(self) -> None:
        await self._assert_answer_ends(
            AnswerHead(200, "OK", (("Content-Length", "1"),))
        )

    @async_test
    async def test_exception_in_this_node_is_answered(self) -> None:
        def fail(*_: object) -> None:
            raise RuntimeError("an exception in this node")

        await self._assert_answer_ends(AnswerHead(200, "OK", ()), make_call=fail)

    def _capture_call_ends(self) -> list[dict]:
        """Return a list that collects the call.ended events from now on."""
        ends = []

        def collect(event: dict) -> None:
            if event.get("message_type") == "call.ended":
                ends.append(event)

        eliot.add_destinations(collect)
        self.addCleanup(eliot.remove_destination, collect)
        ends.clear()
        return ends

    @async_test
    async def test_answer_shorter_than_its_length_is_logged_once(self) -> None:
        ends = self._capture_call_ends()
        head = AnswerHead(200, "OK", (("Content-Length", "9"),))
        request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        context, _, reader, _ = await self._send_request(head, request)
        self.assertTrue((await reader.read()).endswith(b"ok"))
        await eventually(lambda: not context.open_calls)
        self.assertEqual(["node_fault"], [end["reason"] for end in ends])

    @async_test
    async def test_exception_after_the_caller_left_is_logged_once(self) -> None:
        ends = self._capture_call_ends()

        class Failing:
            async def forward(self, call: object, caller: Caller) -> None:
                (connection,) = server.connections
                connection.stream.close()
                raise RuntimeError("an exception in this node")

        context, server, port = start_caller_server(self, Failing())
        _, writer = await streams.open_connection(HOST, port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        await eventually(lambda: context.metrics.counter("calls_faulted"))
        await eventually(lambda: not context.open_calls)
        self.assertEqual(1, len(ends))

    @async_test
    async def test_caller_that_leaves_at_once_leaves_no_open_call(self) -> None:
        caller_server = start_caller_server(
            self, _AnsweringForwarder(AnswerHead(200, "OK", ()))
        )
        _, writer = await streams.open_connection(HOST, caller_server.port)
        await asyncio.sleep(0.05)
        # The request and the close both arrive before the node reads, as they do when
        # its event loop is busy.
        writer.write(b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
        writer.transport.close()
        await asyncio.sleep(0.3)
        self.assertEqual(0, caller_server.context.open_calls)

    @async_test
    async def test_end_of_chunked_answer_does_not_wait_for_the_body(self) -> None:
        request = b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"
        found = await self._send_request(AnswerHead(200, "OK", ()), request)
        async with asyncio.timeout(0.5):
            await found[2].readuntil(b"\r\n0\r\n\r\n")
        found[3].close()

    @async_test
    async def test_no_error_line_is_written_into_an_answer(self) -> None:
        request = b"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        head = AnswerHead(200, "OK", (("Content-Length", "100"),))
        found = await self._send_request(
            head, request + b"1\r\na\r\n", may_finish=False
        )
        await found[2].readuntil(b"ok")
        found[3].write(b"no chunk\r\n")
        rest = await found[2].read()
        self.assertEqual(b"", rest)


class _FakeCaller:
    """A caller that records whether its answer was aborted.

    :param sends_body: whether its body ends at once, or else never arrives.
    """

    def __init__(self, *, sends_body: bool) -> None:
        self.aborted = False
        self._sends_body = sends_body

    async def read_body(self) -> tuple[bytes, bool]:
        """Return an empty body, or wait forever."""
        if not self._sends_body:
            await asyncio.Event().wait()
        return b"", True

    async def send_head(self, head: AnswerHead, body: bytes = b"") -> None:
        """Discard the head."""

    async def send_body(self, data: bytes) -> None:
        """Discard a chunk."""

    def finish(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Record that the answer was aborted."""
        self.aborted = True


class _SilentPeer:
    """A node that sends the given frames in reply to a call, and then nothing more.

    :param completes_handshake: whether it answers the handshake at all.
    """

    def __init__(
        self, *, completes_handshake: bool = True, frames: tuple[bytes, ...] = ()
    ) -> None:
        self._completes_handshake = completes_handshake
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
        if not self._completes_handshake:
            await asyncio.sleep(60)
        connection = FrameConnection(stream)
        await accept_handshake(connection, PeerIdentity("m", "b", 1))
        await connection.read()
        for data in self._frames:
            connection.send(data)
        await asyncio.sleep(60)


class SilentPeerTest(testtools.TestCase):
    """Tests of calls to a node that stopped without closing its connections."""

    async def _forward(
        self, peer: _SilentPeer, *, request: CallRequest = REQUEST
    ) -> tuple[object, _FakeCaller, float]:
        """Forward a call with a timeout of 0.5 s.

        :returns: its result, its caller, and the seconds that it took.
        """
        await peer.start()
        member = Member("b", HOST, peer.port, "r", "z", 1)
        links = PeerLinks(PeerIdentity("m", "a", 1), count=lambda _: None)
        clock = SystemClock()
        forwarder = Forwarder(
            links=links,
            endpoints=SimpleNamespace(
                for_call=lambda *_, **__: [member], has_members=lambda *_: True
            ),
            balancer=SimpleNamespace(
                pick=lambda *_, **__: member,
                started=lambda _: None,
                finished=lambda *_, **__: None,
                record_gate_state=lambda *_: None,
            ),
            clock=clock,
            metrics=Metrics(),
            retry_budget=FleetRetryBudget(share=0.1, reserve=1, nodes=lambda: 1),
        )
        started_s = clock.monotonic()
        call = Call(request, started_s + 0.5, 0)
        caller = _FakeCaller(sends_body=not request.body_length)
        run = asyncio.create_task(forwarder.forward(call, caller))
        done, _ = await asyncio.wait({run}, timeout=_HANG_TIMEOUT_S + 2)
        took_s = clock.monotonic() - started_s
        run.cancel()
        links.close()
        peer.stop()
        return (run.result() if done else "no end"), caller, took_s

    @async_test
    async def test_answer_that_stops_halfway_is_aborted_at_the_deadline(self) -> None:
        head = frame_answer_head(1, AnswerHead(200, "OK", (), b"begin"))
        end, caller, took_s = await self._forward(_SilentPeer(frames=(head,)))
        self.assertTrue(caller.aborted, end)
        self.assertLess(took_s, 1.5)

    @async_test
    async def test_invalid_status_from_another_node_is_no_answer(self) -> None:
        # Guards against nodes of an earlier release, which pass on any status.
        for status in (0, 99, 100, 199, 600, 700, 999):
            head = frame_answer_head(1, AnswerHead(status, "Odd", (), b"ok", True))
            end, caller, _ = await self._forward(_SilentPeer(frames=(head,)))
            self.assertIsInstance(end, Failure, status)
            self.assertEqual((Verdict.MAY_HAVE_RUN, "invalid_status"), end[:2])
            self.assertFalse(caller.aborted)

    @async_test
    async def test_malformed_field_from_another_node_is_no_answer(self) -> None:
        # Guards against nodes of an earlier release, and against a fault of a node.
        for field in _MALFORMED_FIELDS:
            answer = AnswerHead(200, "OK", (("A", "b"), field), b"ok", True)
            frames = (frame_answer_head(1, answer),)
            end, caller, _ = await self._forward(_SilentPeer(frames=frames))
            self.assertIsInstance(end, Failure, field)
            failure = (Verdict.MAY_HAVE_RUN, "malformed_head")
            self.assertEqual(failure, end[:2], field)
            self.assertFalse(caller.aborted)

    @async_test
    async def test_malformed_reason_from_another_node_is_no_answer(self) -> None:
        head = frame_answer_head(1, AnswerHead(200, "O\x01K", (), b"ok", True))
        end, _, _ = await self._forward(_SilentPeer(frames=(head,)))
        self.assertIsInstance(end, Failure)
        self.assertEqual((Verdict.MAY_HAVE_RUN, "malformed_head"), end[:2])

    @async_test
    async def test_missing_handshake_ends_the_call_at_the_deadline(self) -> None:
        end, _, took_s = await self._forward(_SilentPeer(completes_handshake=False))
        self.assertLess(took_s, 1.0, end)

    @async_test
    async def test_malformed_message_ends_the_link(self) -> None:
        bad = frame("callFailed", callId=1, verdict=77, reason="x")
        end, _, took_s = await self._forward(_SilentPeer(frames=(bad,)))
        self.assertIsInstance(end, Failure)
        self.assertEqual("peer_connection_broken", end.reason)

    @async_test
    async def test_missing_body_ends_the_call_at_the_deadline(self) -> None:
        request = REQUEST._replace(body_length=9, end=False)
        end, _, took_s = await self._forward(_SilentPeer(), request=request)
        self.assertLess(took_s, 1.0, end)
