"""Tests of 100 Continue and of malformed requests.

Tornado writes 100 Continue and its own refusals straight to the connection. Without
``CallerStream`` these could land in the middle of an answer or after it.
"""

import asyncio
from types import SimpleNamespace

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from burdockdock.proxy.listener import MAX_BODY_BYTES, MAX_HEADER_BYTES
from tests import streams
from tests.proxy.caller_server import HOST, start_caller_server
from tests.support import async_test, eventually

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_CLOSING_ANSWER = _ANSWER.replace(b" 2\r\n", b" 2\r\nConnection: close\r\n")
_CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _BodyReadingForwarder:
    """Answers after reading the whole request body."""

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Read the body, then answer."""
        end = False
        while not end:
            _, end = await caller.read_body()
        await caller.send_head(AnswerHead(200, "OK", (("Content-Length", "2"),)))
        await caller.send_body(b"ok")
        caller.finish()
        return None


class ExpectTest(testtools.TestCase):
    """Tests of callers that wait for 100 Continue before they send the body."""

    async def _send_head_then_body(self, head: bytes) -> tuple[bytes, bytes]:
        """Return what the caller reads before it sends the body, and what after."""
        reader, writer = await streams.open_connection(
            HOST, start_caller_server(self, _BodyReadingForwarder()).port
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
    async def test_waiting_caller_gets_100_continue_before_its_answer(self) -> None:
        for value in (b"100-continue", b"100-Continue"):
            head = b"PUT /x HTTP/1.1\r\nConnection: close\r\nExpect: %s\r\n" % value
            self.assertEqual(
                (_CONTINUE_LINE, _CLOSING_ANSWER), await self._send_head_then_body(head)
            )

    @async_test
    async def test_http_1_0_caller_gets_no_100_continue(self) -> None:
        head = b"PUT /x HTTP/1.0\r\nExpect: 100-continue\r\n"
        self.assertEqual((b"", _ANSWER), await self._send_head_then_body(head))


class _ControlledForwarder:
    """Begins and finishes an answer when a test says so.

    :param reads_body: whether it first reads a chunk of the request body.
    """

    def __init__(self, *headers: tuple[str, str], reads_body: bool = False) -> None:
        self._head = AnswerHead(200, "OK", headers)
        self._reads_body = reads_body
        self.called = asyncio.Event()
        self.body_read = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_finish = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> Failure | None:
        """Read a chunk of the body if wanted, then answer."""
        self.called.set()
        if self._reads_body:
            await caller.read_body()
        self.body_read.set()
        await self.may_answer.wait()
        await caller.send_head(self._head)
        await caller.send_body(b"ok")
        await self.may_finish.wait()
        caller.finish()
        return None


_CHUNKED_HEAD = b"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
_CHUNK = b"1\r\na\r\n"
_BAD_REQUEST_LINE = b"HTTP/1.1 400 Bad Request\r\n\r\n"
_MALFORMED_PARTS = {
    "no length": b"no chunk\r\n",
    "a chunk over the limit": b"%x\r\n" % (MAX_BODY_BYTES + 1),
    "a chunk without its end": b"1\r\nabc\r\n",
    "a trailer": b"0\r\nA: b\r\n\r\n",
    "a length that does not end": b"1" * 100,
    "an extension": b"1;a=b\r\na\r\n",
}


class MalformedTest(testtools.TestCase):
    """Tests of requests that turn out malformed at different moments."""

    async def _connect(
        self, forwarder: object, request: bytes
    ) -> tuple[SimpleNamespace, asyncio.StreamReader, asyncio.StreamWriter]:
        context, _, port = start_caller_server(self, forwarder)
        reader, writer = await streams.open_connection(HOST, port)
        writer.write(request)
        return context, reader, writer

    @async_test
    async def test_started_answer_is_cut_off(self) -> None:
        for name, part in _MALFORMED_PARTS.items():
            forwarder = _ControlledForwarder(("Content-Length", "100"))
            forwarder.may_answer.set()
            context, reader, writer = await self._connect(
                forwarder, _CHUNKED_HEAD + _CHUNK
            )
            await reader.readuntil(b"ok")
            writer.write(part)
            self.assertEqual(b"", await reader.read(), name)
            await eventually(lambda c=context: not c.open_calls)

    @async_test
    async def test_started_chunked_answer_gets_no_last_chunk(self) -> None:
        forwarder = _ControlledForwarder()
        forwarder.may_answer.set()
        _, reader, writer = await self._connect(forwarder, _CHUNKED_HEAD + _CHUNK)
        await reader.readuntil(b"2\r\nok\r\n")
        writer.write(b"no chunk\r\n")
        self.assertEqual(b"", await reader.read())

    @async_test
    async def test_nothing_follows_a_complete_answer(self) -> None:
        forwarder = _ControlledForwarder(("Content-Length", "2"))
        forwarder.may_answer.set()
        context, reader, writer = await self._connect(forwarder, _CHUNKED_HEAD + _CHUNK)
        await reader.readuntil(b"ok")
        writer.write(b"no chunk\r\n")
        forwarder.may_finish.set()
        self.assertEqual(b"", await reader.read())
        await eventually(lambda: not context.open_calls)
        self.assertEqual(0, context.metrics.counter("calls_abandoned"))

    @async_test
    async def test_nothing_follows_the_answer_to_a_head_request(self) -> None:
        forwarder = _ControlledForwarder(("Content-Length", "100"))
        forwarder.may_answer.set()
        request = _CHUNKED_HEAD.replace(b"PUT", b"HEAD")
        _, reader, writer = await self._connect(forwarder, request)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"no chunk\r\n")
        forwarder.may_finish.set()
        self.assertEqual(b"", await reader.read())

    @async_test
    async def test_request_that_can_not_have_run_is_refused(self) -> None:
        for name, part in _MALFORMED_PARTS.items():
            forwarder = _ControlledForwarder(reads_body=True)
            context, reader, _ = await self._connect(forwarder, _CHUNKED_HEAD + part)
            # Here tornado closes the connection without an error line.
            expected = (
                b"" if name == "a length that does not end" else _BAD_REQUEST_LINE
            )
            self.assertEqual(expected, await reader.read(), name)
            await eventually(lambda c=context: not c.open_calls)
            self.assertFalse(forwarder.body_read.is_set(), name)

    @async_test
    async def test_call_that_waits_for_its_body_is_refused(self) -> None:
        forwarder = _ControlledForwarder(reads_body=True)
        context, reader, writer = await self._connect(forwarder, _CHUNKED_HEAD)
        await forwarder.called.wait()
        writer.write(b"no chunk\r\n")
        self.assertEqual(_BAD_REQUEST_LINE, await reader.read())
        await eventually(lambda: not context.open_calls)
        self.assertFalse(forwarder.body_read.is_set())
        counter = context.metrics.counter
        self.assertEqual(1, counter("call_failures", label="malformed_body"))
        self.assertEqual(0, counter("calls_abandoned"))

    @async_test
    async def test_request_that_may_have_run_gets_no_bad_request(self) -> None:
        for name, part in _MALFORMED_PARTS.items():
            forwarder = _ControlledForwarder(reads_body=True)
            _, reader, writer = await self._connect(forwarder, _CHUNKED_HEAD + _CHUNK)
            await forwarder.body_read.wait()
            writer.write(part)
            self.assertEqual(b"", await reader.read(), name)

    @async_test
    async def test_malformed_head_is_refused(self) -> None:
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
            forwarder = _ControlledForwarder()
            context, reader, _ = await self._connect(forwarder, request)
            self.assertEqual(_BAD_REQUEST_LINE, await reader.read(), request)
            self.assertFalse(forwarder.body_read.is_set(), request)
            await eventually(lambda c=context: not c.open_calls)

    @async_test
    async def test_refusal_waits_for_the_answer_before_it(self) -> None:
        for malformed in (b"nonsense\r\n\r\n", _CHUNKED_HEAD + b"no chunk\r\n"):
            forwarder = _ControlledForwarder()
            request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
            _, reader, writer = await self._connect(forwarder, request + malformed)
            forwarder.may_answer.set()
            await reader.readuntil(b"2\r\nok\r\n")
            writer.write(b"more of it")
            forwarder.may_finish.set()
            self.assertEqual(b"0\r\n\r\n" + _BAD_REQUEST_LINE, await reader.read())

    @async_test
    async def test_oversized_head_only_ends_the_connection(self) -> None:
        forwarder = _ControlledForwarder()
        request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        _, reader, writer = await self._connect(forwarder, request)
        forwarder.may_answer.set()
        await reader.readuntil(b"2\r\nok\r\n")
        writer.write(b"GET /x HTTP/1.1\r\nA: " + b"x" * 2 * MAX_HEADER_BYTES)
        forwarder.may_finish.set()
        self.assertEqual(b"0\r\n\r\n", await reader.readuntil(b"0\r\n\r\n"))
        try:
            self.assertEqual(b"", await reader.read())
        except ConnectionResetError:
            # The node closed the connection with unread bytes, which resets it.
            pass
