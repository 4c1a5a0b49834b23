"""A call and its caller as the listener passes them to the forwarder."""

import asyncio
from typing import NamedTuple, Protocol

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol import ReceiverGone
from burdockdock.protocol.calls import AnswerHead, CallRequest
from burdockdock.proxy.authentication import ANONYMOUS, Identity
from burdockdock.proxy.ready_check import ReadyCheck
from burdockdock.proxy.remote_call import RemoteCall

_MAX_REPLAY_BYTES = 64 * 1024


class Caller(Protocol):
    """The caller's connection: reads the request's body and sends the answer."""

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next chunk of the request's body and whether it is the last."""
        ...

    async def send_head(self, head: AnswerHead, body: bytes = b"") -> None:
        """Send the head of the answer, and the whole body if it has arrived."""
        ...

    async def send_body(self, data: bytes) -> None:
        """Send a chunk of the answer's body, and wait while the connection is full."""
        ...

    def finish(self) -> None:
        """Mark the answer as complete."""
        ...

    def abort(self) -> None:
        """Break the connection, so that a partial answer doesn't look complete."""
        ...


class Call(NamedTuple):
    """A request with the limits of its forwarding.

    :param deadline_s: monotonic seconds.
    :param retries: how many attempts may follow the first.
    :param key: the request id that the caller's idempotency key gave, empty if the
        caller sent no key.
    :param target_s: when the answer loses value, in monotonic seconds; 0 for never.
    :param large_answer: whether to prefer near backend servers for a large answer.
    :param may_wait: whether it may queue for a slot at a gate.
    :param allowed_regions: regions whose backend servers it may reach, None for all.
    :param identity: whose request it is.
    """

    request: CallRequest
    deadline_s: float
    retries: int
    key: str = ""
    target_s: float = 0.0
    large_answer: bool = False
    may_wait: bool = True
    allowed_regions: frozenset[str] | None = None
    identity: Identity = ANONYMOUS

    def time_left_ms(self, now_s: float) -> int:
        """Return the time left until the deadline.

        :param now_s: monotonic seconds.
        """
        return int((self.deadline_s - now_s) * 1000)

    def target_left_ms(self, now_s: float) -> int:
        """Return the time left until the target, 0 if the call has no target.

        A target that is less than 1 ms away or was just missed is -1, not 0.

        :param now_s: monotonic seconds.
        """
        if not self.target_s:
            return 0
        return int((self.target_s - now_s) * 1000) or -1


class ReplayableBody:
    """A request's body whose prefix is buffered, so that a retry can send it again."""

    def __init__(self, caller: Caller, length: int) -> None:
        self._caller = caller
        self._length = length
        self.prefix = b""
        self.prefix_is_whole_body = True
        self.replayable = True

    async def read_prefix(
        self, timeout_s: float, check_ready: ReadyCheck
    ) -> Failure | None:
        """Read all of a short body, or the first chunk of a longer one.

        :param check_ready: called then.
        :returns: a failure if it didn't arrive in time, or that of the check.
        """
        if self._length:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._read_prefix()
            except TimeoutError:
                return Failure(Verdict.NOT_RUN, "request_body_late")
        return await check_ready()

    async def _read_prefix(self) -> None:
        self.prefix, self.prefix_is_whole_body = await self._caller.read_body()
        parts = [self.prefix]
        while not self.prefix_is_whole_body and 0 < self._length <= _MAX_REPLAY_BYTES:
            data, self.prefix_is_whole_body = await self._caller.read_body()
            parts.append(data)
        self.prefix = b"".join(parts)

    async def send_rest(self, remote: RemoteCall) -> None:
        """Send what follows the prefix; a call that sent any of it can't be retried."""
        end = False
        while not end:
            data, end = await self._caller.read_body()
            self.replayable = False
            try:
                await remote.send_body(data, end=end)
            except ReceiverGone:
                return
