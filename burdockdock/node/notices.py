"""Logs and notifications about the distribution of a configuration version."""

from collections.abc import Callable

from burdockdock.logs import log_event
from burdockdock.node.notifier import Notifier
from burdockdock.node.status import report_laggard
from burdockdock.overlay.applied_status import FleetStatus

# Takes the status of the fleet and the seconds since the version was first seen.
StatusCallback = Callable[[FleetStatus, float], None]


def in_force_callback(notifier: Notifier) -> StatusCallback:
    """Return a callback that reports a version in force on all nodes."""

    def notify(status: FleetStatus, elapsed_s: float) -> None:
        fields = {
            "version": status.version,
            "nodes": status.total,
            "seconds_s": round(elapsed_s, 3),
        }
        log_event("config.in_force", **fields)
        notice_id = f"config-{status.version}/in_force"
        notifier.post_later(notice_id, "config.in_force", **fields)

    return notify


def late_callback(notifier: Notifier) -> StatusCallback:
    """Return a callback that reports the nodes where a version is overdue."""

    def notify(status: FleetStatus, elapsed_s: float) -> None:
        fields = {
            "version": status.version,
            "applied": status.applied,
            "nodes": status.total,
            "seconds_s": round(elapsed_s, 3),
            "laggards": [report_laggard(state) for state in status.laggards],
        }
        log_event("config.late", **fields)
        notifier.post_later(f"config-{status.version}/late", "config.late", **fields)

    return notify
