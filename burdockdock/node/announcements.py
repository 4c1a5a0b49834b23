"""Announcements of the local backend server and detection of its silence."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer
from burdockdock.logs import log_event
from burdockdock.node.departures import LATE, Departures
from burdockdock.node.settings import NodeSettings

# Announcements may arrive seconds late.
_MIN_SILENCE_TIMEOUT_S = 4.0
# This many consecutive announcements are never lost by chance.
_MISSED_ANNOUNCEMENTS_LIMIT = 3
_SILENCE_CHECK_INTERVAL_S = 0.5
# If it can't be read what left before this process started, an instance is believed
# after two of its messages, this far apart: late ones are single.
_CONFIRMATION_S = 1.0


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


class _Held(NamedTuple):
    """An announcement that isn't believed yet.

    :param since_s: monotonic time in seconds of the first one of the same start.
    """

    announcement: Announcement
    since_s: float


class BackendWatch:
    """Keeps the latest state of the backend server and publishes its changes.

    :param change_own: updates and broadcasts this node's own membership entry.
    :param on_start: called on a new start of a backend server, with the remaining
        seconds of its warm-up.
    :param interval_s: seconds between its announcements, 0 if unknown.
    :param expected: service, host and port from the settings, None to accept any.
    :param departures: the instances that left.
    :param on_leaving: called when an instance leaves, or says that it is about to.
    :param history_known: whether ``departures`` has those of earlier processes. If not,
        a numbered announcement of a ready instance has to wait for them.
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
        departures: Departures | None = None,
        on_leaving: Callable[[], None] = lambda: None,
        history_known: bool = True,
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
        self._departures = departures or Departures(clock=clock)
        self._on_leaving = on_leaving
        self._history_known = history_known
        self._history_unreadable = False
        self._held: _Held | None = None
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
        if self._has_to_wait(announcement):
            self._hold(announcement)
            return None
        self._apply(announcement)
        return None

    def history_known(self) -> None:
        """Note that ``departures`` has those of earlier processes."""
        self._history_known = True
        last, held = self._last, self._held
        self._held = None
        if last is not None and self._departure_refusal(last) is not None:
            self._last = last._replace(state=BackendState.GONE)
            self._publish(self._last)
        if held is not None:
            self.handle_announcement(held.announcement)

    def history_unreadable(self) -> None:
        """Note that the departures of earlier processes can't be read for now."""
        self._history_unreadable = True

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
        self._departures.record_gone(instance_id, started_ms)
        # What keeps late messages of a draining instance out is saved already.
        if not is_current_instance or last.state is not BackendState.DRAINING:
            self._on_leaving()
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
            self.check_cold()

    def check_silence(self) -> None:
        """Publish the backend server as not ready if its announcements stopped."""
        silent_s = self._clock.monotonic() - self._last_announcement_s
        if self._published.get("ready") and silent_s > self._silence_timeout_s:
            log_event(
                "backend.silent", silent_s=silent_s, limit_s=self._silence_timeout_s
            )
            self._publish_changes(ready=False)

    def check_cold(self) -> None:
        """Publish whether the backend server is cold, which may end by itself."""
        if self._last is not None:
            self._publish_changes(cold=self._gate.is_cold)

    def _apply(self, announcement: Announcement) -> None:
        last = self._last
        self._held = None
        self._last_announcement_s = self._clock.monotonic()
        self._last = announcement
        is_new_start = not _is_same_start(last, announcement)
        if is_new_start:
            self._on_start(announcement.cold_s)
        self._gate.announce(announcement.backend)
        self._gate.announce_cold(announcement.cold_s, new_start=is_new_start)
        self._publish(announcement)
        if announcement.state is BackendState.READY or not announcement.sequence:
            return
        if is_new_start or last.state is BackendState.READY:
            self._departures.record_draining(
                *_start_key(announcement), announcement.sequence
            )
            self._on_leaving()

    def _has_to_wait(self, announcement: Announcement) -> bool:
        """Return whether an announcement can't be believed yet.

        It may be a late one of an instance that left when an earlier process ran.
        """
        is_ready = announcement.state is BackendState.READY
        if self._history_known or not (announcement.sequence and is_ready):
            return False
        if _is_same_start(self._last, announcement):
            return False
        return not self._is_confirmed(announcement)

    def _is_confirmed(self, announcement: Announcement) -> bool:
        """Return whether an instance is believed after two of its messages."""
        held = self._held
        if held is None or not self._history_unreadable:
            return False
        if not _is_same_start(held.announcement, announcement):
            return False
        confirmed_after_s = self._clock.monotonic() - held.since_s
        is_newer = announcement.sequence > held.announcement.sequence
        return is_newer and confirmed_after_s >= _CONFIRMATION_S

    def _hold(self, announcement: Announcement) -> None:
        """Keep the newest announcement, and when the first one of its start came."""
        held = self._held
        since_s = self._clock.monotonic()
        if held is not None:
            same_start = _is_same_start(held.announcement, announcement)
            since_s = held.since_s if same_start else since_s
            if _recency(announcement) < _recency(held.announcement):
                announcement = held.announcement
        self._held = _Held(announcement, since_s)

    def _departure_refusal(self, announcement: Announcement) -> Failure | None:
        return self._departures.refusal(
            *_start_key(announcement),
            announcement.sequence,
            ready=announcement.state is BackendState.READY,
        )

    def _validate(self, announcement: Announcement) -> Failure | None:
        backend = announcement.backend
        address = (backend.service, backend.host, backend.port)
        if self._expected is not None and address != self._expected:
            return Failure(Verdict.NOT_RUN, "other_backend_server", str(address))
        refusal = self._departure_refusal(announcement)
        if refusal is not None:
            return refusal
        last = self._last
        if last is None or not announcement.sequence:
            return None
        if announcement.started_ms < last.started_ms:
            return Failure(
                Verdict.NOT_RUN,
                "earlier_start",
                "a newer start has already announced itself",
            )
        if not _is_same_start(last, announcement):
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
        self._gate.set_leaving(not ready)
        self._publish_changes(
            service=backend.service,
            service_version=backend.version,
            slots=backend.slots,
            ready=ready,
            cold=self._gate.is_cold,
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


def _is_same_start(earlier: Announcement | None, announcement: Announcement) -> bool:
    return earlier is not None and _start_key(earlier) == _start_key(announcement)


def _recency(announcement: Announcement) -> tuple[int, int]:
    return announcement.started_ms, announcement.sequence


def expected_backend(settings: NodeSettings) -> tuple[str, str, int] | None:
    """Return the service, host and port required in announcements, None for any."""
    if not settings.backend_service:
        return None
    return (settings.backend_service, *settings.backend_address)
