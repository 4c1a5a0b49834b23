"""Tests of backend servers that send malformed, endless or unexpected answers."""

import asyncio
from collections import deque

import testtools

from burdockdock.coordination.verdict import Verdict
from burdockdock.gate.curl_client import CurlClient
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.gate.transfer import BackendRequest, Transfer
from burdockdock.platform.headers import HEADERS as PLATFORM_HEADERS
from burdockdock.protocol import ReceiverGone
from burdockdock.protocol.calls import CallRequest
from tests import streams
from tests.gate.backend_servers import start_backend, start_gate
from tests.gate.recording_stream import RecordingStream
from tests.support import async_test

_MAX_KEPT_BYTES = 2_000_000
_OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 3000, True, "GET", "/", ())


async def _read_head(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(b"\r\n\r\n")


def _send_answer(answer: bytes) -> streams.ConnectionHandler:
    """Return a handler that answers the first request of a connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _read_head(reader)
        writer.write(answer)

    return serve


def _kept_bytes(transfer: Transfer) -> int:
    """Return the bytes in all that a transfer and its reader of heads collect."""
    kept = [*vars(transfer).values(), *vars(transfer._head_lines).values()]
    collections = [value for value in kept if isinstance(value, list | deque)]
    return sum(len(part) for collection in collections for part in collection)


async def _write_endlessly(
    writer: asyncio.StreamWriter, start: bytes, block: bytes
) -> None:
    writer.write(start)
    try:
        while True:
            writer.write(block)
            await writer.drain()
    except ConnectionError:
        return


class EndlessAnswerTest(testtools.TestCase):
    """Tests that the memory for endless heads and trailers is bounded."""

    async def _kept_head_bytes(self, start: bytes, block: bytes) -> int:
        """Return the bytes of header lines that are kept after an endless answer.

        :param start: what the backend server sends first.
        :param block: what it then sends repeatedly until the connection closes.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            await _write_endlessly(writer, start, block)
            writer.close()

        port = await start_backend(serve)
        client = CurlClient()
        transfer = client.start(
            BackendRequest("GET", f"http://127.0.0.1:{port}/", [], 0, 1500, True)
        )
        try:
            await transfer.head()
            while isinstance(await transfer.read_body(), bytes):
                pass
            return _kept_bytes(transfer)
        finally:
            client.close()

    @async_test
    async def test_endless_headers(self) -> None:
        kept_bytes = await self._kept_head_bytes(
            b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 1000
        )
        self.assertLess(kept_bytes, _MAX_KEPT_BYTES)

    @async_test
    async def test_endless_header_line(self) -> None:
        kept_bytes = await self._kept_head_bytes(
            b"HTTP/1.1 200 OK\r\nX-A: ", b"b" * 10_000
        )
        self.assertLess(kept_bytes, _MAX_KEPT_BYTES)

    @async_test
    async def test_endless_interim_answers(self) -> None:
        block = b"HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n" * 100
        self.assertLess(await self._kept_head_bytes(b"", block), _MAX_KEPT_BYTES)

    @async_test
    async def test_endless_trailer(self) -> None:
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        kept_bytes = await self._kept_head_bytes(start, b"X-A: b\r\n" * 1000)
        self.assertLess(kept_bytes, _MAX_KEPT_BYTES)


class _StalledStream(RecordingStream):
    """Stream to a caller's node that grants no credit."""

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Wait forever for credit."""
        await asyncio.Event().wait()


class StalledReceiverTest(testtools.TestCase):
    """Tests of an answer that the caller's node does not accept."""

    @async_test
    async def test_slot_is_released_at_the_deadline(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            start = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
            await _write_endlessly(writer, start, b"x" * 10_000)
            writer.close()

        results = []
        gate = await start_gate(serve, observe=results.append)
        stream = _StalledStream()
        request = _REQUEST._replace(time_left_ms=300)
        run = asyncio.create_task(gate.run(request, stream))
        await asyncio.wait({run}, timeout=2)
        self.assertEqual(0, gate.load)
        self.assertEqual("answer_not_taken", stream.failure.reason)
        # A slow receiver is no evidence about the backend server's version.
        self.assertEqual([], results)
        self.assertIsInstance(run.exception(), ReceiverGone)


class MisbehavingBackendTest(testtools.TestCase):
    """Tests that a call always ends with an answer or a failure."""

    async def _call(
        self,
        serve: streams.ConnectionHandler,
        request: CallRequest,
        *,
        headers: CallHeaders = OWN_HEADERS,
        **options: bytes,
    ):
        gate = await start_gate(serve, headers=headers)
        stream = RecordingStream(**options)
        run = asyncio.create_task(gate.run(request, stream))
        try:
            await asyncio.wait({run}, timeout=request.time_left_ms / 1000 + 1)
            self.assertTrue(
                stream.ended.is_set(), "the caller's node got no answer and no failure"
            )
            return stream
        finally:
            run.cancel()
            await asyncio.wait({run})

    async def _received_head(self, request: CallRequest) -> bytes:
        """Return the head of a request as the backend server receives it."""
        received: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(_OK_ANSWER)

        stream = await self._call(serve, request)
        self.assertTrue(stream.complete, stream.failure)
        return received[0]

    @async_test
    async def test_only_statuses_from_200_to_599_are_final_answers(self) -> None:
        # Guards against a caller that gets a status such as 000 as its answer.
        for status in (0, 1, 99, 600, 700, 999):
            answer = b"HTTP/1.1 %03d Odd\r\nContent-Length: 2\r\n\r\nok" % status
            stream = await self._call(_send_answer(answer), _REQUEST)
            self.assertIsNone(stream.head, status)
            expected = (Verdict.MAY_HAVE_RUN, "invalid_status", f"HTTP/1.1 {status:03}")
            failure = stream.failure
            self.assertEqual(expected, (*failure[:2], failure.detail[:12]))
        for status in (200, 599):
            answer = b"HTTP/1.1 %03d Odd\r\nContent-Length: 2\r\n\r\nok" % status
            stream = await self._call(_send_answer(answer), _REQUEST)
            self.assertEqual((status, b"ok"), (stream.status, stream.body))

    @async_test
    async def test_request_with_non_ascii_header(self) -> None:
        request = _REQUEST._replace(headers=(("X-Name", "Zo\u00eb"),))
        head = await self._received_head(request)
        self.assertIn("X-Name: Zo\u00eb\r\n".encode("latin-1"), head)

    @async_test
    async def test_request_with_non_ascii_target(self) -> None:
        request = _REQUEST._replace(target="/Zo\u00eb#a|b")
        head = await self._received_head(request)
        self.assertIn("/Zo\u00eb#a|b HTTP".encode("latin-1"), head)

    @async_test
    async def test_answer_before_the_request_body_is_read(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            writer.write(_OK_ANSWER)
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
        self.assertTrue(stream.complete, stream.failure)

    @async_test
    async def test_body_longer_than_its_content_length(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            await _write_endlessly(writer, _OK_ANSWER, b"x" * 10_000)

        stream = await self._call(serve, _REQUEST)
        self.assertEqual((b"ok", True), (stream.body, stream.complete))

    @async_test
    async def test_switch_to_another_protocol(self) -> None:
        # Guards against a call that waits until its deadline.
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            head = b"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
            writer.write(head + _OK_ANSWER)
            await reader.read()

        stream = await self._call(serve, _REQUEST)
        self.assertEqual("other_protocol", stream.failure.reason)

    async def _body_and_content_lengths(self, head: bytes) -> tuple[bytes, list[str]]:
        answer = b"HTTP/1.1 200 OK\r\n" + head
        stream = await self._call(_send_answer(answer), _REQUEST)
        self.assertTrue(stream.complete, stream.failure)
        lengths = [v for n, v in stream.head.headers if n.lower() == "content-length"]
        return stream.body, lengths

    @async_test
    async def test_repeated_content_length_is_forwarded_once(self) -> None:
        head = b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual((b"ok", ["2"]), await self._body_and_content_lengths(head))

    @async_test
    async def test_chunked_body_is_forwarded_without_content_length(self) -> None:
        head = b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        head += b"2\r\nok\r\n0\r\n\r\n"
        self.assertEqual((b"ok", []), await self._body_and_content_lengths(head))

    async def _assert_malformed(
        self, answer: bytes, *, headers: CallHeaders = OWN_HEADERS
    ) -> None:
        """Assert that nothing of an answer is passed on, and that it proves nothing."""
        serve = _send_answer(answer)
        stream = await self._call(serve, _REQUEST, headers=headers)
        self.assertEqual((None, b""), (stream.head, stream.body), answer)
        failure = (Verdict.MAY_HAVE_RUN, "malformed_head")
        self.assertEqual(failure, stream.failure[:2], answer)

    @async_test
    async def test_malformed_header_lines_are_no_answer(self) -> None:
        sized = b"Content-Length: 2\r\n\r\nok"
        for line in (b"A b: c", b"X-A: a\x01b", b"X-A : a", b"X-\x7fA: a", b": a"):
            for head in (line + b"\r\nX-B: b\r\n", b"X-B: b\r\n" + line + b"\r\n"):
                await self._assert_malformed(b"HTTP/1.1 200 OK\r\n" + head + sized)

    @async_test
    async def test_lines_that_begin_with_a_blank_are_no_answer(self) -> None:
        # Guards against values and ids that a line changes which another reader takes
        # for a field of its own: libcurl may join it with the line before.
        sized = b"Content-Length: 2\r\n\r\nok"
        for blank in (b" ", b"\t", b" \t "):
            for line in (
                b"X-Note: a",
                b"Content-Length: 1",
                b"Transfer-Encoding: chunked",
                b"Connection: close",
                b"Request-Id: other",
                b"a",
                b"",
            ):
                folded = b"X-B: b\r\n" + blank + line + b"\r\n"
                heads = [folded, folded + b"X-C: c\r\n"]
                # Libcurl itself refuses the others right behind the status line.
                heads += [folded[8:]] if b":" in line else []
                for head in heads:
                    await self._assert_malformed(b"HTTP/1.1 200 OK\r\n" + head + sized)
                interim = b"HTTP/1.1 103 Early\r\n" + folded + b"\r\n"
                await self._assert_malformed(interim + _OK_ANSWER)

    @async_test
    async def test_refusal_with_a_line_that_begins_with_a_blank_proves_nothing(
        self,
    ) -> None:
        refusal = b"Not-Executed: 1\r\nRequest-Id: id-1\r\n"
        for lines in (
            refusal + b" X-Note: a\r\n",
            b"X-Note: a\r\n\tb\r\n" + refusal,
            b"Request-Id: id\r\n -1\r\nNot-Executed: 1\r\n",
        ):
            head = b"HTTP/1.1 503 Busy\r\n" + lines + b"Content-Length: 0\r\n\r\n"
            await self._assert_malformed(head, headers=PLATFORM_HEADERS)

    @async_test
    async def test_control_character_in_the_reason_is_no_answer(self) -> None:
        for reason in (b"O\x01K", b"\x7f", b"OK\x1b[2J"):
            head = b"HTTP/1.1 200 " + reason + b"\r\nContent-Length: 2\r\n\r\n"
            await self._assert_malformed(head + b"ok")

    @async_test
    async def test_malformed_lines_do_not_frame_the_body(self) -> None:
        # Guards against a body of which the framing is a part, or that is cut.
        chunked = b"2\r\nok\r\n0\r\n\r\n"
        for head, body in (
            (b"Transfer-Encoding : chunked\r\n", chunked),
            (b"Transfer-Encoding\t: chunked\r\n", chunked),
            (b"Transfer-Encoding: chunked\x01\r\n", chunked),
            (b"Content-Length : 1\r\nContent-Length: 2\r\n", b"ok"),
            (b"Content-Length: 2\r\nContent-Length : 1\r\n", b"ok"),
            (b"Content-Length : 2\r\n", b"ok"),
            (b"Content-\x01Length: 2\r\n", b"ok"),
        ):
            await self._assert_malformed(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body)

    @async_test
    async def test_malformed_interim_head_is_no_answer(self) -> None:
        interim = b"HTTP/1.1 103 Early\r\nX-A : a\r\n\r\n"
        await self._assert_malformed(interim + _OK_ANSWER)

    @async_test
    async def test_malformed_refusal_proves_nothing(self) -> None:
        refusal = b"Not-Executed: 1\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n"
        for lines in (
            refusal + b"X-A : a\r\n",
            b"X-A : a\r\n" + refusal,
            refusal.replace(b"Id:", b"Id :"),
            refusal.replace(b"Executed:", b"Executed :"),
        ):
            answer = b"HTTP/1.1 503 Busy\r\n" + lines + b"\r\n"
            await self._assert_malformed(answer, headers=PLATFORM_HEADERS)

    @async_test
    async def test_connection_of_a_malformed_head_is_closed(self) -> None:
        # Guards against bytes behind the head as the answer to the next request.
        closed = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nX-A : a\r\nContent-Length: 0\r\n\r\n")
            try:
                await reader.read()
            except ConnectionError:
                pass
            closed.set()

        stream = await self._call(serve, _REQUEST)
        self.assertEqual("malformed_head", stream.failure.reason)
        async with asyncio.timeout(1.0):
            await closed.wait()

    async def _call_with_trailer(self, line: bytes) -> RecordingStream:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"2\r\nok\r\n0\r\nX-A: a\r\n" + line + b"\r\n\r\n"
        return await self._call(_send_answer(head + body), _REQUEST)

    @async_test
    async def test_malformed_trailer_breaks_the_answer_off(self) -> None:
        for line in (
            b"X A: a",
            b"X-A : a",
            b"X-\x01A: a",
            b": a",
            b"X-A: \x01",
            b" X-B: b",
            b"\tb",
        ):
            stream = await self._call_with_trailer(line)
            self.assertFalse(stream.complete, line)
            failure = (Verdict.RAN, "malformed_trailer")
            self.assertEqual(failure, stream.failure[:2], line)

    @async_test
    async def test_valid_trailer_ends_the_answer(self) -> None:
        for line in (b"X-B:", b"X-B: a\tb \xff", b"!#$%&'*+-.^_`|~09AZaz: a"):
            stream = await self._call_with_trailer(line)
            self.assertEqual((b"ok", True), (stream.body, stream.complete), line)

    @async_test
    async def test_valid_header_lines_are_passed_on(self) -> None:
        head = b"!#$%&'*+-.^_`|~09AZaz: a\r\nX-A:\r\nX-B: a\tb \xff\r\nX-C: a \t \r\n"
        answer = b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 2\r\n\r\nok"
        stream = await self._call(_send_answer(answer), _REQUEST)
        expected = (
            ("!#$%&'*+-.^_`|~09AZaz", "a"),
            ("X-A", ""),
            ("X-B", "a\tb \xff"),
            ("X-C", "a"),
            ("Content-Length", "2"),
        )
        self.assertEqual((expected, b"ok"), (stream.head.headers, stream.body))
