"""What the backend server beside a node says of itself, and when it fell silent."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer
from burdockdock.logs import log_event
from burdockdock.node.settings import NodeSettings

# Reason of a refusal that only says that a newer message was heard already.
LATE = "late"
# Announcements may be seconds late; that many in a row are never lost by chance.
_SHORTEST_SILENCE_S = 4.0
_SILENT_INTERVALS = 3
_CHECK_S = 0.5
# Instances that left whose messages may still arrive late.
_MOST_LEFT = 16
# How long messages of a start that was not told may still arrive.
_UNTOLD_START_S = 15.0


class BackendState(StrEnum):
    """Whether a backend server takes work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Announcement(NamedTuple):
    """One message of a backend server about itself.

    :param sequence: grows with each message of one start; 0 where none is kept.
    :param started_ms: Unix milliseconds of its start, 0 where it is not told.
    :param cold_s: how much longer it is slow after its start, None where not told.
    """

    backend: BackendServer
    state: BackendState
    sequence: int = 0
    started_ms: int = 0
    cold_s: float | None = None


class _Left(NamedTuple):
    """An instance that left.

    :param started_ms: its latest start that left, in Unix milliseconds.
    :param until_s: monotonic seconds until which an earlier start is not believed.
    """

    started_ms: int
    until_s: float


class BackendWatch:
    """Keeps what the backend server said last, and passes on what is new in it.

    :param change_own: changes this node's own entry in the membership.
    :param on_start: called when another start of a backend server is heard of, with
        the seconds that it stays slow.
    :param interval_s: seconds between its announcements, 0 where not known.
    :param expected: service and address that the settings name, None for any.
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
        self._silence_s = max(_SHORTEST_SILENCE_S, _SILENT_INTERVALS * interval_s)
        self._last: Announcement | None = None
        self._left: dict[str, _Left] = {}
        self._heard_s = float("-inf")
        self._told: dict[str, object] = {}

    def take(self, announcement: Announcement) -> Failure | None:
        """Take in an announcement; return why it was not believed."""
        refusal = self._check(announcement)
        if refusal is not None:
            log_event(
                "backend.announcement_refused",
                instance=announcement.backend.instance_id,
                reason=refusal.reason,
                detail=refusal.detail,
            )
            return refusal
        last = self._last
        self._heard_s = self._clock.monotonic()
        self._last = announcement
        if last is None or _start_of(last) != _start_of(announcement):
            self._on_start(announcement.cold_s)
        self._pass_on(announcement)
        return None

    def leave(self, instance_id: str, started_ms: int = 0) -> None:
        """Take in that an instance has left; its later messages are not believed.

        :param started_ms: which start of it, in Unix milliseconds; 0 where not told.
        """
        last = self._last
        same = last is not None and last.backend.instance_id == instance_id
        if same and not started_ms:
            started_ms = last.started_ms
        self._remember_left(instance_id, started_ms)
        if not same or started_ms < last.started_ms:
            log_event(
                "backend.unknown_left", instance=instance_id, started_ms=started_ms
            )
            return
        self._last = last._replace(state=BackendState.GONE)
        self._pass_on(self._last)

    async def run(self) -> None:
        """Take a backend server that fell silent out of service, for ever."""
        while True:
            await sleep_to_tick(_CHECK_S)
            self.check_silence()

    def check_silence(self) -> None:
        """Take the backend server out of service if it fell silent."""
        silent_s = self._clock.monotonic() - self._heard_s
        if self._told.get("ready") and silent_s > self._silence_s:
            log_event("backend.silent", silent_s=silent_s, limit_s=self._silence_s)
            self._change(ready=False)

    def _remember_left(self, instance_id: str, started_ms: int) -> None:
        """Keep the latest start of the last few instances that left.

        Where nobody told which start it was, it began before now. Clocks differ, so
        that this is not held against the instance for ever.
        """
        left = _Left(started_ms, float("inf"))
        if not started_ms:
            until_s = self._clock.monotonic() + _UNTOLD_START_S
            left = _Left(int(self._clock.now().timestamp() * 1000), until_s)
        known = self._left.pop(instance_id, left)
        self._left[instance_id] = max(left, known)
        while len(self._left) > _MOST_LEFT:
            del self._left[next(iter(self._left))]

    def _has_left(self, announcement: Announcement) -> bool:
        """Tell whether the start that an announcement comes from has left."""
        left = self._left.get(announcement.backend.instance_id)
        if left is None or announcement.started_ms > left.started_ms:
            return False
        return self._clock.monotonic() < left.until_s

    def _check(self, announcement: Announcement) -> Failure | None:
        backend = announcement.backend
        place = (backend.service, backend.host, backend.port)
        if self._expected is not None and place != self._expected:
            return Failure(Verdict.NOT_RUN, "other_backend_server", str(place))
        if self._has_left(announcement):
            return Failure(Verdict.NOT_RUN, "gone", "this start of it has left")
        last = self._last
        if last is None or not announcement.sequence:
            return None
        if announcement.started_ms < last.started_ms:
            return Failure(Verdict.NOT_RUN, "earlier_start", "a newer one was heard")
        if _start_of(last) != _start_of(announcement):
            return None
        if announcement.sequence <= last.sequence:
            return Failure(
                Verdict.NOT_RUN, LATE, f"{announcement.sequence} <= {last.sequence}"
            )
        return None

    def _pass_on(self, announcement: Announcement) -> None:
        """Let the gate and the members know."""
        backend = announcement.backend
        ready = announcement.state is BackendState.READY
        self._gate.announce(backend)
        self._gate.set_leaving(not ready)
        self._change(
            service=backend.service,
            service_version=backend.version,
            slots=backend.slots,
            ready=ready,
        )

    def _change(self, **told: object) -> None:
        if {**self._told, **told} == self._told:
            return
        self._told.update(told)
        state = self._last.state.value if self._last else "unknown"
        instance = self._last.backend.instance_id if self._last else ""
        log_event("backend.changed", instance=instance, state=state, **self._told)
        self._change_own(**told)


def _start_of(announcement: Announcement) -> tuple[str, int]:
    return announcement.backend.instance_id, announcement.started_ms


def expected_backend(settings: NodeSettings) -> tuple[str, str, int] | None:
    """Return the service and address that announcements must name."""
    if not settings.backend_service:
        return None
    return (settings.backend_service, *settings.backend_address)
