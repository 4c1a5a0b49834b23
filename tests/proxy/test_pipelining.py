"""Tests of callers that send requests before their earlier ones are answered."""

import asyncio
import socket
from collections.abc import Callable
from types import SimpleNamespace

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy import caller_connection
from burdockdock.proxy.call import Caller
from tests import streams
from tests.proxy.caller_server import HOST, CallerServer, start_caller_server
from tests.proxy.pipelined_requests import (
    ManualForwarder,
    build_call,
    read_answer,
    request,
)
from tests.support import PATIENCE_S, async_test, eventually

_LEFT_CALLER_TIMEOUT_S = 0.5
_MANY_REQUESTS = 10_000


class PipeliningTest(testtools.TestCase):
    """Tests of the order in which pipelined requests run and are answered."""

    async def _connect(
        self, *requests: bytes, make_call: Callable[..., object] = build_call
    ) -> tuple[
        CallerServer, ManualForwarder, asyncio.StreamReader, asyncio.StreamWriter
    ]:
        forwarder = ManualForwarder()
        server = start_caller_server(self, forwarder, make_call=make_call)
        reader, writer = await streams.open_connection(HOST, server.port)
        writer.write(b"".join(requests))
        return server, forwarder, reader, writer

    @async_test
    async def test_requests_run_concurrently_and_are_answered_in_order(self) -> None:
        targets = ["a", "b", "c", "d"]
        _, forwarder, reader, _ = await self._connect(*map(request, targets))
        await eventually(lambda: len(forwarder.started) == 4)
        forwarder.answer("d", "c", "b")
        await asyncio.sleep(0.05)
        forwarder.answer("a")
        bodies = [(await read_answer(reader))[2].decode() for _ in targets]
        self.assertEqual(targets, bodies)

    @async_test
    async def test_ready_answer_behind_a_refused_one(self) -> None:
        requests = map(request, ("refused", "b"))
        _, forwarder, reader, _ = await self._connect(*requests)
        forwarder.answer("b", "refused")
        self.assertEqual(503, (await read_answer(reader))[0])
        self.assertEqual((200, "", b"b"), await read_answer(reader))

    @async_test
    async def test_non_idempotent_request_starts_alone(self) -> None:
        _, forwarder, reader, _ = await self._connect(
            request("a"),
            request("b", "POST", "Content-Length: 0\r\n"),
            request("c"),
        )
        await eventually(lambda: forwarder.started == ["a"])
        await asyncio.sleep(0.05)
        self.assertEqual(["a"], forwarder.started)
        forwarder.answer("a")
        await eventually(lambda: forwarder.started == ["a", "b"])
        await asyncio.sleep(0.05)
        self.assertEqual(["a", "b"], forwarder.started)
        forwarder.answer("b", "c")
        bodies = [(await read_answer(reader))[2] for _ in range(3)]
        self.assertEqual([b"a", b"b", b"c"], bodies)

    @async_test
    async def test_waiting_call_keeps_its_time_of_arrival(self) -> None:
        arrivals = []

        def build(*args: object, arrived_at_s: float = 0.0) -> SimpleNamespace:
            arrivals.append(arrived_at_s)
            return build_call(*args)

        server, forwarder, reader, _ = await self._connect(
            request("a"),
            request("b", "POST", "Content-Length: 0\r\n"),
            make_call=build,
        )
        await eventually(lambda: len(arrivals) == 2)
        arrived_by_s = server.context.clock.monotonic()
        await asyncio.sleep(0.1)
        forwarder.answer("a", "b")
        await read_answer(reader)
        await read_answer(reader)
        self.assertTrue(0 < arrivals[2] <= arrived_by_s, arrivals)

    @async_test
    async def test_caller_that_leaves_ends_all_its_calls(self) -> None:
        targets = [f"t{n}" for n in range(40)]
        server, forwarder, _, writer = await self._connect(*map(request, targets))
        await eventually(lambda: len(forwarder.started) >= 2)
        writer.close()
        async with asyncio.timeout(_LEFT_CALLER_TIMEOUT_S):
            await eventually(lambda: not server.context.open_calls)
        self.assertEqual(sorted(forwarder.started), sorted(forwarder.cancelled))

    @async_test
    async def test_caller_that_leaves_behind_a_non_idempotent_call(self) -> None:
        post = request("a", "POST", "Content-Length: 0\r\n")
        server, forwarder, _, writer = await self._connect(post, request("b"))
        await eventually(lambda: forwarder.started)
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(_LEFT_CALLER_TIMEOUT_S):
            await eventually(lambda: not server.context.open_calls)
        self.assertEqual(["a"], forwarder.cancelled)

    @async_test
    async def test_number_of_concurrent_calls_is_limited(self) -> None:
        requests = [request(f"t{n}") for n in range(_MANY_REQUESTS)]
        server, forwarder, reader, _ = await self._connect(*requests)
        limit = server.server.max_pipelined_calls
        await eventually(lambda: len(forwarder.started) == limit)
        await asyncio.sleep(0.1)
        self.assertEqual(limit, len(forwarder.started))
        forwarder.answer(*(f"t{n}" for n in range(_MANY_REQUESTS)))
        for n in range(_MANY_REQUESTS):
            self.assertEqual(f"t{n}".encode(), (await read_answer(reader))[2])

    @async_test
    async def test_planned_stop_answers_what_has_started_and_closes(self) -> None:
        server, forwarder, reader, writer = await self._connect(
            request("a"), request("b")
        )
        await eventually(lambda: len(forwarder.started) == 2)
        server.context.draining = True
        forwarder.answer("a")
        self.assertEqual((200, "", b"a"), await read_answer(reader))
        writer.write(request("c"))
        await asyncio.sleep(0.05)
        forwarder.answer("b", "c")
        self.assertEqual((200, "close", b"b"), await read_answer(reader))
        self.assertEqual(b"", await reader.read())
        self.assertEqual(["a", "b"], forwarder.started)

    @async_test
    async def test_nothing_starts_behind_a_closing_answer(self) -> None:
        for closing in (
            request("a", headers="Connection: close\r\n"),
            b"GET /a HTTP/1.0\r\nHost: a\r\n\r\n",
        ):
            _, forwarder, reader, _ = await self._connect(closing, request("b"))
            forwarder.answer("a", "b")
            self.assertEqual(b"a", (await read_answer(reader))[2])
            self.assertEqual(b"", await reader.read())
            self.assertEqual(["a"], forwarder.started)

    @async_test
    async def test_malformed_request_does_not_harm_those_before_it(self) -> None:
        for malformed in (b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nA b\r\n\r\n"):
            _, forwarder, reader, _ = await self._connect(
                request("a"), request("b"), malformed, request("c")
            )
            await eventually(lambda f=forwarder: len(f.started) == 2)
            await asyncio.sleep(0.05)
            forwarder.answer("b", "a")
            self.assertEqual(b"a", (await read_answer(reader))[2])
            self.assertEqual(b"b", (await read_answer(reader))[2])
            self.assertEqual(400, (await read_answer(reader))[0])
            self.assertEqual(b"", await reader.read())
            self.assertEqual(["a", "b"], forwarder.started)

    @async_test
    async def test_aborted_answer_ends_the_connection(self) -> None:
        requests = map(request, ("a", "aborted", "c"))
        server, forwarder, reader, _ = await self._connect(*requests)
        forwarder.answer("a", "c", "aborted")
        self.assertEqual(b"a", (await read_answer(reader))[2])
        self.assertEqual(b"aborted", (await read_answer(reader))[2])
        try:
            rest = await reader.read()
        except ConnectionResetError:
            rest = b""
        self.assertEqual(b"", rest)
        await eventually(lambda: not server.context.open_calls)

    @async_test
    async def test_continue_line_waits_for_the_answer_before_it(self) -> None:
        put = request("b", "PUT", "Content-Length: 1\r\nExpect: 100-continue\r\n")
        _, forwarder, reader, writer = await self._connect(request("a"), put)
        await eventually(lambda: len(forwarder.started) == 2)
        forwarder.answer("a", "b")
        self.assertEqual(b"a", (await read_answer(reader))[2])
        self.assertEqual(100, (await read_answer(reader))[0])
        writer.write(b"x")
        self.assertEqual(b"b", (await read_answer(reader))[2])

    @async_test
    async def test_caller_that_reads_no_answers_gets_no_more_calls_run(self) -> None:
        server = start_caller_server(self, _LargeAnswers(), make_call=build_call)
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.addCleanup(raw.close)
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (HOST, server.port))
        await loop.sock_sendall(raw, request("a") * 1000)
        await asyncio.sleep(0.3)
        forwarder = server.context.forwarder
        limit = server.server.max_pipelined_calls
        self.assertTrue(limit <= forwarder.calls <= 2 * limit, forwarder.calls)

    @async_test
    async def test_idle_connection_is_closed_and_a_busy_one_is_not(self) -> None:
        self.patch(caller_connection, "_IDLE_TIMEOUT_S", 0.2)
        _, forwarder, reader, _ = await self._connect(request("a"))
        await asyncio.sleep(0.5)
        forwarder.answer("a")
        self.assertEqual(b"a", (await read_answer(reader))[2])
        async with asyncio.timeout(PATIENCE_S):
            self.assertEqual(b"", await reader.read())


class _LargeAnswers:
    """Answers with more than the connection can buffer."""

    def __init__(self) -> None:
        self.calls = 0

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Send an endless answer."""
        self.calls += 1
        await caller.send_head(AnswerHead(200, "OK", ()))
        while True:
            await caller.send_body(b"x" * 65536)
