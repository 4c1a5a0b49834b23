"""Stand-in for a client that keeps a connection open."""

import asyncio
import uuid
from collections.abc import Callable
from typing import NamedTuple

from standins.http1 import Message, read_message, render

_CONNECT_TIMEOUT_S = 1.0


class Sent(NamedTuple):
    """A request of a client and what came back.

    :param answer: None if the connection ended without an answer, or if the client's
        deadline passed.
    :param timed_out: whether the client's deadline passed.
    """

    request_id: str
    path: str
    sent_at_s: float
    ended_at_s: float
    answer: Message | None
    timed_out: bool = False

    @property
    def status(self) -> int:
        """Status of the answer, 0 without one."""
        return 0 if self.answer is None else self.answer.status

    @property
    def signed(self) -> bool:
        """Whether the answer is an instance's."""
        return self.answer is not None and "response-signature" in self.answer.headers


class Client:
    """One client with one kept connection to the node of its machine."""

    def __init__(
        self,
        address: tuple[str, int],
        *,
        host: str,
        now_s: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        self._address = address
        self._host = host
        self._now_s = now_s
        self._log = log
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, *, deadline_ms: int, body: bytes = b""
    ) -> Sent:
        """Send a request on the kept connection and wait for its answer."""
        request_id = uuid.uuid4().hex[:16]
        headers = {
            "Host": self._host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        sent_at_s = self._now_s()
        answer, timed_out = None, False
        try:
            if self._writer is None:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    await self._connect()
            self._writer.write(render(f"{method} {path} HTTP/1.1", headers, body))
            async with asyncio.timeout(deadline_ms / 1000):
                answer = await read_message(self._reader, is_response=True)
        except TimeoutError:
            timed_out = True
        except OSError:
            answer = None
        sent = Sent(request_id, path, sent_at_s, self._now_s(), answer, timed_out)
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        self._log(
            "client",
            request=request_id,
            node=self._address[0],
            path=path,
            sent_at=round(sent_at_s, 3),
            status=sent.status,
            signed=sent.signed,
            timed_out=timed_out,
        )
        return sent

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _connect(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(*self._address)
