"""Logs and notifications about a configuration version and where it is in force."""

from collections.abc import Callable

from burdockdock.logs import log_event
from burdockdock.node.config_state import ConfigState
from burdockdock.node.notifier import Notifier
from burdockdock.node.status import report_laggard
from burdockdock.overlay.applied_status import FleetStatus

# Takes the status of the fleet and the seconds since the version was first seen.
StatusCallback = Callable[[FleetStatus, float], None]
# The status of a node names all of them.
_MAX_LOGGED_SECTIONS = 10


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


def report_outcome(
    config: ConfigState,
    version: int,
    *,
    accepted: bool,
    waited_s: float,
    count: Callable[..., None],
) -> None:
    """Log whether this node applied a version, and what it can't use of it.

    :param waited_s: seconds since this node was first told of the version.
    :param count: adds to a counter, given its name and the number.
    """
    if not accepted:
        reason = config.applied_state().reason
        log_event("config.refused", version=version, reason=reason)
        return
    workspaces = config.snapshot.workspaces
    log_event(
        "config.applied",
        version=version,
        waited_s=waited_s,
        workspaces=len(workspaces.by_name),
        keys=len(workspaces.by_digest),
        unused=len(config.unused),
    )
    count("config_sections_unused", by=len(config.unused))
    for problem in list(config.unused.values())[:_MAX_LOGGED_SECTIONS]:
        log_event("config.section_unused", section=problem.section, reason=str(problem))
