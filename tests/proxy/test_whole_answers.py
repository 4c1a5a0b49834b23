"""Tests of answers whose body has arrived with their head."""

from unittest import mock

import testtools
from tornado.iostream import IOStream

from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from tests import streams
from tests.proxy.caller_server import HOST, start_caller_server
from tests.support import async_test

_BODY = b"body"


class _Forwarder:
    """Sends the same answer to every call.

    :param content_length: value of that header, none if empty.
    """

    def __init__(self, content_length: str) -> None:
        self._headers = (("Content-Length", content_length),) if content_length else ()

    async def forward(self, call: object, caller: Caller) -> None:
        """Send the head and the body at once."""
        await caller.send_head(AnswerHead(200, "OK", self._headers, end=True), _BODY)
        caller.finish()


class WholeAnswerTest(testtools.TestCase):
    """Guards against answers that are framed wrongly because they are sent at once."""

    async def _call(self, content_length: str, method: str = "GET") -> bytes:
        """Return all bytes that a caller gets on a connection with one request."""
        _, _, port = start_caller_server(self, _Forwarder(content_length))
        reader, writer = await streams.open_connection(HOST, port)
        request = f"{method} /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        writer.write(request.encode())
        try:
            return await reader.read()
        finally:
            writer.close()

    @async_test
    async def test_answer_is_sent_in_one_write(self) -> None:
        # Guards against a second system call for each short answer.
        written = []
        write = IOStream.write

        def record(stream: IOStream, data: bytes) -> object:
            written.append(bytes(data))
            return write(stream, data)

        with mock.patch.object(IOStream, "write", record):
            answer = await self._call(str(len(_BODY)))
        self.assertEqual([answer], [data for data in written if data])
        self.assertTrue(answer.endswith(b"\r\n\r\n" + _BODY), answer)

    @async_test
    async def test_answer_without_length_is_chunked(self) -> None:
        head, _, body = (await self._call("")).partition(b"\r\n\r\n")
        self.assertIn(b"Transfer-Encoding: chunked", head)
        self.assertEqual(b"4\r\nbody\r\n0\r\n\r\n", body)

    @async_test
    async def test_answer_to_head_has_no_body(self) -> None:
        head, _, body = (await self._call("4", "HEAD")).partition(b"\r\n\r\n")
        self.assertIn(b"Content-Length: 4", head)
        self.assertEqual(b"", body)

    @async_test
    async def test_body_that_contradicts_its_length_ends_the_connection(self) -> None:
        # The caller must neither take the answer for whole nor get a second one.
        for length in ("3", "5"):
            answer = await self._call(length)
            self.assertEqual(1, answer.count(b"HTTP/1.1 "), answer)
            body = answer.partition(b"\r\n\r\n")[2]
            self.assertNotEqual(int(length), len(body))
