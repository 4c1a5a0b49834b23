"""Tests of callers that send requests before their earlier ones are answered."""

import asyncio
import random
import socket
from collections.abc import Callable
from types import SimpleNamespace

import testtools
from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import RequestStartLine

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy import caller_connection
from burdockdock.proxy.call import Caller
from tests import streams
from tests.proxy.caller_server import HOST, REQUEST, CallerServer, start_caller_server
from tests.support import PATIENCE_S, async_test, eventually

_LEFT_CALLER_TIMEOUT_S = 0.5
_MANY_REQUESTS = 10_000


def _request(target: str, method: str = "GET", headers: str = "") -> bytes:
    return f"{method} /{target} HTTP/1.1\r\nHost: a\r\n{headers}\r\n".encode()


def _build_call(
    _context: object, start_line: RequestStartLine, *_: object, **__: object
) -> SimpleNamespace:
    """Build a call that only POST makes non-idempotent."""
    return SimpleNamespace(
        request=REQUEST._replace(
            target=start_line.path,
            method=start_line.method,
            idempotent=start_line.method != "POST",
        )
    )


class _ManualForwarder:
    """Answers each call with its target when a test says so."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self._may_answer: dict[str, asyncio.Event] = {}

    def event(self, target: str) -> asyncio.Event:
        """Return the event that lets a call be answered."""
        return self._may_answer.setdefault(target, asyncio.Event())

    def answer(self, *targets: str) -> None:
        """Let calls be answered."""
        for target in targets:
            self.event(target).set()

    async def forward(self, call: SimpleNamespace, caller: Caller) -> Failure | None:
        """Wait for the test, then answer."""
        target = call.request.target.removeprefix("/")
        self.started.append(target)
        try:
            await self.event(target).wait()
            if target.startswith("refused"):
                return Failure(Verdict.NOT_RUN, "queue_full")
            body = target.encode()
            length = (("Content-Length", str(len(body))),)
            await caller.send_head(AnswerHead(200, "OK", length))
            await caller.send_body(body)
            if target.startswith("aborted"):
                caller.abort()
            else:
                caller.finish()
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        return None


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, str, bytes]:
    """Return the status, the Connection header and the body of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1]), headers.get("connection", ""), body


