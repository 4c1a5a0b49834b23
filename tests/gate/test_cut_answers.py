"""Tests of answers that end at any of their bytes."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.gate.curl_client import CurlClient
from burdockdock.gate.transfer import BackendRequest
from tests.gate.backend_servers import start_backend
from tests.support import async_test

_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Signature: s\r\n"
# Heads and bodies as they are sent.
_ANSWERS = {
    "length": (_HEAD + b"Content-Length: 4\r\n\r\n", b"body"),
    "chunked": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"4\r\nbody\r\n0\r\n\r\n",
    ),
    "padded": (_HEAD + b"X-A: b \t\r\nContent-Length: 4\r\n\r\n", b"body"),
    "interim": (
        b"HTTP/1.1 103 Early\r\n\r\n" + _HEAD + b"Content-Length: 0\r\n\r\n",
        b"",
    ),
    "trailer": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"4\r\nbody\r\n0\r\nX-A: b\r\n\r\n",
    ),
    # Without a length only the head shows whether it is whole.
    "no length": (_HEAD + b"Connection: close\r\n\r\n", b""),
}


class _CuttingServer:
    """Answers each request with ``answer``, then ends the connection.

    ``resets`` says whether it ends by a reset.
    """

    def __init__(self) -> None:
        self.answer = b""
        self.resets = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        if self.resets:
            writer.transport.abort()
        writer.close()


class CutAnswerTest(testtools.TestCase):
    """Tests that no answer whose end is missing looks whole."""

    async def _receive(self, port: int, method: str) -> Failure | bytes:
        """Send a request; return the body of its answer, or why there is none."""
        request = BackendRequest(
            method, f"http://127.0.0.1:{port}/", [], 0, 60_000, True
        )
        client = CurlClient()
        try:
            transfer = client.start(request)
            head = await transfer.head()
            if isinstance(head, Failure):
                return head
            body = b""
            while isinstance(chunk := await transfer.read_body(), bytes):
                body += chunk
            return body if chunk is None else chunk
        finally:
            client.close()

    async def _check_cuts(self, method: str, *, head_only: bool, resets: bool) -> None:
        """Cut each answer at each byte; check that none of these looks whole.

        :param head_only: whether to cut only in the head.
        """
        server = _CuttingServer()
        server.resets = resets
        port = await start_backend(server.serve)
        for name, (head, body) in _ANSWERS.items():
            answer = head if head_only else head + body
            for length in range(len(answer)):
                server.answer = answer[:length]
                outcome = await self._receive(port, method)
                self.assertIsInstance(outcome, Failure, (name, answer[:length]))

    @async_test
    async def test_closed_connection(self) -> None:
        # Guards against a head that lacks its last byte and counts as a whole answer.
        await self._check_cuts("GET", head_only=False, resets=False)

    @async_test
    async def test_reset_connection(self) -> None:
        await self._check_cuts("GET", head_only=False, resets=True)

    @async_test
    async def test_answer_without_a_body(self) -> None:
        await self._check_cuts("HEAD", head_only=True, resets=False)

    @async_test
    async def test_whole_answers_are_accepted(self) -> None:
        server = _CuttingServer()
        port = await start_backend(server.serve)
        for name, (head, body) in _ANSWERS.items():
            server.answer = head + body
            expected = b"body" if body else b""
            self.assertEqual(expected, await self._receive(port, "GET"), name)
