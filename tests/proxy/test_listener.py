"""Tests of the server that callers use."""

import asyncio

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy import listener
from burdockdock.proxy.call import Caller
from tests import streams
from tests.proxy.listening import HOST, listen_for
from tests.support import PATIENCE_S, async_test, eventually

_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"
_ANSWER = b"a whole answer"


class _Forwarder:
    """Reads nothing of the body; the caller is found gone when a test says so."""

    def __init__(self) -> None:
        self.gone = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> None:
        """Wait, then end as a write to a closed connection does."""
        await self.gone.wait()
        raise asyncio.CancelledError


class _AnsweringForwarder:
    """Answers at once, and hears of the answer's end only when a test says so."""

    def __init__(self) -> None:
        self.answer_ends = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> None:
        """Send an answer whose length stands in its head."""
        headers = (("Content-Length", str(len(_ANSWER))),)
        await caller.send_head(AnswerHead(200, "OK", headers))
        await caller.send_body(_ANSWER)
        await self.answer_ends.wait()
        caller.finish()


class _RefusingForwarder:
    """Refuses every call at once."""

    async def forward(self, call: object, caller: Caller) -> Failure:
        """Refuse a call."""
        return Failure(Verdict.NOT_RUN, "queue_full")


class ListenerTest(testtools.TestCase):
    """Tests of callers' connections and their end."""

    @async_test
    async def test_a_connection_whose_call_ended_does_not_wait_for_room(self) -> None:
        forwarder = _Forwarder()
        context, server, port = listen_for(self, forwarder)
        _, writer = await streams.open_connection(HOST, port)
        writer.write(_HEAD + b"x" * 4 * listener._MAX_BUFFERED_BODY_BYTES)
        await eventually(lambda: context.open_calls)
        # The connection's buffers take a part, and then the caller has to wait.
        await asyncio.sleep(0.2)
        forwarder.gone.set()
        await eventually(lambda: not context.open_calls)
        # A timeout would cancel what is tested, and hide that it hangs.
        closing = asyncio.create_task(server.close_all_connections())
        done, _ = await asyncio.wait({closing}, timeout=PATIENCE_S)
        self.assertEqual({closing}, done)
        writer.close()

    @async_test
    async def test_a_refusal_arrives_while_the_body_is_still_coming(self) -> None:
        context, _, port = listen_for(self, _RefusingForwarder())
        reader, writer = await streams.open_connection(HOST, port)
        writer.write(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n")
        await eventually(
            lambda: context.metrics.counter("call_failures", label="queue_full")
        )
        for _ in range(4):
            writer.write(b"x" * 1_000_000)
            await writer.drain()
            await asyncio.sleep(0.05)
        answer = await reader.readuntil(b"}")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        writer.close()
        await eventually(lambda: not context.open_calls)

    @async_test
    async def test_a_caller_that_leaves_with_its_whole_answer_has_it(self) -> None:
        context, _, port = listen_for(self, _AnsweringForwarder())
        reader, writer = await streams.open_connection(HOST, port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(_ANSWER)
        writer.close()
        await eventually(lambda: not context.open_calls)
        self.assertEqual(0, context.metrics.counter("calls_abandoned"))
