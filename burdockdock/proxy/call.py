"""A call on its way: what the listener hands over, and the caller's side of it."""

from typing import NamedTuple, Protocol

from burdockdock.protocol import ReceiverGone
from burdockdock.protocol.calls import AnswerHead, CallRequest
from burdockdock.proxy.remote_call import RemoteCall

_REPLAY_BYTES = 64 * 1024


class Caller(Protocol):
    """The side of the caller."""

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next piece of the request's body and whether it ends."""
        ...

    async def send_head(self, head: AnswerHead) -> None:
        """Begin the answer."""
        ...

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the answer once there is room for it."""
        ...

    def finish(self) -> None:
        """End a whole answer."""
        ...

    def break_off(self) -> None:
        """Break the connection, so that a partial answer can't pass for a whole."""
        ...


class Call(NamedTuple):
    """A call as the listener hands it over.

    :param deadline_s: monotonic seconds.
    :param retries: further attempts allowed.
    :param key: the caller's own idempotency key, empty without one.
    :param target_s: when the answer loses value, in monotonic seconds; 0 for never.
    :param large_answer: the answer is large enough to prefer near backend servers.
    :param may_wait: whether it may wait for a slot at a gate.
    """

    request: CallRequest
    deadline_s: float
    retries: int
    key: str = ""
    target_s: float = 0.0
    large_answer: bool = False
    may_wait: bool = True

    def left_ms(self, now_s: float) -> int:
        """Return the time left to the deadline, from now in monotonic seconds."""
        return int((self.deadline_s - now_s) * 1000)


class ReplayableBody:
    """A request's body of which the beginning can be sent again."""

    def __init__(self, caller: Caller, length: int) -> None:
        self._caller = caller
        self._length = length
        self.start = b""
        self.start_is_all = True
        self.replayable = True

    async def read_first(self) -> None:
        """Read all of a short body, or the first piece of another."""
        self.start, self.start_is_all = await self._caller.read_body()
        while not self.start_is_all and 0 < self._length <= _REPLAY_BYTES:
            data, self.start_is_all = await self._caller.read_body()
            self.start += data

    async def send_rest(self, remote: RemoteCall) -> None:
        """Send what comes after the beginning; it can't be sent again."""
        end = False
        while not end:
            data, end = await self._caller.read_body()
            self.replayable = False
            try:
                await remote.send_body(data, end=end)
            except ReceiverGone:
                return
