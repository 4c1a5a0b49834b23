"""Stand-in for a backend server that misbehaves by a script and keeps a ledger."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from burdockdock.clock import Clock
from burdockdock.standin.faulty_answers import HeaderNames
from burdockdock.standin.faulty_behaviour import Behaviour, Restart
from burdockdock.standin.faulty_connection import Admitted, FaultyConnection
from burdockdock.standin.ledger import Arrival, Ledger, LedgerEntry, SentBytes
from burdockdock.standin.request_reading import RequestHead

_OTHER_INSTANCE = "other-service"
# Arrivals at the address while another service has it.
_OTHER_SERVICE_ARRIVALS = 3


class FaultyBackend:
    """A backend server that does with each arrival what a script says.

    :param next_behaviour: returns what to do with the next arrival.
    :param instance_id: id under which it starts.
    :param longest_work_s: limit for runs that last until the deadline, in seconds.
    :param idle_timeout_s: seconds after which an idle connection is closed.
    """

    def __init__(
        self,
        next_behaviour: Callable[[], Behaviour],
        *,
        clock: Clock,
        ledger: Ledger,
        names: HeaderNames,
        instance_id: str = "",
        health_path: str = "/health",
        longest_work_s: float = 60.0,
        idle_timeout_s: float = 60.0,
    ) -> None:
        self.names = names
        self.instance_id = instance_id
        self.health_path = health_path
        self.idle_timeout_s = idle_timeout_s
        self.ledger = ledger
        self._next_behaviour = next_behaviour
        self._clock = clock
        self._longest_work_s = longest_work_s
        self._server: asyncio.Server | None = None
        self._connections: dict[int, FaultyConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_entries: dict[int, LedgerEntry] = {}
        self._own_id = instance_id
        self._arrivals_until_own = 0

    async def start(self, host: str, port: int) -> int:
        """Start listening.

        :param port: 0 for any free port.
        :returns: the port.
        """
        self._server = await asyncio.start_server(self._accept, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self._reset_connections()
        for task in list(self._tasks):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    def admit(
        self, head: RequestHead, *, connection: int, on_connection: int
    ) -> Admitted:
        """Note an arrival in the ledger and choose its behaviour."""
        self._give_back_address()
        behaviour = self._next_behaviour()
        arrival = Arrival(
            number=self.ledger.arrivals + 1,
            connection=connection,
            on_connection=on_connection,
            instance=self.instance_id,
            request_id=head.header(self.names.request_id),
            method=head.method,
            target=head.target,
            headers=head.headers,
        )
        entry = LedgerEntry(arrival, str(behaviour), at_s=self._clock.monotonic())
        self.ledger.add(entry)
        self._last_entries[connection] = entry
        return Admitted(entry, behaviour)

    def finish(self, admitted: Admitted, connection: FaultyConnection) -> None:
        """Note that an arrival has got its answer, and restart if it says so."""
        restart = admitted.behaviour.restart
        if restart is Restart.OTHER_SERVICE:
            self.instance_id = _OTHER_INSTANCE
            self._arrivals_until_own = _OTHER_SERVICE_ARRIVALS
        if restart is not None:
            self._reset_connections()
        self.ledger.on_end(admitted.entry)

    def note_sent(self, connection: int, sent: SentBytes) -> None:
        """Note bytes that are sent on a connection."""
        self._last_entries[connection].sent.append(sent)

    def work_s(self, admitted: Admitted) -> float:
        """Return how long the run of an arrival takes in seconds."""
        if not admitted.behaviour.to_deadline:
            return admitted.behaviour.work_s
        deadline_ms = admitted.entry.arrival.header(self.names.timeout)
        is_number = deadline_ms.isascii() and deadline_ms.isdecimal()
        left_s = int(deadline_ms) / 1000 if is_number else 0.0
        return min(left_s, self._longest_work_s)

    def _give_back_address(self) -> None:
        """Count an arrival, and end the time of another service at this address."""
        if self._arrivals_until_own == 0:
            self.instance_id = self._own_id
        self._arrivals_until_own = max(0, self._arrivals_until_own - 1)

    def _reset_connections(self) -> None:
        now_s = self._clock.monotonic()
        for number, connection in list(self._connections.items()):
            entry = self._last_entries.get(number)
            if entry is not None:
                entry.work_s = min(entry.work_s, now_s - entry.at_s)
            connection.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self.ledger.next_connection()
        connection = FaultyConnection(self, number, reader, writer)
        self._connections[number] = connection
        self._tasks.add(asyncio.current_task())
        try:
            await connection.serve()
        finally:
            self._tasks.discard(asyncio.current_task())
            self._connections.pop(number, None)
            self._last_entries.pop(number, None)
