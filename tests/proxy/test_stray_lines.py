"""Tests that nothing is written beside the answers of calls."""

import asyncio
from types import SimpleNamespace

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from burdockdock.proxy.listener import MAX_BODY_BYTES, MAX_HEADER_BYTES
from tests import streams
from tests.proxy.listening import HOST, listen_for
from tests.support import async_test, eventually

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_CLOSING = _ANSWER.replace(b" 2\r\n", b" 2\r\nConnection: close\r\n")
_SEND_ON = b"HTTP/1.1 100 Continue\r\n\r\n"


class _Reading:
    """Answers once it has read a request's body."""

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Read all, then answer."""
        end = False
        while not end:
            _, end = await caller.read_body()
        await caller.send_head(AnswerHead(200, "OK", (("Content-Length", "2"),)))
        await caller.send_body(b"ok")
        caller.finish()
        return None


class ExpectTest(testtools.TestCase):
    """Tests of callers that wait to be asked for their body."""

    async def _asked(self, head: bytes) -> tuple[bytes, bytes]:
        """Return what comes before the body is sent, and what after it."""
        reader, writer = await streams.open_connection(
            HOST, listen_for(self, _Reading()).port
        )
        writer.write(head + b"Host: a\r\nContent-Length: 1\r\n\r\n")
        first = b""
        if b"HTTP/1.1" in head:
            first = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"x")
        rest = await reader.read()
        writer.close()
        return first, rest

    @async_test
    async def test_a_caller_that_waits_is_asked_before_its_answer(self) -> None:
        for value in (b"100-continue", b"100-Continue"):
            head = b"PUT /x HTTP/1.1\r\nConnection: close\r\nExpect: %s\r\n" % value
            self.assertEqual((_SEND_ON, _CLOSING), await self._asked(head))

    @async_test
    async def test_an_older_caller_gets_its_answer_only(self) -> None:
        head = b"PUT /x HTTP/1.0\r\nExpect: 100-continue\r\n"
        self.assertEqual((b"", _ANSWER), await self._asked(head))


class _Telling:
    """Begins an answer when a test says so, and ends it when it says so."""

    def __init__(self, *headers: tuple[str, str], reads: bool = False) -> None:
        self._head = AnswerHead(200, "OK", headers)
        self._reads = reads
        self.asked = asyncio.Event()
        self.got = asyncio.Event()
        self.begins = asyncio.Event()
        self.goes_on = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Take a piece of the body or none, then answer."""
        self.asked.set()
        if self._reads:
            await caller.read_body()
        self.got.set()
        await self.begins.wait()
        await caller.send_head(self._head)
        await caller.send_body(b"ok")
        await self.goes_on.wait()
        caller.finish()
        return None


_CHUNKED = b"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
_PIECE = b"1\r\na\r\n"
_LINE = b"HTTP/1.1 400 Bad Request\r\n\r\n"
_MALFORMED_PARTS = {
    "no length": b"no chunk\r\n",
    "a chunk over the limit": b"%x\r\n" % (MAX_BODY_BYTES + 1),
    "a chunk without its end": b"1\r\nabc\r\n",
    "a trailer": b"0\r\nA: b\r\n\r\n",
    "a length that does not end": b"1" * 100,
    "an extension": b"1;a=b\r\na\r\n",
}


