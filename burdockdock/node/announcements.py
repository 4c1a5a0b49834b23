"""Announcements of the local backend server and detection of its silence."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer
from burdockdock.logs import log_event
from burdockdock.node.settings import NodeSettings

# Refusal reason of an announcement that arrived after a newer one of the same start.
LATE = "late"
# Announcements may arrive seconds late.
_MIN_SILENCE_TIMEOUT_S = 4.0
# This many consecutive announcements are never lost by chance.
_MISSED_ANNOUNCEMENTS_LIMIT = 3
_SILENCE_CHECK_INTERVAL_S = 0.5
# Number of departed instances whose delayed messages are still recognized.
_MAX_REMEMBERED_DEPARTURES = 16
# Delayed messages of a departed start may arrive for this long; used if its start time
# is unknown.
_UNKNOWN_START_REJECTION_S = 15.0


class BackendState(StrEnum):
    """Whether a backend server accepts calls."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Announcement(NamedTuple):
    """One status message of a backend server.

    :param sequence: increases with each message of one start; 0 if not numbered.
    :param started_ms: start time in Unix milliseconds, 0 if unknown.
    :param cold_s: remaining seconds of its warm-up, None if unknown.
    """

    backend: BackendServer
    state: BackendState
    sequence: int = 0
    started_ms: int = 0
    cold_s: float | None = None


class _Departure(NamedTuple):
    """A departed instance.

    :param started_ms: its latest departed start, in Unix milliseconds.
    :param until_s: monotonic time in seconds until which messages of this start and
        of earlier ones are refused.
    """

    started_ms: int
    until_s: float


class BackendWatch:
    """Keeps the latest state of the backend server and publishes its changes.

    :param change_own: updates and broadcasts this node's own membership entry.
    :param on_start: called on a new start of a backend server, with the remaining
        seconds of its warm-up.
    :param interval_s: seconds between its announcements, 0 if unknown.
    :param expected: service, host and port from the settings, None to accept any.
    """

    def __init__(
        self,
        *,
        gate: Gate,
        clock: Clock,
        change_own: Callable[..., None],
        on_start: Callable[[float | None], None],
        interval_s: float = 0.0,
        expected: tuple[str, str, int] | None = None,
    ) -> None:
        self._gate = gate
        self._clock = clock
        self._change_own = change_own
        self._on_start = on_start
        self._expected = expected
        self._silence_timeout_s = max(
            _MIN_SILENCE_TIMEOUT_S, _MISSED_ANNOUNCEMENTS_LIMIT * interval_s
        )
        self._last: Announcement | None = None
        self._departures: dict[str, _Departure] = {}
        self._last_announcement_s = float("-inf")
        self._published: dict[str, object] = {}

    def handle_announcement(self, announcement: Announcement) -> Failure | None:
        """Apply an announcement; return the reason if it is refused."""
        refusal = self._validate(announcement)
        if refusal is not None:
            log_event(
                "backend.announcement_refused",
                instance=announcement.backend.instance_id,
                reason=refusal.reason,
                detail=refusal.detail,
            )
            return refusal
        last = self._last
        self._last_announcement_s = self._clock.monotonic()
        self._last = announcement
        if last is None or _start_key(last) != _start_key(announcement):
            self._on_start(announcement.cold_s)
        self._publish(announcement)
        return None

    def handle_departure(self, instance_id: str, started_ms: int = 0) -> None:
        """Record that an instance departed; refuse its later messages.

        :param started_ms: its start time in Unix milliseconds, 0 if unknown.
        """
        last = self._last
        is_current_instance = (
            last is not None and last.backend.instance_id == instance_id
        )
        if is_current_instance and not started_ms:
            started_ms = last.started_ms
        self._record_departure(instance_id, started_ms)
        if not is_current_instance or started_ms < last.started_ms:
            log_event(
                "backend.unknown_left", instance=instance_id, started_ms=started_ms
            )
            return
        self._last = last._replace(state=BackendState.GONE)
        self._publish(self._last)

    async def run(self) -> None:
        """Check the backend server for silence; runs until cancelled."""
        while True:
            await sleep_to_tick(_SILENCE_CHECK_INTERVAL_S)
            self.check_silence()

    def check_silence(self) -> None:
        """Publish the backend server as not ready if its announcements stopped."""
        silent_s = self._clock.monotonic() - self._last_announcement_s
        if self._published.get("ready") and silent_s > self._silence_timeout_s:
            log_event(
                "backend.silent", silent_s=silent_s, limit_s=self._silence_timeout_s
            )
            self._publish_changes(ready=False)

    def _record_departure(self, instance_id: str, started_ms: int) -> None:
        """Record the latest start of a departed instance; keep the last few instances.

        An unknown start time is assumed to be at most the current time. Clocks differ,
        so this assumption expires; otherwise a later start could be refused forever.
        """
        departure = _Departure(started_ms, float("inf"))
        if not started_ms:
            until_s = self._clock.monotonic() + _UNKNOWN_START_REJECTION_S
            departure = _Departure(int(self._clock.now().timestamp() * 1000), until_s)
        known = self._departures.pop(instance_id, departure)
        self._departures[instance_id] = max(departure, known)
        while len(self._departures) > _MAX_REMEMBERED_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def _has_departed(self, announcement: Announcement) -> bool:
        """Return whether the announcement is from a departed start."""
        departure = self._departures.get(announcement.backend.instance_id)
        if departure is None or announcement.started_ms > departure.started_ms:
            return False
        return self._clock.monotonic() < departure.until_s

    def _validate(self, announcement: Announcement) -> Failure | None:
        backend = announcement.backend
        address = (backend.service, backend.host, backend.port)
        if self._expected is not None and address != self._expected:
            return Failure(Verdict.NOT_RUN, "other_backend_server", str(address))
        if self._has_departed(announcement):
            return Failure(
                Verdict.NOT_RUN, "gone", "this start of the instance has left"
            )
        last = self._last
        if last is None or not announcement.sequence:
            return None
        if announcement.started_ms < last.started_ms:
            return Failure(
                Verdict.NOT_RUN,
                "earlier_start",
                "a newer start has already announced itself",
            )
        if _start_key(last) != _start_key(announcement):
            return None
        if announcement.sequence <= last.sequence:
            return Failure(
                Verdict.NOT_RUN, LATE, f"{announcement.sequence} <= {last.sequence}"
            )
        return None

    def _publish(self, announcement: Announcement) -> None:
        """Update the gate and this node's membership entry."""
        backend = announcement.backend
        ready = announcement.state is BackendState.READY
        self._gate.announce(backend)
        self._gate.set_leaving(not ready)
        self._publish_changes(
            service=backend.service,
            service_version=backend.version,
            slots=backend.slots,
            ready=ready,
        )

    def _publish_changes(self, **changes: object) -> None:
        if {**self._published, **changes} == self._published:
            return
        self._published.update(changes)
        state = self._last.state.value if self._last else "unknown"
        instance = self._last.backend.instance_id if self._last else ""
        log_event("backend.changed", instance=instance, state=state, **self._published)
        self._change_own(**changes)


def _start_key(announcement: Announcement) -> tuple[str, int]:
    return announcement.backend.instance_id, announcement.started_ms


def expected_backend(settings: NodeSettings) -> tuple[str, str, int] | None:
    """Return the service, host and port required in announcements, None for any."""
    if not settings.backend_service:
        return None
    return (settings.backend_service, *settings.backend_address)
