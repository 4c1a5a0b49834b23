"""Connections to other nodes' gates, seen from the calling node."""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event
from burdockdock.protocol import MALFORMED, FrameConnection, Message
from burdockdock.protocol.calls import (
    CallRequest,
    frame_call_start,
    read_answer_head,
    read_failure,
    read_failure_results,
)
from burdockdock.protocol.codec import frame
from burdockdock.protocol.handshake import PeerIdentity, initiate_handshake
from burdockdock.proxy.remote_call import GateState, RemoteCall

CONNECT_TIMEOUT_S = 1.0
# Maximum number of calls per link that this node has given up and whose late refusals
# are still handled.
_MAX_LATE_REFUSAL_HANDLERS = 64
_NO_REQUEST_ID = ""
LINK_BROKEN = Failure(Verdict.MAY_HAVE_RUN, "peer_connection_broken")


class _Probe(NamedTuple):
    """A liveness check of a link.

    :param sent_at_s: when it was sent, in monotonic seconds.
    :param answered: done once any message arrives or the connection ends.
    """

    sent_at_s: float
    answered: asyncio.Future[None]


class PeerLink:
    """A connection to another node, shared by all calls to it.

    ``waiting_since_s`` is the monotonic time of the first call sent since the last
    message arrived, or None if no call was sent since then.
    """

    def __init__(
        self,
        connection: FrameConnection,
        peer: PeerIdentity,
        *,
        count_late: Callable[[], None],
    ) -> None:
        self.peer = peer
        self._connection = connection
        self._count_late = count_late
        self._ids = itertools.count(1)
        self._calls: dict[int, RemoteCall] = {}
        self._queries: dict[int, asyncio.Future[Failure]] = {}
        self._late_refusal_handlers: OrderedDict[int, Callable[[Failure], None]] = (
            OrderedDict()
        )
        self._retire_reason = ""
        self.waiting_since_s: float | None = None
        self._probe: _Probe | None = None
        self._reader = asyncio.create_task(self._read())

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._connection.closed

    def start(self, request: CallRequest) -> RemoteCall:
        """Send a request.

        Without a connection the returned call has already failed.
        """
        call_id = next(self._ids)
        call = RemoteCall(call_id, self, wait_writable=self._connection.wait_writable)
        self._calls[call_id] = call
        if self.closed:
            call.receive_failure(Failure(Verdict.NOT_RUN, "peer_connection_closed"))
        else:
            self.send(frame_call_start(call_id, request))
        return call

    def note_call_sent(self, now_s: float) -> None:
        """Record that a call is being sent.

        :param now_s: monotonic seconds.
        """
        if self.waiting_since_s is None:
            self.waiting_since_s = now_s

    def probe(self, now_s: float) -> "_Probe":
        """Send a liveness probe, or return the one that is still unanswered.

        :param now_s: monotonic seconds.
        """
        if self._probe is None:
            self._probe = _Probe(now_s, asyncio.get_running_loop().create_future())
            # No request has this id, so the query has no effect on the other node.
            self.send(
                frame("outcomeQuery", queryId=0, requestId=_NO_REQUEST_ID, timeLeftMs=0)
            )
        return self._probe

    async def query_outcome(self, request_id: str, *, time_left_ms: int) -> Failure:
        """Ask for the outcome of a request, which then can't start any more."""
        query_id = next(self._ids)
        future = asyncio.get_running_loop().create_future()
        self._queries[query_id] = future
        self.send(
            frame(
                "outcomeQuery",
                queryId=query_id,
                requestId=request_id,
                timeLeftMs=time_left_ms,
            )
        )
        try:
            return await future
        finally:
            del self._queries[query_id]
            self._close_if_unused()

    def send(self, data: bytes) -> None:
        """Send a frame."""
        self._connection.send(data)

    def forget(self, call_id: int) -> None:
        """Ignore further messages for a call, except for a late refusal."""
        call = self._calls.pop(call_id, None)
        if call is not None and call.on_late_refusal is not None:
            self._late_refusal_handlers[call_id] = call.on_late_refusal
            if len(self._late_refusal_handlers) > _MAX_LATE_REFUSAL_HANDLERS:
                self._late_refusal_handlers.popitem(last=False)
        self._close_if_unused()

    def retire(self, reason: str) -> None:
        """Close the connection once no call or query is pending on it.

        :param reason: reason to log.
        """
        self._retire_reason = reason
        self._close_if_unused()

    def close(self, reason: str) -> None:
        """Close the connection and fail its pending calls and queries.

        :param reason: reason to log.
        """
        self._connection.close()
        self._reader.cancel()
        self._fail_pending(reason)

    async def _read(self) -> None:
        reason = "closed_by_peer"
        try:
            while (message := await self._connection.read()) is not None:
                self._handle(message)
        except (ValueError, *MALFORMED) as error:
            reason = f"malformed: {error}"
        reason = self._connection.error or reason
        self._connection.close()
        self._fail_pending(reason)

    def _note_received(self) -> None:
        self.waiting_since_s = None
        probe, self._probe = self._probe, None
        if probe is not None and not probe.answered.done():
            probe.answered.set_result(None)

    def _handle(self, message: Message) -> None:
        self._note_received()
        kind = message.which()
        if kind == "answerHead":
            call = self._call_for_message(message.answerHead.callId)
            if call is not None:
                self._receive_head(call, message)
        elif kind == "answerBody":
            body = message.answerBody
            call = self._call_for_message(body.callId)
            if call is not None:
                call.receive_body(body.data, body.end)
        elif kind == "callFailed":
            self._receive_failure(message)
        elif kind == "credit":
            call = self._calls.get(message.credit.callId)
            if call is not None:
                call.grant(message.credit.sizeBytes)
        elif kind == "outcome":
            self._receive_outcome(message.outcome)

    def _receive_head(self, call: RemoteCall, message: Message) -> None:
        head = read_answer_head(message)
        if head.body:
            call.receive_body(head.body, head.end)
        call.receive_head(head)

    def _receive_failure(self, message: Message) -> None:
        failed = message.callFailed
        call = self._call_for_message(failed.callId)
        if call is not None:
            results = read_failure_results(message)
            call.refusal = GateState(failed.load, results, refused=True)
            call.receive_failure(read_failure(message))
            return
        on_late_refusal = self._late_refusal_handlers.pop(failed.callId, None)
        if on_late_refusal is not None:
            on_late_refusal(read_failure(message))

    def _receive_outcome(self, outcome: Message) -> None:
        future = self._queries.get(outcome.queryId)
        if future is not None and not future.done():
            future.set_result(Failure(Verdict(outcome.verdict), outcome.reason))

    def _call_for_message(self, call_id: int) -> RemoteCall | None:
        """Return the call that a message belongs to; count the message if late."""
        call = self._calls.get(call_id)
        if call is None:
            self._count_late()
        return call

    def _close_if_unused(self) -> None:
        is_unused = not self._calls and not self._queries
        if self._retire_reason and is_unused and not self.closed:
            self.close(self._retire_reason)

    def _fail_pending(self, reason: str) -> None:
        log_event(
            "link.ended",
            peer=self.peer.node_id,
            reason=reason,
            calls=len(self._calls),
        )
        self._note_received()
        for call in list(self._calls.values()):
            call.receive_failure(LINK_BROKEN)
        self._calls.clear()
        for future in self._queries.values():
            if not future.done():
                future.set_result(LINK_BROKEN)


