"""HTTP server for operators, metrics and backend server announcements."""

import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from burdockdock.node.status import StatusReport


class OperatorActions(NamedTuple):
    """Requests that operators and the backend server can make of a node.

    :param announce: processes an announcement, given the backend server and whether it
        is draining.
    :param status: returns the status of the node and the fleet.
    :param services: returns the number of backend servers that accept calls, by service
        and version, as this node sees it.
    :param refresh: reads from the platform at once; returns whether it answered.
    :param drain: starts a graceful shutdown.
    """

    announce: Callable[[BackendServer, bool], None]
    status: Callable[[], Awaitable[StatusReport]]
    services: Callable[[], dict[str, dict[str, int]]]
    refresh: Callable[[], Awaitable[bool]]
    drain: Callable[[], None]


def serve_operators(
    actions: OperatorActions, metrics: Metrics, *, host: str, port: int
) -> HTTPServer:
    """Start the operators' HTTP server on a host and port."""
    handler_args = {"actions": actions, "metrics": metrics}
    application = Application(
        [
            (r"/backend", _BackendHandler, handler_args),
            (r"/status", _StatusHandler, handler_args),
            (r"/services", _ServicesHandler, handler_args),
            (r"/refresh", _RefreshHandler, handler_args),
            (r"/drain", _DrainHandler, handler_args),
            (r"/metrics", _MetricsHandler, handler_args),
            (r"/quantiles", _QuantilesHandler, handler_args),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application, max_body_size=1 << 20)
    server.listen(port, address=host, backlog=256)
    return server


class _OperatorHandler(RequestHandler):
    def initialize(self, actions: OperatorActions, metrics: Metrics) -> None:
        self.actions = actions
        self.metrics = metrics


class _BackendHandler(_OperatorHandler):
    def post(self) -> None:
        try:
            fields = json.loads(self.request.body)
            draining = bool(fields.pop("draining", False))
            backend = BackendServer(**fields)
            _validate_backend(backend)
        except (ValueError, TypeError, AttributeError) as error:
            self.set_status(400)
            self.write({"error": str(error)})
            return
        self.actions.announce(backend, draining)
        self.write({"ok": True})


class _StatusHandler(_OperatorHandler):
    async def get(self) -> None:
        self.write(await self.actions.status())


class _ServicesHandler(_OperatorHandler):
    def get(self) -> None:
        self.write({"services": self.actions.services()})


class _RefreshHandler(_OperatorHandler):
    async def post(self) -> None:
        self.write({"platform": await self.actions.refresh()})


class _DrainHandler(_OperatorHandler):
    def post(self) -> None:
        self.actions.drain()
        self.write({"ok": True})


class _MetricsHandler(_OperatorHandler):
    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.metrics.prometheus_text())


class _QuantilesHandler(_OperatorHandler):
    def get(self) -> None:
        self.write({"histograms": self.metrics.quantiles()})


def _validate_backend(backend: BackendServer) -> None:
    if not isinstance(backend.service, str) or not backend.service:
        raise ValueError("service: give the service's name")
    if not isinstance(backend.version, str) or not backend.version:
        raise ValueError("version: give the backend server's version")
    if not isinstance(backend.port, int) or not 0 < backend.port < 65536:
        raise ValueError("port: give a port number")
    if not isinstance(backend.slots, int) or not 0 < backend.slots <= 100_000:
        raise ValueError("slots: give a whole number from 1 to 100000")
