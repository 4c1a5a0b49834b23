"""What is said when a configuration is in force everywhere, or late."""

from collections.abc import Callable

from burdockdock.logs import log_event
from burdockdock.node.notifier import Notifier
from burdockdock.node.status import report_laggard
from burdockdock.overlay.applied import FleetStatus

Teller = Callable[[FleetStatus, float], None]


def tell_in_force(notifier: Notifier) -> Teller:
    """Return a function that says that a version is in force everywhere."""

    def tell(status: FleetStatus, seconds_s: float) -> None:
        fields = {
            "version": status.version,
            "nodes": status.total,
            "seconds_s": round(seconds_s, 3),
        }
        log_event("config.in_force", **fields)
        notice_id = f"config-{status.version}/in_force"
        notifier.post_later(notice_id, "config.in_force", **fields)

    return tell


def tell_late(notifier: Notifier) -> Teller:
    """Return a function that says where a version is not in force in time."""

    def tell(status: FleetStatus, seconds_s: float) -> None:
        fields = {
            "version": status.version,
            "applied": status.applied,
            "nodes": status.total,
            "seconds_s": round(seconds_s, 3),
            "laggards": [report_laggard(state) for state in status.laggards],
        }
        log_event("config.late", **fields)
        notifier.post_later(f"config-{status.version}/late", "config.late", **fields)

    return tell
