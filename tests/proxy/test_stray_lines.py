"""Tests that nothing is written beside the answers of calls."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.call import Caller
from tests.proxy.listening import HOST, listen_for
from tests.support import async_test

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
        reader, writer = await asyncio.open_connection(
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
