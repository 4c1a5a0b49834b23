"""Tests of the flow control of answers to another node."""

import asyncio

import testtools

from burdockdock.clock import ManualClock
from burdockdock.gate.call_server import _ServerCallStream
from burdockdock.gate.gate import Gate
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import AnswerHead
from tests.proxy.fake_connection import FakeConnection
from tests.support import PATIENCE_S, async_test

_ANSWER = bytes(200 * 1024)


class AnswerWindowTest(testtools.TestCase):
    """Tests of the window of one large answer."""

    def _start_answer(
        self, calls_in_progress: int
    ) -> tuple[FakeConnection, _ServerCallStream]:
        """Start an answer at a gate that has some calls in progress."""
        gate = Gate(clock=ManualClock(), metrics=Metrics())
        gate._limiter._in_use = calls_in_progress
        connection = FakeConnection()
        call = _ServerCallStream(1, connection, gate, route="r", idempotent=True)
        call.send_head(AnswerHead(200, "OK", ()))
        return connection, call

    def _sent_bytes(self, connection: FakeConnection) -> int:
        return sum(len(m.answerBody.data) for m in connection.sent[1:])

    async def _bytes_sent_without_credit(self, calls_in_progress: int) -> int:
        connection, call = self._start_answer(calls_in_progress)
        task = asyncio.create_task(call.send_body(_ANSWER, end=True))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(task.done())
        task.cancel()
        return self._sent_bytes(connection)

    @async_test
    async def test_bytes_in_flight_are_limited_across_answers(self) -> None:
        single_answer_bytes = await self._bytes_sent_without_credit(1)
        self.assertLessEqual(single_answer_bytes, 160 * 1024)
        shared_answer_bytes = await self._bytes_sent_without_credit(8)
        self.assertLessEqual(8 * shared_answer_bytes, 2 * single_answer_bytes)

    @async_test
    async def test_credit_releases_the_whole_answer_in_order(self) -> None:
        connection, call = self._start_answer(8)
        answer = bytes(i % 251 for i in range(len(_ANSWER)))
        task = asyncio.create_task(call.send_body(answer, end=True))
        granted_bytes = 0
        async with asyncio.timeout(PATIENCE_S):
            while not task.done():
                await asyncio.sleep(0)
                sent_bytes = self._sent_bytes(connection)
                call.window.grant(sent_bytes - granted_bytes)
                granted_bytes = sent_bytes
        bodies = [m.answerBody for m in connection.sent[1:]]
        self.assertEqual(answer, b"".join(body.data for body in bodies))
        self.assertEqual([False] * (len(bodies) - 1) + [True], [b.end for b in bodies])
