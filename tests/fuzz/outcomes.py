"""What callers got, and how it stands in a run with the ledger."""

from typing import NamedTuple

from burdockdock.coordination.verdict import Failure
from burdockdock.standin.faulty_behaviour import Behaviour
from burdockdock.standin.ledger import LedgerEntry
from tests.fuzz.sequences import Call

ATTEMPT_HEADER = "X-Attempt"


class Outcome(NamedTuple):
    """What one call got.

    :param status: of the answer, 0 if no head came.
    :param failure: why there is no whole answer, None if there is one.
    """

    call: Call
    request_id: str
    attempt: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    failure: Failure | None

    def header(self, name: str) -> str:
        """Return the value of a header, empty without it."""
        found = (v for n, v in self.headers if n.lower() == name.lower())
        return next(found, "")


class Run(NamedTuple):
    """All outcomes of a sequence, and what the backend servers wrote down.

    :param behaviours: by the number of the arrival.
    """

    outcomes: list[Outcome]
    entries: list[LedgerEntry]
    behaviours: dict[int, Behaviour]

    def entry(self, number: int) -> LedgerEntry | None:
        """Return the entry of an arrival, None if it isn't of this run."""
        found = (e for e in self.entries if e.arrival.number == number)
        return next(found, None)

    def entries_of(self, attempt: str) -> list[LedgerEntry]:
        """Return the arrivals of one attempt of a caller."""
        return [e for e in self.entries if e.arrival.header(ATTEMPT_HEADER) == attempt]

    def behaviour_of(self, entry: LedgerEntry) -> Behaviour:
        """Return the behaviour that an arrival got."""
        return self.behaviours[entry.arrival.number]

    def outcome_of(self, entry: LedgerEntry) -> Outcome | None:
        """Return the outcome of the attempt that an arrival belongs to."""
        attempt = entry.arrival.header(ATTEMPT_HEADER)
        return next((o for o in self.outcomes if o.attempt == attempt), None)