class PipeliningTest(testtools.TestCase):
    """Tests of the order in which pipelined requests run and are answered."""

    async def _connect(
        self, *requests: bytes, make_call: Callable[..., object] = _build_call
    ) -> tuple[
        CallerServer, _ManualForwarder, asyncio.StreamReader, asyncio.StreamWriter
    ]:
        forwarder = _ManualForwarder()
        server = start_caller_server(self, forwarder, make_call=make_call)
        reader, writer = await streams.open_connection(HOST, server.port)
        writer.write(b"".join(requests))
        return server, forwarder, reader, writer

    @async_test
    async def test_requests_run_concurrently_and_are_answered_in_order(self) -> None:
        targets = ["a", "b", "c", "d"]
        _, forwarder, reader, _ = await self._connect(*map(_request, targets))
        await eventually(lambda: len(forwarder.started) == 4)
        forwarder.answer("d", "c", "b")
        await asyncio.sleep(0.05)
        forwarder.answer("a")
        bodies = [(await _read_answer(reader))[2].decode() for _ in targets]
        self.assertEqual(targets, bodies)

    @async_test
    async def test_ready_answer_behind_a_refused_one(self) -> None:
        requests = map(_request, ("refused", "b"))
        _, forwarder, reader, _ = await self._connect(*requests)
        forwarder.answer("b", "refused")
        self.assertEqual(503, (await _read_answer(reader))[0])
        self.assertEqual((200, "", b"b"), await _read_answer(reader))

    @async_test
    async def test_non_idempotent_request_starts_alone(self) -> None:
        _, forwarder, reader, _ = await self._connect(
            _request("a"),
            _request("b", "POST", "Content-Length: 0\r\n"),
            _request("c"),
        )
        await eventually(lambda: forwarder.started == ["a"])
        await asyncio.sleep(0.05)
        self.assertEqual(["a"], forwarder.started)
        forwarder.answer("a")
        await eventually(lambda: forwarder.started == ["a", "b"])
        await asyncio.sleep(0.05)
        self.assertEqual(["a", "b"], forwarder.started)
        forwarder.answer("b", "c")
        bodies = [(await _read_answer(reader))[2] for _ in range(3)]
        self.assertEqual([b"a", b"b", b"c"], bodies)

    @async_test
    async def test_waiting_call_keeps_its_time_of_arrival(self) -> None:
        arrivals = []

        def build(*args: object, arrived_at_s: float = 0.0) -> SimpleNamespace:
            arrivals.append(arrived_at_s)
            return _build_call(*args)

        server, forwarder, reader, _ = await self._connect(
            _request("a"),
            _request("b", "POST", "Content-Length: 0\r\n"),
            make_call=build,
        )
        await eventually(lambda: len(arrivals) == 2)
        arrived_by_s = server.context.clock.monotonic()
        await asyncio.sleep(0.1)
        forwarder.answer("a", "b")
        await _read_answer(reader)
        await _read_answer(reader)
        self.assertTrue(0 < arrivals[2] <= arrived_by_s, arrivals)

    @async_test
    async def test_caller_that_leaves_ends_all_its_calls(self) -> None:
        targets = [f"t{n}" for n in range(40)]
        server, forwarder, _, writer = await self._connect(*map(_request, targets))
        await eventually(lambda: len(forwarder.started) >= 2)
        writer.close()
        async with asyncio.timeout(_LEFT_CALLER_TIMEOUT_S):
            await eventually(lambda: not server.context.open_calls)
        self.assertEqual(sorted(forwarder.started), sorted(forwarder.cancelled))

    @async_test
    async def test_caller_that_leaves_behind_a_non_idempotent_call(self) -> None:
        post = _request("a", "POST", "Content-Length: 0\r\n")
        server, forwarder, _, writer = await self._connect(post, _request("b"))
        await eventually(lambda: forwarder.started)
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(_LEFT_CALLER_TIMEOUT_S):
            await eventually(lambda: not server.context.open_calls)
        self.assertEqual(["a"], forwarder.cancelled)

    @async_test
    async def test_number_of_concurrent_calls_is_limited(self) -> None:
        requests = [_request(f"t{n}") for n in range(_MANY_REQUESTS)]
        server, forwarder, reader, _ = await self._connect(*requests)
        limit = server.server.max_pipelined_calls
        await eventually(lambda: len(forwarder.started) == limit)
        await asyncio.sleep(0.1)
        self.assertEqual(limit, len(forwarder.started))
        forwarder.answer(*(f"t{n}" for n in range(_MANY_REQUESTS)))
        for n in range(_MANY_REQUESTS):
            self.assertEqual(f"t{n}".encode(), (await _read_answer(reader))[2])

    @async_test
    async def test_planned_stop_answers_what_has_started_and_closes(self) -> None:
        server, forwarder, reader, writer = await self._connect(
            _request("a"), _request("b")
        )
        await eventually(lambda: len(forwarder.started) == 2)
        server.context.draining = True
        forwarder.answer("a")
        self.assertEqual((200, "", b"a"), await _read_answer(reader))
        writer.write(_request("c"))
        await asyncio.sleep(0.05)
        forwarder.answer("b", "c")
        self.assertEqual((200, "close", b"b"), await _read_answer(reader))
        self.assertEqual(b"", await reader.read())
        self.assertEqual(["a", "b"], forwarder.started)

    @async_test
    async def test_nothing_starts_behind_a_closing_answer(self) -> None:
        for closing in (
            _request("a", headers="Connection: close\r\n"),
            b"GET /a HTTP/1.0\r\nHost: a\r\n\r\n",
        ):
            _, forwarder, reader, _ = await self._connect(closing, _request("b"))
            forwarder.answer("a", "b")
            self.assertEqual(b"a", (await _read_answer(reader))[2])
            self.assertEqual(b"", await reader.read())
            self.assertEqual(["a"], forwarder.started)

    @async_test
    async def test_malformed_request_does_not_harm_those_before_it(self) -> None:
        for malformed in (b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nA b\r\n\r\n"):
            _, forwarder, reader, _ = await self._connect(
                _request("a"), _request("b"), malformed, _request("c")
            )
            await eventually(lambda f=forwarder: len(f.started) == 2)
            await asyncio.sleep(0.05)
            forwarder.answer("b", "a")
            self.assertEqual(b"a", (await _read_answer(reader))[2])
            self.assertEqual(b"b", (await _read_answer(reader))[2])
            self.assertEqual(400, (await _read_answer(reader))[0])
            self.assertEqual(b"", await reader.read())
            self.assertEqual(["a", "b"], forwarder.started)

    @async_test
    async def test_aborted_answer_ends_the_connection(self) -> None:
        requests = map(_request, ("a", "aborted", "c"))
        server, forwarder, reader, _ = await self._connect(*requests)
        forwarder.answer("a", "c", "aborted")
        self.assertEqual(b"a", (await _read_answer(reader))[2])
        self.assertEqual(b"aborted", (await _read_answer(reader))[2])
        try:
            rest = await reader.read()
        except ConnectionResetError:
            rest = b""
        self.assertEqual(b"", rest)
        await eventually(lambda: not server.context.open_calls)

    @async_test
    async def test_continue_line_waits_for_the_answer_before_it(self) -> None:
        put = _request("b", "PUT", "Content-Length: 1\r\nExpect: 100-continue\r\n")
        _, forwarder, reader, writer = await self._connect(_request("a"), put)
        await eventually(lambda: len(forwarder.started) == 2)
        forwarder.answer("a", "b")
        self.assertEqual(b"a", (await _read_answer(reader))[2])
        self.assertEqual(100, (await _read_answer(reader))[0])
        writer.write(b"x")
        self.assertEqual(b"b", (await _read_answer(reader))[2])

    @async_test
    async def test_caller_that_reads_no_answers_gets_no_more_calls_run(self) -> None:
        server = start_caller_server(self, _LargeAnswers(), make_call=_build_call)
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.addCleanup(raw.close)
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (HOST, server.port))
        await loop.sock_sendall(raw, _request("a") * 1000)
        await asyncio.sleep(0.3)
        forwarder = server.context.forwarder
        limit = server.server.max_pipelined_calls
        self.assertTrue(limit <= forwarder.calls <= 2 * limit, forwarder.calls)

    @async_test
    async def test_idle_connection_is_closed_and_a_busy_one_is_not(self) -> None:
        self.patch(caller_connection, "_IDLE_TIMEOUT_S", 0.2)
        _, forwarder, reader, _ = await self._connect(_request("a"))
        await asyncio.sleep(0.5)
        forwarder.answer("a")
        self.assertEqual(b"a", (await _read_answer(reader))[2])
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


