"""One connection of a faulty backend server."""

import asyncio
import socket
import struct
from typing import NamedTuple, Protocol

from burdockdock.standin.faulty_answers import (
    HeaderNames,
    interim_answer,
    run_answer,
    wire_answer,
)
from burdockdock.standin.faulty_behaviour import (
    WHOLE,
    Behaviour,
    BodyReading,
    Copy,
    CopyId,
    CopyTime,
    Ending,
    Framing,
    ResetTime,
)
from burdockdock.standin.ledger import Answer, LedgerEntry, SentBytes
from burdockdock.standin.request_reading import RequestHead, read_body, read_head

# Time for which a connection rests before a late copy is sent on it.
_REST_S = 0.003
# Makes the kernel reset a connection that is closed.
_LINGER_ZERO = struct.pack("ii", 1, 0)
_TIMED_OUT_STATUS = 504
_OTHER_INSTANCE_STATUS = 421
_CLOSE = (("Connection", "close"),)


class Admitted(NamedTuple):
    """An arrival and what to do with it."""

    entry: LedgerEntry
    behaviour: Behaviour


class Server(Protocol):
    """The backend server that a connection belongs to."""

    names: HeaderNames
    instance_id: str
    health_path: str
    idle_timeout_s: float

    def admit(
        self, head: RequestHead, *, connection: int, on_connection: int
    ) -> Admitted:
        """Note an arrival in the ledger and choose its behaviour."""
        ...

    def finish(self, admitted: Admitted, connection: "FaultyConnection") -> None:
        """Note that an arrival has got its answer, if any."""
        ...

    def note_sent(self, connection: int, sent: SentBytes) -> None:
        """Note bytes that are sent on a connection."""
        ...

    def work_s(self, admitted: Admitted) -> float:
        """Return how long the run of an arrival takes in seconds."""
        ...


class _PendingCopy(NamedTuple):
    """A copy that is sent when the next request has arrived.

    :param sent_bytes: bytes of it that were sent already.
    """

    entry: LedgerEntry
    copy: Copy
    sent_bytes: int


