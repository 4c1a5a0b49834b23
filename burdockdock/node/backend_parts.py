"""Construction of the components that follow the backend server beside a node."""

import random
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.gate.gate import Gate
from burdockdock.node.announcements import BackendWatch, expected_backend
from burdockdock.node.departure_log import DepartureLog
from burdockdock.node.departures import Departures
from burdockdock.node.settings import NodeSettings
from burdockdock.platform_api.client import PlatformClient


class BackendParts(NamedTuple):
    """What a node knows of its backend server, and where it is kept."""

    watch: BackendWatch
    departure_log: DepartureLog


def build_backend_parts(
    settings: NodeSettings,
    *,
    gate: Gate,
    platform: PlatformClient,
    clock: Clock,
    rng: random.Random,
    change_own: Callable[..., None],
    on_start: Callable[[float | None], None],
) -> BackendParts:
    """Build the components and connect them.

    :param change_own: updates and broadcasts this node's own membership entry.
    :param on_start: called on a new start of a backend server, with the remaining
        seconds of its warm-up.
    """
    departures = Departures(clock=clock)
    watch = BackendWatch(
        gate=gate,
        clock=clock,
        change_own=change_own,
        on_start=on_start,
        interval_s=settings.announce_interval_s,
        expected=expected_backend(settings),
        departures=departures,
        on_leaving=lambda: departure_log.request_save(),
        history_known=False,
    )
    departure_log = DepartureLog(
        platform,
        node_id=settings.name,
        departures=departures,
        watch=watch,
        rng=rng,
    )
    return BackendParts(watch, departure_log)
