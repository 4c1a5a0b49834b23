"""Tests of messages, frames and flow control."""

import asyncio

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol import MALFORMED, ReceiverGone, SendWindow, decode
from burdockdock.protocol.calls import (
    AnswerHead,
    CallRequest,
    frame_answer_head,
    frame_call_start,
    frame_failure,
    read_answer_head,
    read_call_start,
    read_failure,
)
from burdockdock.protocol.codec import HEADER_BYTES
from tests.support import async_test

_TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\0\n"), max_size=20)
_NAMES = st.from_regex(r"[A-Za-z][A-Za-z-]{0,10}", fullmatch=True)
_HEADERS = st.lists(st.tuples(_NAMES, _TEXT), max_size=5).map(tuple)


class CodecTest(testtools.TestCase):
    """Messages survive a round trip, and malformed ones raise expected errors."""

    @given(
        st.builds(
            CallRequest,
            request_id=_TEXT,
            workspace=_TEXT,
            traffic_class=_TEXT,
            route=_TEXT,
            service=_TEXT,
            time_left_ms=st.integers(0, 2**32 - 1),
            idempotent=st.booleans(),
            method=_NAMES,
            target=_TEXT,
            headers=_HEADERS,
            body_length=st.integers(-1, 2**62),
            body=st.binary(max_size=50),
            end=st.booleans(),
            priority=st.integers(0, 9),
            queue_length=st.integers(0, 10_000),
            target_left_ms=st.integers(-(2**31), 2**31 - 1),
            key_id=st.integers(0, 2**64 - 1),
            authenticated_version=st.integers(0, 2**64 - 1),
        )
    )
    def test_request_round_trip(self, request: CallRequest) -> None:
        message = decode(frame_call_start(7, request)[HEADER_BYTES:])
        self.assertEqual(7, message.callStart.callId)
        self.assertEqual(request, read_call_start(message))

    @given(_HEADERS, st.binary(max_size=50), st.integers(100, 599))
    def test_answer_head_round_trip(
        self, headers: tuple, body: bytes, status: int
    ) -> None:
        head = AnswerHead(status, "reason", headers, body, True, 3)
        message = decode(frame_answer_head(1, head)[HEADER_BYTES:])
        self.assertEqual(head, read_answer_head(message))

    def test_failure_round_trip(self) -> None:
        for verdict in Verdict:
            failure = Failure(verdict, "reason", "detail")
            message = decode(frame_failure(1, failure, load=2)[HEADER_BYTES:])
            self.assertEqual(tuple(failure), tuple(read_failure(message)))

    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_decode_or_raise_malformed(self, data: bytes) -> None:
        try:
            message = decode(data)
            if message.which() == "callStart":
                read_call_start(message)
        except MALFORMED:
            pass


class SendWindowTest(testtools.TestCase):
    """Tests of flow control."""

    @async_test
    async def test_sender_waits_for_credit_and_wakes_on_close(self) -> None:
        window = SendWindow(size_bytes=10)
        await window.reserve(10)
        waiting = asyncio.create_task(window.reserve(5))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        window.grant(10)
        await waiting
        overdraft = asyncio.create_task(window.reserve(5))
        await overdraft
        blocked = asyncio.create_task(window.reserve(5))
        await asyncio.sleep(0)
        window.close()
        with testtools.ExpectedException(ReceiverGone):
            await blocked