class FaultyConnection:
    """Serves the requests of one connection, one at a time."""

    def __init__(
        self,
        server: Server,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._number = number
        self._reader = reader
        self._writer = writer
        self._arrivals = 0
        self._pending: list[_PendingCopy] = []

    async def serve(self) -> None:
        """Serve until either side ends the connection."""
        try:
            while head := await self._next_head():
                if head.target == self._server.health_path:
                    self._writer.write(self._health())
                elif not await self._serve_request(head):
                    break
        except OSError:
            # The caller has closed the connection.
            pass
        finally:
            self._writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        transport_socket = self._writer.get_extra_info("socket")
        if not self._writer.is_closing():
            transport_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
            )
        self._writer.transport.abort()

    async def _next_head(self) -> RequestHead | None:
        """Return the next request's head, None if the connection ends or rests long."""
        try:
            async with asyncio.timeout(self._server.idle_timeout_s):
                return await read_head(self._reader)
        except TimeoutError:
            return None

    def _health(self) -> bytes:
        names, instance_id = self._server.names, self._server.instance_id
        extra = ((names.instance_id, instance_id),) if names.instance_id else ()
        return wire_answer(names, Answer(200), request_id="", extra=extra).data

    async def _serve_request(self, head: RequestHead) -> bool:
        """Serve one request; return whether the connection goes on."""
        self._arrivals += 1
        admitted = self._server.admit(
            head, connection=self._number, on_connection=self._arrivals
        )
        try:
            goes_on = await self._run_and_answer(admitted, head)
            admitted.entry.ended_connection = not goes_on
            return goes_on
        finally:
            self._server.finish(admitted, self)

    async def _run_and_answer(self, admitted: Admitted, head: RequestHead) -> bool:
        entry, behaviour = admitted
        self._send_pending_copies(entry)
        if behaviour.reset is ResetTime.AFTER_HEAD:
            return self._end(Ending.RESET)
        if behaviour.body_reading is BodyReading.BEFORE_ANSWER:
            if not await self._read_body(entry, head):
                return self._end(Ending.CLOSE)
        if behaviour.reset is ResetTime.AFTER_REQUEST:
            return self._end(Ending.RESET)
        entry.answer = await self._answer(admitted)
        if behaviour.reset is ResetTime.AFTER_RUN:
            return self._end(Ending.RESET)
        await self._send_answer(admitted)
        if behaviour.body_reading is BodyReading.NEVER:
            return self._end(Ending.CLOSE)
        if behaviour.body_reading is BodyReading.AFTER_ANSWER:
            if not await self._read_body(entry, head):
                return self._end(Ending.CLOSE)
        return self._end(_ending(behaviour))

    async def _read_body(self, entry: LedgerEntry, head: RequestHead) -> bool:
        """Read the request's body into the ledger; return whether it has an end."""
        body = await read_body(self._reader, head)
        entry.arrival = entry.arrival._replace(body=body or b"")
        return body is not None

    async def _answer(self, admitted: Admitted) -> Answer:
        """Run the request unless it is refused, and return its answer."""
        entry, behaviour = admitted
        if self._is_misdirected(entry):
            return Answer(_OTHER_INSTANCE_STATUS)
        if behaviour.refusal is not None:
            return Answer(behaviour.refusal.status)
        entry.ran = True
        entry.work_s = self._server.work_s(admitted)
        await asyncio.sleep(entry.work_s)
        status = _TIMED_OUT_STATUS if behaviour.to_deadline else behaviour.status
        return run_answer(entry.arrival, status=status, body_bytes=behaviour.body_bytes)

    def _is_misdirected(self, entry: LedgerEntry) -> bool:
        expected = entry.arrival.header(self._server.names.expected_instance)
        return expected not in ("", entry.arrival.instance)

    async def _send_answer(self, admitted: Admitted) -> None:
        entry, behaviour = admitted
        junk = behaviour.junk
        self._send(0, "junk", junk.before)
        for status in behaviour.interim:
            interim = interim_answer(status, malformed_field=behaviour.malformed_field)
            self._send(entry.arrival.number, "interim", interim)
        wire = wire_answer(
            self._server.names,
            entry.answer,
            request_id=self._answer_id(admitted),
            framing=behaviour.framing,
            extra=self._extra_headers(admitted),
            has_body=entry.arrival.method != "HEAD",
            malformed_field=behaviour.malformed_field,
        )
        parts = ((wire.head, junk.between), (wire.body, junk.after))
        left = len(wire.data) if behaviour.cut_at == WHOLE else behaviour.cut_at
        for data, junk_after in parts:
            self._send(entry.arrival.number, "answer", data[:left])
            left = max(0, left - len(data))
            self._send(0, "junk", junk_after)
        await self._writer.drain()
        if behaviour.copy is not None:
            await self._send_copy(entry, behaviour.copy)

    def _answer_id(self, admitted: Admitted) -> str:
        refusal = admitted.behaviour.refusal
        named = refusal is None or refusal.has_id or admitted.entry.ran
        return admitted.entry.arrival.request_id if named else ""

    def _extra_headers(self, admitted: Admitted) -> tuple[tuple[str, str], ...]:
        entry, behaviour = admitted
        proves = behaviour.refusal is None or behaviour.refusal.proves
        refused = not entry.ran and proves
        extra = ((self._server.names.not_run, "1"),) if refused else ()
        closes = behaviour.ending is Ending.ANNOUNCED_CLOSE
        return extra + (_CLOSE if closes else ())

    async def _send_copy(self, entry: LedgerEntry, copy: Copy) -> None:
        """Send a copy of an answer, or the part whose time has come."""
        pending = _PendingCopy(entry, copy, 0)
        if copy.time is CopyTime.AT_ONCE:
            self._send_copy_from(pending, entry.arrival.request_id)
            return
        if copy.time is not CopyTime.AT_NEXT_REQUEST:
            await asyncio.sleep(_REST_S)
        if copy.time is CopyTime.LATE:
            self._send_copy_from(pending, entry.arrival.request_id)
            return
        if copy.time is CopyTime.AROUND_NEXT_REQUEST:
            half = self._copy_bytes(pending, entry.arrival.request_id)
            half = half[: len(half) // 2]
            self._send(entry.arrival.number, "copy", half)
            pending = pending._replace(sent_bytes=len(half))
        self._pending.append(pending)

    def _send_pending_copies(self, entry: LedgerEntry) -> None:
        pending, self._pending = self._pending, []
        for copy in pending:
            self._send_copy_from(copy, entry.arrival.request_id)

    def _send_copy_from(self, pending: _PendingCopy, next_id: str) -> None:
        data = self._copy_bytes(pending, next_id)[pending.sent_bytes :]
        is_first = pending.copy.id is CopyId.FIRST
        kind = "copy" if is_first else f"copy_{pending.copy.id.value}_id"
        self._send(pending.entry.arrival.number, kind, data)

    def _copy_bytes(self, pending: _PendingCopy, next_id: str) -> bytes:
        entry, copy = pending.entry, pending.copy
        first_id = entry.arrival.request_id
        ids = {CopyId.FIRST: first_id, CopyId.NONE: "", CopyId.NEXT: next_id}
        answer = entry.answer._replace(status=copy.status or entry.answer.status)
        wire = wire_answer(
            self._server.names,
            answer,
            request_id=ids[copy.id],
            has_body=entry.arrival.method != "HEAD",
        )
        return wire.data[: None if copy.length_bytes == WHOLE else copy.length_bytes]

    def _send(self, owner: int, kind: str, data: bytes) -> None:
        if data:
            self._server.note_sent(self._number, SentBytes(owner, kind, data))
            self._writer.write(data)

    def _end(self, ending: Ending) -> bool:
        """End the connection if it ends here; return whether it goes on."""
        if ending is Ending.RESET:
            self.reset()
        return ending is Ending.KEEP


def _ending(behaviour: Behaviour) -> Ending:
    """Return how the connection ends; it must where nothing else ends the answer."""
    must_end = behaviour.framing is Framing.NO_LENGTH or behaviour.cut_at != WHOLE
    must_end |= behaviour.framing is Framing.BAD_CHUNK
    if must_end and behaviour.ending is Ending.KEEP:
        return Ending.CLOSE
    return behaviour.ending
