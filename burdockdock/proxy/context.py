"""What the callers' side needs to know of its node."""

import random
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.configuration.model import Snapshot
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.metrics import Metrics
from burdockdock.proxy.forwarder import Forwarder


class CallContext:
    """What the listener needs to know of its node.

    ``draining`` asks callers to go elsewhere with their next calls, ``refusing``
    refuses calls that could not end before this node does. ``answer_by_s`` bounds the
    deadlines of calls, in monotonic seconds; without ``may_wait`` a call finds a slot
    free or is refused.

    :param missing_version: returns the version of the configuration that is known to
        exist and is not here yet, 0 for none.
    :param own_service: returns the service of the backend server beside this node.
    :param headers: names of the headers of calls.
    """

    def __init__(
        self,
        *,
        node_id: str,
        availability_zone: str,
        snapshot: Callable[[], Snapshot],
        forwarder: Forwarder,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        missing_version: Callable[[], int] = lambda: 0,
        own_service: Callable[[], str] = lambda: "",
        headers: CallHeaders = OWN_HEADERS,
    ) -> None:
        self.node_id = node_id
        self.rng = rng
        self.missing_version = missing_version
        self.own_service = own_service
        self.headers = headers
        self.replaced_headers = _replaced_headers(headers)
        self.availability_zone = availability_zone
        self.snapshot = snapshot
        self.forwarder = forwarder
        self.clock = clock
        self.metrics = metrics
        self.draining = False
        self.refusing = False
        self.answer_by_s = float("inf")
        self.may_wait = True
        self.open_calls = 0


def _replaced_headers(names: CallHeaders) -> frozenset[str]:
    """Return the headers that nodes set themselves, whatever a caller sent."""
    replaced = {
        names.timeout,
        names.depth,
        names.caller_service,
        names.expected_instance,
    }
    if not names.caller_sets_request_id:
        replaced.add(names.request_id)
    return frozenset(name.lower() for name in replaced if name)