class PeerLinks:
    """This node's connections to other nodes, opened on demand.

    ``connect`` opens a stream to an address and may be replaced.

    :param own: this node's identity for the handshake.
    :param count: increments the counter of the given name.
    """

    def __init__(self, own: PeerIdentity, *, count: Callable[[str], None]) -> None:
        self._own = own
        self._count = count
        self._links: dict[tuple[str, int], PeerLink] = {}
        self._retired: list[PeerLink] = []
        self._opening: dict[tuple[str, int], asyncio.Task[PeerLink | Failure]] = {}
        self.connect: Callable[[str, int], Awaitable[IOStream]] = TCPClient().connect

    def get_if_open(self, host: str, port: int) -> PeerLink | None:
        """Return the connection to an address if it is already open."""
        link = self._links.get((host, port))
        return link if link is not None and not link.closed else None

    async def get(self, host: str, port: int) -> PeerLink | Failure:
        """Return the connection to an address, opening it if needed.

        Concurrent callers share one connection attempt.
        """
        link = self.get_if_open(host, port)
        if link is not None:
            return link
        address = (host, port)
        task = self._opening.get(address)
        if task is None:
            task = asyncio.create_task(self._open(host, port))
            self._opening[address] = task
            task.add_done_callback(lambda _: self._opening.pop(address, None))
        return await asyncio.shield(task)

    def close(self) -> None:
        """Close every connection."""
        for task in list(self._opening.values()):
            task.cancel()
        for link in (*self._links.values(), *self._retired):
            link.close("node_stopped")

    def retire(self, node_id: str, host: str, port: int, *, reason: str) -> None:
        """Stop starting calls on the connection to a node at an address.

        The membership may be wrong about a node, so running calls are not aborted.
        They end with their answers, at their deadlines or when the connection ends.

        :param reason: reason to log.
        """
        link = self._links.get((host, port))
        if link is None or link.peer.node_id != node_id:
            return
        del self._links[host, port]
        self._retired = [retired for retired in self._retired if not retired.closed]
        self._retired.append(link)
        link.retire(reason)

    async def _open(self, host: str, port: int) -> PeerLink | Failure:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await self.connect(host, port)
        except (OSError, StreamClosedError, TimeoutError) as error:
            return Failure(
                Verdict.NOT_RUN, "peer_unreachable", f"{host}:{port} {error}"
            )
        connection = FrameConnection(stream)
        peer = await initiate_handshake(connection, self._own)
        if isinstance(peer, Failure):
            connection.close()
            return peer
        link = PeerLink(
            connection, peer, count_late=lambda: self._count("late_answers")
        )
        self._links[host, port] = link
        return link
