"""Tests of backend servers that send what is no answer, or answer in odd order."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.verdict import Failure
from burdockdock.gate.curl_client import BackendRequest, CurlClient
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from burdockdock.protocol import ReceiverGone
from burdockdock.protocol.calls import AnswerHead, CallRequest
from tests import streams
from tests.support import async_test

_KEPT_BYTES = 2_000_000
_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 3000, True, "GET", "/", ())

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _Stream:
    """Keeps what the gate passes on of a call."""

    def __init__(self, *, body: bytes = b"") -> None:
        self.head: AnswerHead | None = None
        self.body = b""
        self.ended = asyncio.Event()
        self.whole = False
        self.failure: Failure | None = None
        self._body = body

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the rest of the request's body at once."""
        return self._body, True

    def send_head(self, head: AnswerHead) -> None:
        """Keep the beginning."""
        self.head = head
        self.body += head.body
        self._note_end(head.end)

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Keep a piece."""
        self.body += data
        self._note_end(end)

    def fail(self, failure: Failure) -> None:
        """Keep the failure."""
        self.failure = failure
        self.ended.set()

    def _note_end(self, end: bool) -> None:
        if end:
            self.whole = True
            self.ended.set()


async def _read_head(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(b"\r\n\r\n")


async def _write_for_ever(
    writer: asyncio.StreamWriter, start: bytes, piece: bytes
) -> None:
    writer.write(start)
    try:
        while True:
            writer.write(piece)
            await writer.drain()
    except ConnectionError:
        return


class EndlessBytesTest(testtools.TestCase):
    """What a backend server sends without end is bounded."""

    async def _most_kept(self, start: bytes, piece: bytes) -> int:
        """Return the bytes of a head's lines that were kept at the end."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            await _write_for_ever(writer, start, piece)
            writer.close()

        server = await streams.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = CurlClient()
        transfer = client.start(
            BackendRequest("GET", f"http://127.0.0.1:{port}/", [], 0, 1500, True)
        )
        try:
            await transfer.head()
            while isinstance(await transfer.read_body(), bytes):
                pass
            return sum(len(line) for line in transfer._head_lines)
        finally:
            client.close()
            server.close()

    @async_test
    async def test_a_head_without_end(self) -> None:
        kept = await self._most_kept(b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 1000)
        self.assertLess(kept, _KEPT_BYTES)

    @async_test
    async def test_a_header_without_end(self) -> None:
        kept = await self._most_kept(b"HTTP/1.1 200 OK\r\nX-A: ", b"b" * 10_000)
        self.assertLess(kept, _KEPT_BYTES)

    @async_test
    async def test_interim_answers_without_end(self) -> None:
        piece = b"HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n" * 100
        self.assertLess(await self._most_kept(b"", piece), _KEPT_BYTES)

    @async_test
    async def test_a_trailer_without_end(self) -> None:
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        kept = await self._most_kept(start, b"X-A: b\r\n" * 1000)
        self.assertLess(kept, _KEPT_BYTES)


class _FullStream(_Stream):
    """A caller's node that grants no room."""

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Wait for room."""
        await asyncio.Event().wait()


class UntakenAnswerTest(testtools.TestCase):
    """An answer that nobody takes."""

    @async_test
    async def test_it_does_not_hold_its_slot_beyond_its_time(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            start = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
            await _write_for_ever(writer, start, b"x" * 10_000)
            writer.close()

        server = await streams.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        results = []
        gate = Gate(clock=SystemClock(), metrics=Metrics(), observe=results.append)
        gate.announce(BackendServer("work", "1", "127.0.0.1", port, 1))
        stream = _FullStream()
        request = _REQUEST._replace(time_left_ms=300)
        run = asyncio.create_task(gate.run(request, stream))
        await asyncio.wait({run}, timeout=2)
        self.assertEqual(0, gate.load)
        self.assertEqual("answer_not_taken", stream.failure.reason)
        # It says nothing of the backend server's version.
        self.assertEqual([], results)
        self.assertIsInstance(run.exception(), ReceiverGone)
        server.close()


class OddAnswersTest(testtools.TestCase):
    """Each call ends, whatever the backend server sends and the caller asks."""

    async def _call(self, serve: Serve, request: CallRequest, **options: bytes):
        server = await streams.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        gate = Gate(clock=SystemClock(), metrics=Metrics())
        gate.announce(BackendServer("work", "1", "127.0.0.1", port, 1))
        stream = _Stream(**options)
        run = asyncio.create_task(gate.run(request, stream))
        try:
            await asyncio.wait({run}, timeout=request.time_left_ms / 1000 + 1)
            self.assertTrue(stream.ended.is_set(), "the caller's node hears nothing")
            return stream
        finally:
            run.cancel()
            await asyncio.wait({run})
            server.close()

    @async_test
    async def test_a_request_whose_header_is_not_ascii(self) -> None:
        received: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(_OK)

        request = _REQUEST._replace(headers=(("X-Name", "Zo\u00eb"),))
        stream = await self._call(serve, request)
        self.assertTrue(stream.whole, stream.failure)
        self.assertIn("X-Name: Zo\u00eb\r\n".encode("latin-1"), received[0])

    @async_test
    async def test_a_target_that_is_not_ascii(self) -> None:
        received: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(_OK)

        request = _REQUEST._replace(target="/Zo\u00eb#a|b")
        stream = await self._call(serve, request)
        self.assertTrue(stream.whole, stream.failure)
        self.assertIn("/Zo\u00eb#a|b HTTP".encode("latin-1"), received[0])

    @async_test
    async def test_an_answer_before_the_body_was_read(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            writer.write(_OK)
            await asyncio.sleep(2.0)
            try:
                while await reader.read(1 << 20):
                    pass
            except ConnectionError:
                pass

        length = 30_000_000
        request = _REQUEST._replace(
            method="PUT", body_length=length, end=False, time_left_ms=1500
        )
        stream = await self._call(serve, request, body=b"x" * length)
        self.assertTrue(stream.whole, stream.failure)

    @async_test
    async def test_a_body_longer_than_it_says(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            await _write_for_ever(writer, _OK, b"x" * 10_000)

        stream = await self._call(serve, _REQUEST)
        self.assertEqual((b"ok", True), (stream.body, stream.whole))

    async def _lengths(self, head: bytes) -> tuple[bytes, list[str]]:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + head)

        stream = await self._call(serve, _REQUEST)
        self.assertTrue(stream.whole, stream.failure)
        lengths = [v for n, v in stream.head.headers if n.lower() == "content-length"]
        return stream.body, lengths

    @async_test
    async def test_a_length_that_is_said_twice_is_passed_on_once(self) -> None:
        head = b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual((b"ok", ["2"]), await self._lengths(head))

    @async_test
    async def test_a_chunked_body_has_no_length(self) -> None:
        head = b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        head += b"2\r\nok\r\n0\r\n\r\n"
        self.assertEqual((b"ok", []), await self._lengths(head))

    @async_test
    async def test_lines_that_are_no_headers_are_not_passed_on(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            head = b"A b: c\r\nX-A: a\x01b\r\nX-B: b\r\nContent-Length: 2\r\n\r\nok"
            writer.write(b"HTTP/1.1 200 OK\r\n" + head)

        stream = await self._call(serve, _REQUEST)
        names = [name for name, _ in stream.head.headers]
        self.assertEqual(["X-B", "Content-Length"], names)
