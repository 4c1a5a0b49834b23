"""One call on a link to another node."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol import SendWindow
from burdockdock.protocol.calls import AnswerHead, GateResults
from burdockdock.protocol.codec import frame


class GateState(NamedTuple):
    """What another node told of its gate.

    :param calls: calls that run and wait there.
    """

    calls: int
    results: GateResults


class Link(Protocol):
    """What a call needs of the link that it is on."""

    def send(self, data: bytes) -> None:
        """Send a frame."""
        ...

    def forget(self, call_id: int) -> None:
        """Drop what still arrives for a call, but for a late refusal."""
        ...


class RemoteCall:
    """One attempt of a call at another node.

    ``refusal`` is what that node told of itself when it refused or failed the call;
    ``on_late_refusal`` is told one that comes when the call was given up.
    """

    def __init__(self, call_id: int, link: Link) -> None:
        self._call_id = call_id
        self._link = link
        self._window = SendWindow()
        loop = asyncio.get_running_loop()
        self._head: asyncio.Future[AnswerHead | Failure] = loop.create_future()
        self._pieces: deque[bytes] = deque()
        self._ended = False
        self._failure: Failure | None = None
        self.refusal: GateState | None = None
        self.on_late_refusal: Callable[[Failure], None] | None = None
        self._arrived = asyncio.Event()

    async def head(self) -> AnswerHead | Failure:
        """Wait for the beginning of the answer."""
        return await self._head

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Send a piece of the request's body once there is room for it.

        :raises ReceiverGone: if the call is over.
        """
        if data:
            await self._window.reserve(len(data))
        self._link.send(frame("callBody", callId=self._call_id, data=data, end=end))

    async def read_body(self) -> bytes | Failure | None:
        """Return the next piece of the answer, None at its end."""
        while not self._pieces:
            if self._failure is not None:
                return self._failure
            if self._ended:
                return None
            self._arrived.clear()
            await self._arrived.wait()
        data = b"".join(self._pieces)
        self._pieces.clear()
        if not self._ended:
            self._link.send(frame("credit", callId=self._call_id, sizeBytes=len(data)))
        return data

    def cancel(self) -> None:
        """Tell the other node that the answer is no longer wanted."""
        if not self._ended and self._failure is None:
            self._link.send(frame("callCancel", callId=self._call_id))
        self._link.forget(self._call_id)
        self._window.close()

    def receive_head(self, head: AnswerHead) -> None:
        """Take in the beginning of the answer."""
        self._ended = head.end
        if not self._head.done():
            self._head.set_result(head)
        self._arrived.set()

    def receive_body(self, data: bytes, end: bool) -> None:
        """Take in a piece of the answer."""
        if data:
            self._pieces.append(data)
        self._ended |= end
        self._arrived.set()

    def receive_failure(self, failure: Failure) -> None:
        """Take in that there will be no whole answer."""
        self._failure = failure
        if not self._head.done():
            self._head.set_result(failure)
        self._window.close()
        self._arrived.set()

    def grant(self, size_bytes: int) -> None:
        """Take in credit for the request's body."""
        self._window.grant(size_bytes)
