"""Which starts of backend servers have left, so that late messages are not believed."""

from typing import Any, NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event

# Refusal reason of an announcement that arrived after a newer one of the same start.
LATE = "late"
# Number of departed instances whose delayed messages are still recognized.
_MAX_REMEMBERED_DEPARTURES = 16
# Delayed messages of a departed start may arrive for this long; used if its start time
# is unknown.
_UNKNOWN_START_REJECTION_S = 15.0
# Stands for all messages of a start.
_ALL_MESSAGES = -1
_MALFORMED = (OverflowError, TypeError, ValueError)


class Departure(NamedTuple):
    """A start of an instance that left, or that said that it is about to.

    :param started_ms: its start, in Unix milliseconds.
    :param sequence: number of the message that said so, -1 if the instance is gone.
    :param until_s: monotonic time in seconds until which the messages are refused.
    """

    started_ms: int
    sequence: int
    until_s: float


class Departures:
    """The last few departures beside one node."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._departures: dict[str, Departure] = {}

    def record_gone(self, instance_id: str, started_ms: int) -> None:
        """Record that a start of an instance, and its earlier ones, are gone.

        An unknown start time is assumed to be at most the current time. Clocks differ,
        so this assumption expires; otherwise a later start could be refused forever.

        :param started_ms: Unix milliseconds, 0 if unknown.
        """
        if started_ms:
            departure = Departure(started_ms, _ALL_MESSAGES, float("inf"))
        else:
            until_s = self._clock.monotonic() + _UNKNOWN_START_REJECTION_S
            departure = Departure(self._now_ms(), _ALL_MESSAGES, until_s)
        self._record(instance_id, departure)

    def record_draining(self, instance_id: str, started_ms: int, sequence: int) -> None:
        """Record that a start of an instance is about to leave.

        :param sequence: number of the message that said so.
        """
        self._record(instance_id, Departure(started_ms, sequence, float("inf")))

    def refusal(
        self, instance_id: str, started_ms: int, sequence: int, *, ready: bool
    ) -> Failure | None:
        """Return why an announcement is too late to be believed, None if it isn't.

        :param ready: whether it says that the instance accepts calls.
        """
        departure = self._departures.get(instance_id)
        if departure is None or started_ms > departure.started_ms:
            return None
        if self._clock.monotonic() >= departure.until_s:
            return None
        if started_ms < departure.started_ms or departure.sequence == _ALL_MESSAGES:
            return Failure(
                Verdict.NOT_RUN, "gone", "this start of the instance has left"
            )
        if ready and sequence <= departure.sequence:
            detail = f"{sequence} <= {departure.sequence}, which said that it leaves"
            return Failure(Verdict.NOT_RUN, LATE, detail)
        return None

    def to_value(self) -> dict[str, Any]:
        """Return the departures as a JSON object; times are Unix milliseconds."""
        return {
            "departures": [
                [name, found.started_ms, found.sequence, self._to_unix_ms(found)]
                for name, found in self._departures.items()
            ]
        }

    def merge_value(self, value: dict[str, Any]) -> None:
        """Add departures that were written as a JSON object; skip malformed ones."""
        listed = value.get("departures", [])
        for item in listed if isinstance(listed, list) else [listed]:
            try:
                name, *numbers = item
                started_ms, sequence, until_ms = (int(number) for number in numbers)
            except _MALFORMED:
                log_event("backend.odd_departure", item=repr(item))
                continue
            until_s = self._from_unix_ms(until_ms)
            self._record(str(name), Departure(started_ms, sequence, until_s))

    def _record(self, instance_id: str, departure: Departure) -> None:
        """Keep the latest departure of an instance, and the last few instances."""
        known = self._departures.pop(instance_id, departure)
        self._departures[instance_id] = max(departure, known, key=_recency)
        while len(self._departures) > _MAX_REMEMBERED_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def _to_unix_ms(self, departure: Departure) -> int:
        """Return when a departure expires in Unix milliseconds, 0 for never."""
        if departure.until_s == float("inf"):
            return 0
        left_s = departure.until_s - self._clock.monotonic()
        return self._now_ms() + int(left_s * 1000)

    def _from_unix_ms(self, until_ms: int) -> float:
        """Return the monotonic time at which a departure expires.

        The wall clock may have been stepped, so the time left is limited.
        """
        if not until_ms:
            return float("inf")
        left_s = (until_ms - self._now_ms()) / 1000
        left_s = min(max(0.0, left_s), _UNKNOWN_START_REJECTION_S)
        return self._clock.monotonic() + left_s


def _recency(departure: Departure) -> tuple[int, float, float]:
    is_gone = departure.sequence == _ALL_MESSAGES
    last_message = float("inf") if is_gone else departure.sequence
    return departure.started_ms, last_message, departure.until_s
