"""A listener for callers with a node's other parts left out."""

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import NamedTuple

import testtools
from tornado.httpserver import HTTPServer

from burdockdock.clock import SystemClock
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest
from burdockdock.proxy import listener
from burdockdock.standin.local_fleet import free_port

HOST = "127.0.0.1"
REQUEST = CallRequest("id-1", "t", "c", "r", "work", 500, True, "GET", "/", ())


class Listening(NamedTuple):
    """A server for callers, and what it knows of its node."""

    context: SimpleNamespace
    server: HTTPServer
    port: int


def _call_of(*_: object) -> SimpleNamespace:
    return SimpleNamespace(request=REQUEST)


def listen_for(
    test: testtools.TestCase,
    forwarder: object,
    *,
    make_call: Callable[..., object] = _call_of,
) -> Listening:
    """Serve callers until the end of a test; every request makes the same call."""
    test.patch(listener, "make_call", make_call)
    context = SimpleNamespace(
        forwarder=forwarder,
        clock=SystemClock(),
        metrics=Metrics(),
        headers=SimpleNamespace(request_id="Request-Id"),
        open_calls=0,
        draining=False,
        refusing=False,
        rng=random.Random(1),
        snapshot=lambda: SimpleNamespace(version=1),
    )
    port = free_port()
    server = listener.serve_callers(context, host=HOST, port=port)
    test.addCleanup(server.stop)
    return Listening(context, server, port)
