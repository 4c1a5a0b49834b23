"""State and services of the node that the handling of calls depends on."""

import random
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.configuration.model import Snapshot
from burdockdock.coordination.shutdown import ShutdownLimit
from burdockdock.coordination.verdict import Failure
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.metrics import Metrics
from burdockdock.proxy.chunk_pace import TinyChunkTime
from burdockdock.proxy.forwarder import Forwarder
from burdockdock.proxy.memory_budget import MemoryBudget
from burdockdock.proxy.quota_client import QuotaClient
from burdockdock.proxy.shed_log import ShedLog

# Bound where no budget is given.
_DEFAULT_MEMORY_BYTES = 1 << 30


class CallContext:
    """State and services of the node that the listener uses.

    While ``draining``, the node asks callers by ``Connection: close`` to send their
    next calls to other nodes. While ``refusing``, it refuses every new call,
    because none could end before the node stops. ``shutdown`` bounds the deadlines of
    calls and says which of them are refused before. ``tiny_chunk_time`` and
    ``shed_log`` are shared by all callers. If ``may_wait`` is false, calls
    don't queue: they get a free slot or are refused. ``open_calls`` counts the calls in
    progress.

    :param missing_version: returns the configuration version that is known to exist
        but has not arrived at this node, 0 for none.
    :param config_refusal: returns why a call must not be routed by the configuration of
        this node, None if it may.
    :param own_service: returns the service of the backend server beside this node.
    :param quota: admits calls within the quotas, None to admit all.
    :param headers: names of the headers of calls.
    :param memory: bounds what is held for callers.
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
        config_refusal: Callable[[], Failure | None] = lambda: None,
        own_service: Callable[[], str] = lambda: "",
        quota: QuotaClient | None = None,
        headers: CallHeaders = OWN_HEADERS,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.memory = memory or MemoryBudget(
            limit_bytes=_DEFAULT_MEMORY_BYTES, clock=clock
        )
        self.tiny_chunk_time = TinyChunkTime(clock)
        self.shed_log = ShedLog(metrics=metrics, clock=clock)
        self.node_id = node_id
        self.rng = rng
        self.missing_version = missing_version
        self.config_refusal = config_refusal
        self.own_service = own_service
        self.quota = quota
        self.headers = headers
        self.replaced_headers = _replaced_headers(headers)
        self.identity_headers = _identity_headers(headers)
        self.availability_zone = availability_zone
        self.snapshot = snapshot
        self.forwarder = forwarder
        self.clock = clock
        self.metrics = metrics
        self.draining = False
        self.refusing = False
        self.shutdown = ShutdownLimit()
        self.may_wait = True
        self.open_calls = 0


def _identity_headers(names: CallHeaders) -> frozenset[str]:
    """Return the headers by which a request's workspace is known, in lower case.

    Values that a caller sent in these headers are never passed on.
    """
    return frozenset({names.workspace.lower(), names.credential.lower()})


def _replaced_headers(names: CallHeaders) -> frozenset[str]:
    """Return the headers whose values from callers are dropped, in lower case.

    Nodes set these themselves.
    """
    replaced = {
        names.timeout,
        names.depth,
        names.caller_service,
        names.expected_instance,
    }
    if not names.caller_sets_request_id:
        replaced.add(names.request_id)
    if not names.caller_sets_workspace:
        replaced |= {names.workspace, names.credential}
    return frozenset(name.lower() for name in replaced if name)
