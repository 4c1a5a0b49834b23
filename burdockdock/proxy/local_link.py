"""Calls to the gate of this node, without a connection and without encoded messages.

The forwarder uses them like calls on a link to another node. Between two nodes a call
costs four encoded messages and eight system calls; here it costs a task.
"""

import asyncio

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.call_server import SHED_REASON, run_call
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BufferAccount, OpenAccount
from burdockdock.protocol import SendWindow
from burdockdock.protocol.calls import AnswerHead, CallRequest
from burdockdock.protocol.chunk_buffer import ChunkBuffer
from burdockdock.protocol.handshake import PeerIdentity
from burdockdock.proxy.remote_call import GateState, RemoteCall

_CALL_ID = 0


class LocalLink:
    """The forwarder's way to this node's own gate.

    ``waiting_since_s`` is always None, because the gate can't be silent.

    :param own: this node's identity.
    :param open_account: accounts for the memory of bodies, None for no bound.
    """

    def __init__(
        self,
        gate: Gate,
        own: PeerIdentity,
        *,
        open_account: OpenAccount | None = None,
    ) -> None:
        self._open_account = open_account
        self.peer = own
        self.waiting_since_s: float | None = None
        self._gate = gate

    def start(self, request: CallRequest) -> "LocalCall":
        """Start a call at the gate."""
        return LocalCall(self._gate, request, open_account=self._open_account)

    def note_call_sent(self, now_s: float) -> None:
        """Do nothing, because every call is received."""


class LocalCall(RemoteCall):
    """One attempt of a call at this node's own gate."""

    def __init__(
        self,
        gate: Gate,
        request: CallRequest,
        *,
        open_account: OpenAccount | None = None,
    ) -> None:
        self._open_account = open_account
        self._account: BufferAccount | None = None
        super().__init__(_CALL_ID, self)
        self._stream = _GateStream(gate, self, route=request.route)
        self._task = asyncio.create_task(run_call(gate, request, self._stream))

    def send(self, data: bytes) -> None:
        """Do nothing, because no frames are sent."""

    def forget(self, call_id: int) -> None:
        """Do nothing, because no connection refers to the call."""

    def _pass_body_on(self, data: bytes, *, end: bool) -> None:
        self._stream.receive_body(data, end)
        if self._account is None and self._open_account is not None:
            self._account = self._open_account(self._shed)
            self._task.add_done_callback(lambda _: self._account.close())
        if self._account is not None:
            self._account.whole = end
            self._account.move(len(data))
            self._account.hold(self._stream.held_bytes)

    def grant(self, size_bytes: int) -> None:
        """Handle that the gate has read a part of the request's body."""
        super().grant(size_bytes)
        if self._account is not None:
            self._account.hold(self._stream.held_bytes)

    def _shed(self) -> None:
        """End the call to free its memory; the gate reports whether it may have run."""
        self._task.add_done_callback(lambda _: self._fail_if_unreported())
        self._task.cancel()

    def _fail_if_unreported(self) -> None:
        if self._failure is None and not self._ended:
            self.receive_failure(Failure(Verdict.MAY_HAVE_RUN, SHED_REASON))

    def _grant_credit(self, size_bytes: int) -> None:
        self._stream.window.grant(size_bytes)

    def _withdraw(self) -> None:
        self._task.cancel()
        self._stream.window.close()


class _GateStream:
    """The gate's end of a call; implements ``CallStream``."""

    def __init__(self, gate: Gate, call: LocalCall, *, route: str) -> None:
        self.window = SendWindow()
        self._gate = gate
        self._call = call
        self._route = route
        self._chunks = ChunkBuffer()
        self._ended = False
        self._changed = asyncio.Event()

    @property
    def held_bytes(self) -> int:
        """Memory of the part of the request's body that the gate has not read."""
        return self._chunks.occupied_bytes

    def receive_body(self, data: bytes, end: bool) -> None:
        """Buffer a chunk of the request's body; the call's window bounds the buffer."""
        self._chunks.append(data)
        self._ended |= end
        self._changed.set()

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next chunk of the request's body and whether it is the last."""
        while not self._chunks and not self._ended:
            self._changed.clear()
            await self._changed.wait()
        data = self._chunks.take()
        end = self._ended and not self._chunks
        if data and not end:
            self._call.grant(len(data))
        return data, end

    def send_head(self, head: AnswerHead) -> None:
        """Pass on the head of the answer and size the window for its body."""
        self.window.resize(self._gate.answer_window_bytes)
        if head.body:
            self._call.receive_body(head.body, head.end)
        self._call.receive_head(head)

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Pass on a part of the answer's body once the caller's node has room."""
        if data:
            await self.window.reserve(len(data))
        self._call.receive_body(data, end)

    def fail(self, failure: Failure) -> None:
        """Report that the call failed before its answer was complete."""
        results = self._gate.results(self._route)
        self._call.refusal = GateState(self._gate.load, results, refused=True)
        self._call.receive_failure(failure)