class RandomPipelinesTest(testtools.TestCase):
    """Tests of random requests, splits of their bytes and orders of finishing."""

    @given(
        kinds=st.lists(st.sampled_from(["GET", "POST", "refused", "PUT"]), max_size=9),
        cuts=st.lists(st.integers(0, 800), max_size=6),
        seed=st.integers(0, 1000),
    )
    def test_each_request_gets_its_own_answer(
        self, kinds: list[str], cuts: list[int], seed: int
    ) -> None:
        asyncio.run(self._run_pipeline(kinds, cuts, random.Random(seed)))

    async def _run_pipeline(
        self, kinds: list[str], cuts: list[int], rng: random.Random
    ) -> None:
        targets = [f"{kind}{n}" for n, kind in enumerate(kinds)]
        data = b"".join(map(_random_request, targets))
        forwarder = _ManualForwarder()
        server = start_caller_server(self, forwarder, make_call=_build_call)
        try:
            reader, writer = await streams.open_connection(HOST, server.port)
            sending = asyncio.create_task(_send_in_pieces(writer, data, cuts))
            answering = asyncio.create_task(_answer_in(rng, forwarder, targets))
            for target in targets:
                status, _, body = await _read_answer(reader)
                if target.startswith("refused"):
                    self.assertEqual(503, status)
                else:
                    self.assertEqual((200, target.encode()), (status, body))
            await sending
            await answering
            self.assertEqual(targets, sorted(forwarder.started, key=targets.index))
        finally:
            server.server.stop()
            await streams.close_all()


def _random_request(target: str) -> bytes:
    if target.startswith("POST"):
        return _request(target, "POST", "Content-Length: 5\r\n") + b"GET /"
    if target.startswith("PUT"):
        return (
            _request(target, "PUT", "Transfer-Encoding: chunked\r\n")
            + b"4\r\nGET \r\n0\r\n\r\n"
        )
    return _request(target)


async def _send_in_pieces(
    writer: asyncio.StreamWriter, data: bytes, cuts: list[int]
) -> None:
    starts = sorted({0, *(cut for cut in cuts if cut < len(data))})
    for start, end in zip(starts, [*starts[1:], len(data)], strict=True):
        writer.write(data[start:end])
        await asyncio.sleep(0.001)


async def _answer_in(
    rng: random.Random, forwarder: _ManualForwarder, targets: list[str]
) -> None:
    shuffled = list(targets)
    rng.shuffle(shuffled)
    for target in shuffled:
        forwarder.answer(target)
        await asyncio.sleep(0)
