"""The HTTP server for operators, metrics, and the backend server's announcements."""

import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from burdockdock.node.status import StatusReport


class OperatorActions(NamedTuple):
    """What operators and the backend server can ask of a node.

    :param announce: takes in the backend server, and whether it is draining.
    :param status: returns the node's and the fleet's status.
    :param services: returns how many backend servers take calls, as this node sees it.
    :param refresh: reads the platform now; returns whether it answered.
    :param drain: stops the node gracefully.
    """

    announce: Callable[[BackendServer, bool], None]
    status: Callable[[], Awaitable[StatusReport]]
    services: Callable[[], dict[str, dict[str, int]]]
    refresh: Callable[[], Awaitable[bool]]
    drain: Callable[[], None]


def serve_operators(
    actions: OperatorActions, metrics: Metrics, *, host: str, port: int
) -> HTTPServer:
    """Listen for operators."""
    shared = {"actions": actions, "metrics": metrics}
    application = Application(
        [
            (r"/backend", _BackendHandler, shared),
            (r"/status", _StatusHandler, shared),
            (r"/services", _ServicesHandler, shared),
            (r"/refresh", _RefreshHandler, shared),
            (r"/drain", _DrainHandler, shared),
            (r"/metrics", _MetricsHandler, shared),
            (r"/quantiles", _QuantilesHandler, shared),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application, max_body_size=1 << 20)
    server.listen(port, address=host, backlog=256)
    return server


class _Handler(RequestHandler):
    def initialize(self, actions: OperatorActions, metrics: Metrics) -> None:
        self.actions = actions
        self.metrics = metrics


class _BackendHandler(_Handler):
    def post(self) -> None:
        try:
            fields = json.loads(self.request.body)
            draining = bool(fields.pop("draining", False))
            backend = BackendServer(**fields)
            _check(backend)
        except (ValueError, TypeError, AttributeError) as error:
            self.set_status(400)
            self.write({"error": str(error)})
            return
        self.actions.announce(backend, draining)
        self.write({"ok": True})


class _StatusHandler(_Handler):
    async def get(self) -> None:
        self.write(await self.actions.status())


class _ServicesHandler(_Handler):
    def get(self) -> None:
        self.write({"services": self.actions.services()})


class _RefreshHandler(_Handler):
    async def post(self) -> None:
        self.write({"platform": await self.actions.refresh()})


class _DrainHandler(_Handler):
    def post(self) -> None:
        self.actions.drain()
        self.write({"ok": True})


class _MetricsHandler(_Handler):
    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.metrics.prometheus_text())


class _QuantilesHandler(_Handler):
    def get(self) -> None:
        self.write({"histograms": self.metrics.quantiles()})


def _check(backend: BackendServer) -> None:
    if not isinstance(backend.service, str) or not backend.service:
        raise ValueError("service: give the service's name")
    if not isinstance(backend.version, str) or not backend.version:
        raise ValueError("version: give the backend server's version")
    if not isinstance(backend.port, int) or not 0 < backend.port < 65536:
        raise ValueError("port: give a port number")
    if not isinstance(backend.slots, int) or not 0 < backend.slots <= 100_000:
        raise ValueError("slots: give a whole number from 1 to 100000")
