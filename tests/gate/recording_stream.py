"""Stream that records what a gate sends to the caller's node."""

import asyncio

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead


class RecordingStream:
    """Records the answer or the failure of a call.

    :param body: rest of the request's body.
    """

    def __init__(self, *, body: bytes = b"") -> None:
        self.head: AnswerHead | None = None
        self.body = b""
        self.ended = asyncio.Event()
        self.complete = False
        self.failure: Failure | None = None
        self._body = body

    @property
    def status(self) -> int:
        """Status of the answer, 0 if there is none."""
        return 0 if self.head is None else self.head.status

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the rest of the request's body at once."""
        return self._body, True

    def send_head(self, head: AnswerHead) -> None:
        """Record the head and the body sent with it."""
        self.head = head
        self.body += head.body
        self._check_end(head.end)

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Record a part of the body."""
        self.body += data
        self._check_end(end)

    def fail(self, failure: Failure) -> None:
        """Record the failure."""
        self.failure = failure
        self.ended.set()

    def _check_end(self, end: bool) -> None:
        if end:
            self.complete = True
            self.ended.set()
