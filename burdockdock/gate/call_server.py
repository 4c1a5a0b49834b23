"""The gate's end of a connection from another node."""

import asyncio

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.body_streaming import MAX_CHUNK_BYTES
from burdockdock.gate.gate import Gate
from burdockdock.logs import log_event
from burdockdock.protocol import FrameConnection, Message, ReceiverGone, SendWindow
from burdockdock.protocol.calls import (
    AnswerHead,
    CallRequest,
    frame_answer_head,
    frame_failure,
    read_call_start,
)
from burdockdock.protocol.codec import frame

_KINDS = frozenset({"callStart", "callBody", "callCancel", "credit", "outcomeQuery"})
_MAX_CALLS = 4096


class CallServer:
    """Serves the calls that arrive on one connection."""

    def __init__(self, connection: FrameConnection, gate: Gate) -> None:
        self._connection = connection
        self._gate = gate
        self._streams: dict[int, _ServedCall] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def handle(self, message: Message) -> bool:
        """Take in one message; return whether it belongs to a call."""
        kind = message.which()
        if kind not in _KINDS:
            return False
        if kind == "callStart":
            self._start(message.callStart.callId, read_call_start(message))
        elif kind == "callBody":
            body = message.callBody
            self._feed(body.callId, body.data, body.end)
        elif kind == "callCancel":
            self._cancel(message.callCancel.callId)
        elif kind == "credit":
            self._grant(message.credit.callId, message.credit.sizeBytes)
        else:
            self._answer_query(message.outcomeQuery)
        return True

    def close(self) -> None:
        """Let go of the calls that an ended connection leaves behind.

        Idempotent calls are cancelled. The others run to their end, so that the
        caller's node can learn their outcome over another connection.
        """
        for call_id, task in list(self._tasks.items()):
            if self._streams[call_id].idempotent:
                task.cancel()
        for stream in self._streams.values():
            stream.close()

    def _start(self, call_id: int, request: CallRequest) -> None:
        if call_id in self._streams:
            return
        stream = _ServedCall(
            call_id,
            self._connection,
            self._gate,
            route=request.route,
            idempotent=request.idempotent,
        )
        if len(self._streams) >= _MAX_CALLS:
            stream.fail(Failure(Verdict.NOT_RUN, "too_many_calls"))
            return
        self._streams[call_id] = stream
        task = asyncio.create_task(self._run(request, stream))
        self._tasks[call_id] = task
        # A task that is cancelled before its first step runs no line of its own.
        task.add_done_callback(lambda _: self._forget(call_id))

    async def _run(self, request: CallRequest, stream: "_ServedCall") -> None:
        try:
            await self._gate.run(request, stream)
        except ReceiverGone:
            pass
        except Exception as error:
            # The caller's node would wait for the answer to its deadline or longer.
            log_event("gate.fault", request=request.request_id, error=repr(error))
            stream.fail(Failure(Verdict.MAY_HAVE_RUN, "gate_fault", repr(error)))

    def _forget(self, call_id: int) -> None:
        del self._streams[call_id]
        del self._tasks[call_id]

    def _feed(self, call_id: int, data: bytes, end: bool) -> None:
        stream = self._streams.get(call_id)
        if stream is not None:
            stream.feed(data, end)

    def _cancel(self, call_id: int) -> None:
        task = self._tasks.get(call_id)
        if task is not None:
            task.cancel()

    def _grant(self, call_id: int, size_bytes: int) -> None:
        stream = self._streams.get(call_id)
        if stream is not None:
            stream.window.grant(size_bytes)

    def _answer_query(self, query: Message) -> None:
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


class _ServedCall:
    """One call as the gate sees it."""

    def __init__(
        self,
        call_id: int,
        connection: FrameConnection,
        gate: Gate,
        *,
        route: str,
        idempotent: bool,
    ) -> None:
        self.window = SendWindow()
        self.idempotent = idempotent
        self._route = route
        self._call_id = call_id
        self._connection = connection
        self._gate = gate
        self._pieces: asyncio.Queue[tuple[bytes, bool]] = asyncio.Queue()

    def feed(self, data: bytes, end: bool) -> None:
        """Queue a piece of the request's body; the window bounds the queue."""
        self._pieces.put_nowait((data, end))

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next piece of the request's body and grant new credit."""
        data, end = await self._pieces.get()
        if data and not end:
            self._connection.send(
                frame("credit", callId=self._call_id, sizeBytes=len(data))
            )
        return data, end

    def send_head(self, head: AnswerHead) -> None:
        """Begin the answer."""
        self.window.resize(self._gate.answer_window_bytes)
        self._connection.send(frame_answer_head(self._call_id, head))

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Send a piece of the answer once the receiver has room for it."""
        while len(data) > MAX_CHUNK_BYTES:
            await self._send_piece(data[:MAX_CHUNK_BYTES], end=False)
            data = data[MAX_CHUNK_BYTES:]
        await self._send_piece(data, end=end)

    async def _send_piece(self, data: bytes, *, end: bool) -> None:
        if data:
            await self.window.reserve(len(data))
        self._connection.send(
            frame("answerBody", callId=self._call_id, data=data, end=end)
        )

    def fail(self, failure: Failure) -> None:
        """End the call without a whole answer."""
        self._connection.send(
            frame_failure(
                self._call_id,
                failure,
                load=self._gate.load,
                results=self._gate.results(self._route),
            )
        )

    def close(self) -> None:
        """Wake a sender that waits for credit."""
        self.window.close()