class MalformedTest(testtools.TestCase):
    """Tests of requests that turn out malformed, by when they do."""

    async def _connect(
        self, forwarder: object, request: bytes
    ) -> tuple[SimpleNamespace, asyncio.StreamReader, asyncio.StreamWriter]:
        context, _, port = listen_for(self, forwarder)
        reader, writer = await streams.open_connection(HOST, port)
        writer.write(request)
        return context, reader, writer

    @async_test
    async def test_an_answer_that_began_is_cut_off(self) -> None:
        for name, part in _MALFORMED_PARTS.items():
            forwarder = _Telling(("Content-Length", "100"))
            forwarder.begins.set()
            context, reader, writer = await self._connect(forwarder, _CHUNKED + _PIECE)
            await reader.readuntil(b"ok")
            writer.write(part)
            self.assertEqual(b"", await reader.read(), name)
            await eventually(lambda c=context: not c.open_calls)

    @async_test
    async def test_a_chunked_answer_that_began_has_no_end(self) -> None:
        forwarder = _Telling()
        forwarder.begins.set()
        _, reader, writer = await self._connect(forwarder, _CHUNKED + _PIECE)
        await reader.readuntil(b"2\r\nok\r\n")
        writer.write(b"no chunk\r\n")
        self.assertEqual(b"", await reader.read())

    @async_test
    async def test_nothing_follows_an_answer_that_is_whole(self) -> None:
        forwarder = _Telling(("Content-Length", "2"))
        forwarder.begins.set()
        context, reader, writer = await self._connect(forwarder, _CHUNKED + _PIECE)
        await reader.readuntil(b"ok")
        writer.write(b"no chunk\r\n")
        forwarder.goes_on.set()
        self.assertEqual(b"", await reader.read())
        await eventually(lambda: not context.open_calls)
        self.assertEqual(0, context.metrics.counter("calls_abandoned"))

    @async_test
    async def test_nothing_follows_the_head_that_answers_head(self) -> None:
        forwarder = _Telling(("Content-Length", "100"))
        forwarder.begins.set()
        request = _CHUNKED.replace(b"PUT", b"HEAD")
        _, reader, writer = await self._connect(forwarder, request)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"no chunk\r\n")
        forwarder.goes_on.set()
        self.assertEqual(b"", await reader.read())

    @async_test
    async def test_what_can_not_have_run_is_refused(self) -> None:
        for name, part in _MALFORMED_PARTS.items():
            forwarder = _Telling(reads=True)
            context, reader, _ = await self._connect(forwarder, _CHUNKED + part)
            # Tornado closes by itself here, before it knows what is wrong.
            expected = b"" if name == "a length that does not end" else _LINE
            self.assertEqual(expected, await reader.read(), name)
            await eventually(lambda c=context: not c.open_calls)
            self.assertFalse(forwarder.got.is_set(), name)

    @async_test
    async def test_a_call_that_waits_for_its_body_is_refused(self) -> None:
        forwarder = _Telling(reads=True)
        context, reader, writer = await self._connect(forwarder, _CHUNKED)
        await forwarder.asked.wait()
        writer.write(b"no chunk\r\n")
        self.assertEqual(_LINE, await reader.read())
        await eventually(lambda: not context.open_calls)
        self.assertFalse(forwarder.got.is_set())
        counter = context.metrics.counter
        self.assertEqual(1, counter("call_failures", label="malformed_body"))
        self.assertEqual(0, counter("calls_abandoned"))

    @async_test
    async def test_what_may_have_run_is_not_called_a_bad_request(self) -> None:
        for name, part in _MALFORMED_PARTS.items():
            forwarder = _Telling(reads=True)
            _, reader, writer = await self._connect(forwarder, _CHUNKED + _PIECE)
            await forwarder.got.wait()
            writer.write(part)
            self.assertEqual(b"", await reader.read(), name)

    @async_test
    async def test_a_malformed_head_is_refused(self) -> None:
        put = b"PUT /x HTTP/1.1\r\nHost: a\r\n"
        for request in (
            b"nonsense\r\n\r\n",
            b"GET /x HTTP/3.0\r\n\r\n",
            put + b"Bad Header\r\n\r\n",
            put + b"Content-Length: many\r\n\r\n",
            put + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
            put + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
            put + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            put + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        ):
            forwarder = _Telling()
            context, reader, _ = await self._connect(forwarder, request)
            self.assertEqual(_LINE, await reader.read(), request)
            self.assertFalse(forwarder.got.is_set(), request)
            await eventually(lambda c=context: not c.open_calls)

    @async_test
    async def test_a_malformed_request_waits_for_the_answer_before_it(self) -> None:
        for malformed in (b"nonsense\r\n\r\n", _CHUNKED + b"no chunk\r\n"):
            forwarder = _Telling()
            request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
            _, reader, writer = await self._connect(forwarder, request + malformed)
            forwarder.begins.set()
            await reader.readuntil(b"2\r\nok\r\n")
            writer.write(b"more of it")
            forwarder.goes_on.set()
            self.assertEqual(b"0\r\n\r\n" + _LINE, await reader.read())

    @async_test
    async def test_a_head_that_is_too_long_ends_the_connection_only(self) -> None:
        forwarder = _Telling()
        request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        _, reader, writer = await self._connect(forwarder, request)
        forwarder.begins.set()
        await reader.readuntil(b"2\r\nok\r\n")
        writer.write(b"GET /x HTTP/1.1\r\nA: " + b"x" * 2 * MAX_HEADER_BYTES)
        forwarder.goes_on.set()
        self.assertEqual(b"0\r\n\r\n", await reader.readuntil(b"0\r\n\r\n"))
        try:
            self.assertEqual(b"", await reader.read())
        except ConnectionResetError:
            # Closed with bytes unread.
            pass
