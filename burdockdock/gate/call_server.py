"""Serves the calls that another node sends over a connection."""

import asyncio
import functools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.body_streaming import MAX_CHUNK_BYTES
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BufferAccount, CallStream, OpenAccount
from burdockdock.logs import log_event
from burdockdock.protocol import FrameConnection, Message, ReceiverGone, SendWindow
from burdockdock.protocol.calls import (
    AnswerHead,
    CallRequest,
    frame_answer_head,
    frame_failure,
    read_call_start,
)
from burdockdock.protocol.chunk_buffer import ChunkBuffer
from burdockdock.protocol.codec import frame

_CALL_MESSAGE_TYPES = frozenset(
    {"callStart", "callBody", "callCancel", "credit", "outcomeQuery"}
)
_MAX_CONCURRENT_CALLS = 4096
# What the objects of a call occupy, beside its body.
_CALL_BYTES = 8 * 1024
SHED_REASON = "gate_memory"


class CallServer:
    """Runs the calls that arrive on one connection at the gate.

    :param open_account: accounts for the memory of each call, None for no bound.
    """

    def __init__(
        self,
        connection: FrameConnection,
        gate: Gate,
        *,
        open_account: OpenAccount | None = None,
    ) -> None:
        self._open_account = open_account
        self._connection = connection
        self._gate = gate
        self._streams: dict[int, _ServerCallStream] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def handle(self, message: Message) -> bool:
        """Handle a message; return whether it belongs to a call."""
        message_type = message.which()
        if message_type not in _CALL_MESSAGE_TYPES:
            return False
        if message_type == "callStart":
            self._start(message.callStart.callId, read_call_start(message))
        elif message_type == "callBody":
            body = message.callBody
            self._receive_body(body.callId, body.data, body.end)
        elif message_type == "callCancel":
            self._cancel(message.callCancel.callId)
        elif message_type == "credit":
            self._grant_credit(message.credit.callId, message.credit.sizeBytes)
        else:
            self._answer_outcome_query(message.outcomeQuery)
        return True

    def close(self) -> None:
        """Release the calls of a closed connection.

        Idempotent calls are cancelled, and calls whose body can't arrive any more. The
        others run to completion, so that the caller's node can query their outcome over
        another connection.
        """
        for call_id, task in list(self._tasks.items()):
            stream = self._streams[call_id]
            if stream.idempotent or not stream.has_whole_body:
                task.cancel()
        for stream in self._streams.values():
            stream.close()

    def _start(self, call_id: int, request: CallRequest) -> None:
        if call_id in self._streams:
            return
        stream = _ServerCallStream(
            call_id,
            self._connection,
            self._gate,
            route=request.route,
            idempotent=request.idempotent,
            has_whole_body=request.end,
            prefix_bytes=len(request.body),
        )
        if len(self._streams) >= _MAX_CONCURRENT_CALLS:
            stream.fail(Failure(Verdict.NOT_RUN, "too_many_calls"))
            return
        self._streams[call_id] = stream
        # Before the task: a call that is shed here has not reached the gate.
        if self._open_account is not None and not self._open_call_account(
            call_id, stream, request
        ):
            del self._streams[call_id]
            stream.fail(Failure(Verdict.NOT_RUN, SHED_REASON))
            return
        task = asyncio.create_task(run_call(self._gate, request, stream))
        self._tasks[call_id] = task
        # Cleanup needs a callback: a task cancelled before its first step runs no code.
        task.add_done_callback(lambda _: self._forget(call_id))

    def _open_call_account(
        self, call_id: int, stream: "_ServerCallStream", request: CallRequest
    ) -> bool:
        """Account for a call's memory; return whether it may run with it."""
        stream.account = self._open_account(
            functools.partial(self._shed, call_id),
            held_bytes=stream.own_bytes,
        )
        stream.account.whole = request.end
        return not stream.was_shed

    def _shed(self, call_id: int) -> None:
        """End a call to free its memory.

        A call that still waits for a slot is reported as not run, any other as possibly
        run.
        """
        stream = self._streams.get(call_id)
        if stream is not None:
            log_event("gate.shed", route=stream.route, reason=SHED_REASON)
            stream.shed()
            self._cancel(call_id)

    def _forget(self, call_id: int) -> None:
        stream = self._streams.pop(call_id)
        stream.release()
        del self._tasks[call_id]

    def _receive_body(self, call_id: int, data: bytes, end: bool) -> None:
        stream = self._streams.get(call_id)
        if stream is not None:
            stream.receive_body(data, end)

    def _cancel(self, call_id: int) -> None:
        task = self._tasks.get(call_id)
        if task is not None:
            task.cancel()

    def _grant_credit(self, call_id: int, size_bytes: int) -> None:
        stream = self._streams.get(call_id)
        if stream is not None:
            stream.window.grant(size_bytes)

    def _answer_outcome_query(self, query: Message) -> None:
        outcome = self._gate.resolve(
            query.requestId, time_left_s=query.timeLeftMs / 1000
        )
        self._connection.send(
            frame(
                "outcome",
                queryId=query.queryId,
                verdict=int(outcome.verdict),
                reason=outcome.reason,
            )
        )


