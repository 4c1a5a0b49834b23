"""What a faulty backend server got, ran and sent."""

import json
from collections.abc import Callable
from typing import NamedTuple


class Arrival(NamedTuple):
    """One request as it arrived.

    :param number: counted from 1 over all connections.
    :param connection: number of its connection, counted from 1.
    :param on_connection: number of the request on its connection, counted from 1.
    :param instance: id of the instance that got it.
    """

    number: int
    connection: int
    on_connection: int
    instance: str
    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return the value of a header, empty without it."""
        found = (v for n, v in self.headers if n.lower() == name.lower())
        return next(found, "")


class Answer(NamedTuple):
    """An answer that an arrival has, whether or not it is sent whole."""

    status: int
    body: bytes = b""
    signature: str = ""


class SentBytes(NamedTuple):
    """Bytes that were sent.

    :param owner: number of the arrival whose answer they are part of, 0 for none.
    :param kind: such as ``answer``, ``copy`` or ``junk``.
    """

    owner: int
    kind: str
    data: bytes


class LedgerEntry:
    """What became of one arrival.

    ``sent`` has the bytes that were sent on the connection from this arrival on until
    the next one. ``work_s`` is how long the run lasts, less if the connection is reset
    before. ``ended_connection`` says whether the server ended it behind the answer.
    """

    def __init__(self, arrival: Arrival, behaviour: str, *, at_s: float) -> None:
        self.arrival = arrival
        self.behaviour = behaviour
        self.at_s = at_s
        self.ran = False
        self.work_s = 0.0
        self.answer: Answer | None = None
        self.sent: list[SentBytes] = []
        self.ended_connection = False

    def as_json(self) -> str:
        """Return the entry as one line of JSON; bytes are Latin-1 text."""
        answer = self.answer
        sent = [(s.owner, s.kind, s.data.decode("latin-1")) for s in self.sent]
        arrival = self.arrival._replace(body="")
        return json.dumps(
            {
                **arrival._asdict(),
                "body": self.arrival.body.decode("latin-1"),
                "at_s": self.at_s,
                "behaviour": self.behaviour,
                "ran": self.ran,
                "work_s": self.work_s,
                "status": answer.status if answer else 0,
                "signature": answer.signature if answer else "",
                "sent": sent,
                "ended_connection": self.ended_connection,
            }
        )


class Ledger:
    """All arrivals at one or more backend servers, in their order.

    :param on_end: called with each entry once nothing is added to it any more.
    :param keeps_entries: whether ``entries`` gets the entries.
    """

    def __init__(
        self,
        on_end: Callable[[LedgerEntry], None] = lambda _: None,
        *,
        keeps_entries: bool = True,
    ) -> None:
        self.entries: list[LedgerEntry] = []
        self.on_end = on_end
        self.arrivals = 0
        self.connections = 0
        self._keeps_entries = keeps_entries

    def add(self, entry: LedgerEntry) -> None:
        """Add the entry of a new arrival."""
        self.arrivals += 1
        if self._keeps_entries:
            self.entries.append(entry)

    def next_connection(self) -> int:
        """Return the number of a new connection."""
        self.connections += 1
        return self.connections

    def entry(self, number: int) -> LedgerEntry | None:
        """Return the entry of an arrival, None if there is none or it isn't kept."""
        found = (e for e in self.entries if e.arrival.number == number)
        return next(found, None)

    def take_entries(self) -> list[LedgerEntry]:
        """Return the entries, and keep only later ones; their numbers go on."""
        entries, self.entries = self.entries, []
        return entries
