"""Runs the HTTP server for callers with fakes for the other parts of a node."""

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import NamedTuple

import testtools

from burdockdock.clock import SystemClock
from burdockdock.configuration.model import CallerLimits
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest
from burdockdock.proxy import caller_request
from burdockdock.proxy.chunk_pace import TinyChunkTime
from burdockdock.proxy.listener import CallerServer as Server
from burdockdock.proxy.listener import serve_callers
from burdockdock.proxy.memory_budget import MemoryBudget
from burdockdock.proxy.shed_log import ShedLog
from burdockdock.standin.local_fleet import free_port

HOST = "127.0.0.1"
REQUEST = CallRequest("id-1", "t", "c", "r", "work", 500, True, "GET", "/", ())


class CallerServer(NamedTuple):
    """A running server for callers and its fake call context."""

    context: SimpleNamespace
    server: Server
    port: int


def _build_call(*_: object, **__: object) -> SimpleNamespace:
    return SimpleNamespace(request=REQUEST)


def start_caller_server(
    test: testtools.TestCase,
    forwarder: object,
    *,
    make_call: Callable[..., object] = _build_call,
) -> CallerServer:
    """Serve callers until the end of a test.

    :param make_call: builds the call of a request; by default all get the same call.
    """
    test.patch(caller_request, "make_call", make_call)
    clock, metrics = SystemClock(), Metrics()
    context = SimpleNamespace(
        forwarder=forwarder,
        quota=None,
        clock=clock,
        metrics=metrics,
        memory=MemoryBudget(limit_bytes=1 << 30, clock=clock),
        tiny_chunk_time=TinyChunkTime(clock),
        shed_log=ShedLog(metrics=metrics, clock=clock),
        headers=SimpleNamespace(request_id="Request-Id"),
        open_calls=0,
        draining=False,
        refusing=False,
        rng=random.Random(1),
        snapshot=lambda: SimpleNamespace(version=1, limits=CallerLimits()),
    )
    port = free_port()
    server = serve_callers(context, host=HOST, port=port)
    test.addCleanup(server.stop)
    return CallerServer(context, server, port)
