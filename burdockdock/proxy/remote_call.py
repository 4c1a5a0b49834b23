"""One attempt of a call on a link to another node."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol import SendWindow
from burdockdock.protocol.calls import AnswerHead, GateResults
from burdockdock.protocol.chunk_buffer import ChunkBuffer
from burdockdock.protocol.codec import frame


class GateState(NamedTuple):
    """The load and the results that another node's gate reported.

    :param calls: number of calls running and queued at the gate.
    :param results: results of the gate's latest calls.
    :param refused: whether it came with a failure, so that the number of calls
        doesn't include the attempt.
    """

    calls: int
    results: GateResults
    refused: bool = False


class Link(Protocol):
    """The part of a link's interface that a call uses."""

    def send(self, data: bytes) -> None:
        """Send a frame."""
        ...

    def forget(self, call_id: int) -> None:
        """Ignore further messages for a call, except for a late refusal."""
        ...


class RemoteCall:
    """One attempt of a call at another node.

    ``refusal`` is the gate's state as reported when the node refused or failed the
    call. ``on_late_refusal`` is called with a failure that arrives after the call was
    cancelled.

    :param wait_writable: waits while too many sent bytes wait on the link.
    """

    def __init__(
        self,
        call_id: int,
        link: Link,
        *,
        wait_writable: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._call_id = call_id
        self._wait_writable = wait_writable
        self._link = link
        self._window = SendWindow()
        loop = asyncio.get_running_loop()
        self._head: asyncio.Future[AnswerHead | Failure] = loop.create_future()
        self._chunks = ChunkBuffer()
        self._ended = False
        self._failure: Failure | None = None
        self.refusal: GateState | None = None
        self.on_late_refusal: Callable[[Failure], None] | None = None
        self._arrived = asyncio.Event()

    async def head(self) -> AnswerHead | Failure:
        """Wait for the answer's head."""
        return await self._head

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Send a chunk of the request body once flow control permits.

        :param end: whether this is the last chunk.
        :raises ReceiverGone: if the call has ended.
        """
        if data:
            if self._wait_writable is not None:
                await self._wait_writable()
            await self._window.reserve(len(data))
        self._pass_body_on(data, end=end)

    async def read_body(self) -> bytes | Failure | None:
        """Return the next chunk of the answer body, or None at its end."""
        while not self._chunks:
            if self._ended:
                return None
            if self._failure is not None:
                return self._failure
            self._arrived.clear()
            await self._arrived.wait()
        return self.take_body()

    @property
    def body_arrived(self) -> bool:
        """Whether ``read_body`` returns without waiting."""
        return bool(self._chunks) or self._ended or self._failure is not None

    def take_body(self) -> bytes:
        """Take the part of the answer body that has arrived."""
        data = self._chunks.take()
        if data and not self._ended:
            self._grant_credit(len(data))
        return data

    def cancel(self) -> None:
        """Cancel the call at the other node unless it has ended."""
        if not self._ended and self._failure is None:
            self._withdraw()
        self._link.forget(self._call_id)
        self._window.close()

    def receive_head(self, head: AnswerHead) -> None:
        """Handle the answer's head."""
        self._ended = head.end
        if not self._head.done():
            self._head.set_result(head)
        self._arrived.set()

    def receive_body(self, data: bytes, end: bool) -> None:
        """Handle a chunk of the answer body."""
        self._chunks.append(data)
        self._ended |= end
        self._arrived.set()

    def receive_failure(self, failure: Failure) -> None:
        """Handle a failure, after which no complete answer can arrive."""
        self._failure = failure
        if not self._head.done():
            self._head.set_result(failure)
        self._window.close()
        self._arrived.set()

    def grant(self, size_bytes: int) -> None:
        """Handle flow-control credit for the request body."""
        self._window.grant(size_bytes)

    def _pass_body_on(self, data: bytes, *, end: bool) -> None:
        self._link.send(frame("callBody", callId=self._call_id, data=data, end=end))

    def _grant_credit(self, size_bytes: int) -> None:
        self._link.send(frame("credit", callId=self._call_id, sizeBytes=size_bytes))

    def _withdraw(self) -> None:
        self._link.send(frame("callCancel", callId=self._call_id))
