"""Tests of responses of the platform that are malformed."""

import asyncio

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform_api import PlatformClient, PlatformObject
from tests import streams
from tests.header_names import CONTROL_BYTES
from tests.support import async_test

_BODY = b'{"key": "k", "version": 1, "value": {"x": 1}}'
_LENGTH = b"Content-Length: %d\r\n" % len(_BODY)
_CHUNKS = b"%x\r\n%s\r\n0\r\n" % (len(_BODY), _BODY)
_NAMES = (b"", b"A b", b"A ", b"A\t", b" A", b"\xc4")


class _Store:
    """Sends the same bytes as the response to each request."""

    def __init__(self) -> None:
        self.response = b""

    async def start(self) -> PlatformClient:
        """Start listening; return a client of this store."""
        server = await streams.start_server(self._serve, "127.0.0.1", 0)
        return PlatformClient(
            f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}",
            name="test",
            clock=SystemClock(),
            timeout_s=2.0,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.response)
        await writer.drain()
        writer.close()


def _whole(head: bytes, *, status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 " + status + b"\r\n" + head + _LENGTH + b"\r\n" + _BODY


class MalformedResponsesTest(testtools.TestCase):
    """Tests that nothing is believed of a response with a malformed line."""

    async def _read(self, response: bytes) -> PlatformObject | Failure:
        store = _Store()
        client = await store.start()
        store.response = response
        try:
            return await client.read("k")
        finally:
            client.close()

    async def _assert_in_doubt(self, response: bytes) -> None:
        found = await self._read(response)
        self.assertIsInstance(found, Failure, response)
        self.assertEqual(Verdict.MAY_HAVE_RUN, found.verdict, response)

    @async_test
    async def test_malformed_names(self) -> None:
        for name in (*_NAMES, *(b"A" + byte for byte in CONTROL_BYTES)):
            await self._assert_in_doubt(_whole(name + b": a\r\n"))

    @async_test
    async def test_control_characters_in_values(self) -> None:
        for byte in CONTROL_BYTES:
            for value in (b"a" + byte + b"b", b"a" + byte):
                await self._assert_in_doubt(_whole(b"A: " + value + b"\r\n"))

    @async_test
    async def test_control_characters_in_reasons(self) -> None:
        for byte in CONTROL_BYTES:
            await self._assert_in_doubt(_whole(b"", status=b"200 O" + byte))

    @async_test
    async def test_malformed_lines_do_not_frame_the_body(self) -> None:
        for line in (b"Transfer-Encoding : chunked", b"Transfer-Encoding: chunked\x1f"):
            head = b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n"
            await self._assert_in_doubt(head + _CHUNKS + b"\r\n")

    @async_test
    async def test_lines_that_begin_with_a_blank(self) -> None:
        # Guards against an era that another line changed.
        for line in (b" b", b"\tX-Store-Era: 9", b" Content-Length: 1", b" "):
            await self._assert_in_doubt(_whole(b"A: a\r\n" + line + b"\r\n"))
            era = b"X-Store-Era: 7\r\n" + line + b"\r\n"
            await self._assert_in_doubt(_whole(era, status=b"503 Busy"))

    @async_test
    async def test_lengths_that_differ(self) -> None:
        for line in (b"Content-Length: 1", b"content-length: 9999"):
            await self._assert_in_doubt(_whole(line + b"\r\n"))

    @async_test
    async def test_malformed_refusal_proves_nothing(self) -> None:
        for status in (b"503 Busy", b"429 Busy", b"413 Large", b"410 Gone"):
            await self._assert_in_doubt(_whole(b"A : a\r\n", status=status))
            await self._assert_in_doubt(_whole(b"", status=status + b"\x01"))

    @async_test
    async def test_malformed_interim_head_and_trailer(self) -> None:
        interim = b"HTTP/1.1 103 Early\r\nA : a\r\n\r\n"
        await self._assert_in_doubt(interim + _whole(b""))
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self._assert_in_doubt(head + _CHUNKS + b"A : a\r\n\r\n")

    @async_test
    async def test_statuses_of_no_answer(self) -> None:
        for status in (b"000", b"099", b"600", b"999"):
            await self._assert_in_doubt(_whole(b"", status=status + b" Odd"))

    @async_test
    async def test_status_of_no_answer_states_no_era(self) -> None:
        store = _Store()
        client = await store.start()
        for status, era in ((b"600 Odd", 0), (b"999 Odd", 0), (b"500 Failed", 7)):
            store.response = _whole(b"X-Store-Era: 7\r\n", status=status)
            self.assertIsInstance(await client.read("k"), Failure)
            self.assertEqual(era, client.era.newest, status)
        client.close()

    @async_test
    async def test_valid_responses(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _CHUNKS
        for response in (
            _whole(b"!#$%&'*+-.^_`|~09AZaz: a\r\nA:\r\nB: a\tb \xff\r\n"),
            _whole(b"A: a \t \r\n"),
            _whole(b"", status=b"200"),
            b"HTTP/1.1 103 Early\r\nA: a\r\n\r\n" + _whole(b""),
            chunked + b"\r\n",
            chunked + b"A: a\r\n\r\n",
        ):
            found = await self._read(response)
            self.assertIsInstance(found, PlatformObject, response)
            self.assertEqual({"x": 1}, found.value)

    @async_test
    async def test_era_stands_in_the_final_head(self) -> None:
        for response, era in (
            (_whole(b"x-store-era: 7 \r\n"), 7),
            (b"HTTP/1.1 103 Early\r\nX-Store-Era: 8\r\n\r\n" + _whole(b""), 0),
        ):
            found = await self._read(response)
            self.assertEqual(era, found.era, response)