async def run_call(gate: Gate, request: CallRequest, stream: CallStream) -> None:
    """Run a call at a gate; an exception of the gate fails the call.

    Without a failure, the caller's node would wait until the deadline or longer.
    """
    try:
        await gate.run(request, stream)
    except ReceiverGone:
        pass
    except Exception as error:
        log_event("gate.fault", request=request.request_id, error=repr(error))
        stream.fail(Failure(Verdict.MAY_HAVE_RUN, "gate_fault", repr(error)))


class _ServerCallStream:
    """The gate's end of one call's stream over a connection.

    ``own_bytes`` is the memory that the call occupies until it ends.

    :param has_whole_body: whether all of the request's body has arrived.
    :param prefix_bytes: size of the part of the body that came with the request, which
        is kept until the call ends.
    """

    def __init__(
        self,
        call_id: int,
        connection: FrameConnection,
        gate: Gate,
        *,
        route: str,
        idempotent: bool,
        has_whole_body: bool = True,
        prefix_bytes: int = 0,
    ) -> None:
        self.own_bytes = _CALL_BYTES + prefix_bytes
        self.window = SendWindow()
        self.idempotent = idempotent
        self.has_whole_body = has_whole_body
        self.account: BufferAccount | None = None
        self.route = route
        self.was_shed = False
        self._failed = False
        self._call_id = call_id
        self._connection = connection
        self._gate = gate
        self._request_body = ChunkBuffer()
        self._request_body_changed = asyncio.Event()

    def receive_body(self, data: bytes, end: bool) -> None:
        """Buffer a chunk of the body; the sender's window bounds the buffer."""
        if self.was_shed:
            return
        self.has_whole_body |= end
        self._request_body.append(data)
        self._request_body_changed.set()
        self._update_account(len(data), in_hand_bytes=0)

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next part of the request's body and grant new credit."""
        while not self._request_body and not self.has_whole_body:
            self._request_body_changed.clear()
            await self._request_body_changed.wait()
        data = self._request_body.take()
        end = self.has_whole_body and not self._request_body
        self._update_account(len(data), in_hand_bytes=len(data))
        if data and not end:
            self._connection.send(
                frame("credit", callId=self._call_id, sizeBytes=len(data))
            )
        return data, end

    def shed(self) -> None:
        """Drop what is buffered, and report the call as failed once it has ended."""
        self.was_shed = True
        self._request_body.clear()

    def release(self) -> None:
        """Release the memory of a call that has ended."""
        if self.account is not None:
            self.account.close()
        if self.was_shed and not self._failed:
            self.fail(Failure(Verdict.MAY_HAVE_RUN, SHED_REASON))

    def _update_account(self, moved_bytes: int, *, in_hand_bytes: int) -> None:
        if self.account is None:
            return
        self.account.whole = self.has_whole_body
        self.account.move(moved_bytes)
        held_bytes = self._request_body.occupied_bytes + in_hand_bytes
        self.account.hold(self.own_bytes + held_bytes)

    def send_head(self, head: AnswerHead) -> None:
        """Send the head of the answer and size the window for its body."""
        self.window.resize(self._gate.answer_window_bytes)
        self._connection.send(frame_answer_head(self._call_id, head))

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Send a part of the answer's body in chunks, waiting for credit."""
        while len(data) > MAX_CHUNK_BYTES:
            await self._send_chunk(data[:MAX_CHUNK_BYTES], end=False)
            data = data[MAX_CHUNK_BYTES:]
        await self._send_chunk(data, end=end)

    async def _send_chunk(self, data: bytes, *, end: bool) -> None:
        if data:
            await self.window.reserve(len(data))
        self._connection.send(
            frame("answerBody", callId=self._call_id, data=data, end=end)
        )

    def fail(self, failure: Failure) -> None:
        """Report that the call failed before its answer was complete."""
        self._failed = True
        self._connection.send(
            frame_failure(
                self._call_id,
                failure,
                load=self._gate.load,
                results=self._gate.results(self.route),
            )
        )

    def close(self) -> None:
        """Make a sender that waits for credit raise :class:`ReceiverGone`."""
        self.window.close()
