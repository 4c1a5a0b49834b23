"""Admission of calls to a backend server that may be cold."""

from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.cold_limiter import ColdLimiter
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.model import BACKEND_COLD
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics

# Used after an evacuation if the configuration doesn't say how long servers are cold.
_DEFAULT_COLD_START_S = 30.0


class ColdLimits(NamedTuple):
    """How much the cold backend servers of a service take.

    :param rate_per_s: requests per second, 0 for no limit.
    :param start_s: seconds for which a server is cold after its start, 0 if unknown.
    :param bound: requests within a second that a server withstands, 0 if unknown.
    """

    rate_per_s: float = 0.0
    start_s: float = 0.0
    bound: float = 0.0


class ColdAdmission:
    """Refuses calls that a cold backend server has no room for.

    :param limits_of: returns the limits of a service.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        limits_of: Callable[[str], ColdLimits],
    ) -> None:
        self._metrics = metrics
        self._limits_of = limits_of
        self._limiter = ColdLimiter(clock=clock)

    @property
    def is_warming_up(self) -> bool:
        """Whether the server is cold, also if its service has no limit."""
        return self._limiter.is_cold

    def is_limited(self, service: str) -> bool:
        """Return whether cold servers of a service take fewer requests."""
        return self._limits_of(service).rate_per_s > 0

    def is_cold(self, service: str) -> bool:
        """Return whether the server is cold and takes fewer requests for it."""
        return self._limiter.is_cold and self.is_limited(service)

    def is_limiting(self, service: str) -> bool:
        """Return whether calls are limited, since the server is or may be cold."""
        return self.is_limited(service) and self._limiter.is_limiting

    def record_announcement(
        self, service: str, cold_s: float | None, *, new_start: bool
    ) -> None:
        """Record an announcement of the server.

        :param cold_s: remaining seconds for which it is cold, None if it doesn't say.
        """
        limits = self._limits_of(service)
        if cold_s is None:
            self._limiter.end_suspicion()
            if new_start and limits.start_s:
                self._limiter.record_announcement(limits.start_s)
            return
        was_limiting = self._limiter.is_limiting
        self._limiter.record_announcement(cold_s)
        if cold_s and not was_limiting and not new_start:
            self._report_late_notice(service, limits)

    def evacuation_ended(self, service: str) -> None:
        """Treat the server as cold until it says otherwise."""
        start_s = self._limits_of(service).start_s
        self._limiter.assume_cold(start_s or _DEFAULT_COLD_START_S)

    def suspect_cold(self) -> None:
        """Limit the calls until the server says whether it is cold."""
        self._limiter.suspect_cold()

    def refusal(self, service: str) -> Failure | None:
        """Return why a call can't be sent now, None if it can."""
        limits = self._limits_of(service)
        if not limits.rate_per_s or self._limiter.has_room(limits.rate_per_s):
            return None
        return _refusal(service, limits)

    def take(self, service: str) -> Failure | None:
        """Count a call that is sent now; return why if it can't be."""
        limits = self._limits_of(service)
        if not limits.rate_per_s or self._limiter.take(limits.rate_per_s):
            return None
        return _refusal(service, limits)

    def _report_late_notice(self, service: str, limits: ColdLimits) -> None:
        """Report that the server may have got more than it withstands.

        It may have been cold for as long as its announcements are apart.
        """
        sent = self._limiter.sent_in_window()
        if not limits.bound or sent <= limits.bound:
            return
        self._metrics.count("cold_noticed_late")
        log_event(
            "backend.cold_noticed_late", service=service, sent=sent, bound=limits.bound
        )


def _refusal(service: str, limits: ColdLimits) -> Failure:
    rate = f"{limits.rate_per_s:g} requests per second"
    detail = f"the backend server of {service} takes {rate} while cold"
    return Failure(Verdict.NOT_RUN, BACKEND_COLD, detail)
