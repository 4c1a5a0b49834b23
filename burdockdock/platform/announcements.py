"""HTTP servers for heartbeats and deregistrations, and for readiness checks."""

import json
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.model import BackendServer
from burdockdock.logs import log_event
from burdockdock.node.announcements import Announcement, BackendState
from burdockdock.node.departures import LATE
from burdockdock.node.interface import BackendActions
from burdockdock.platform.values import MALFORMED, parse_duration_ms

_HEARTBEAT_CALL = "instances.heartbeat"
_DEREGISTER_CALL = "instances.deregister"
_MAX_SLOTS = 100_000
_MAX_PORT = 65_535


def decode_heartbeat(instance_id: str, body: bytes) -> Announcement | Failure:
    """Decode a heartbeat; return a Failure if a field is missing or invalid."""
    try:
        return _build_announcement(instance_id, json.loads(body))
    except MALFORMED as error:
        return Failure(Verdict.NOT_RUN, "unreadable", repr(error))


def decode_started_ms(body: bytes) -> int:
    """Decode the start time of the instance that a deregistration names.

    :returns: Unix milliseconds, 0 if the message has no valid start time.
    """
    try:
        return _check_integer(json.loads(body).get("born", 0), 0, 1 << 62)
    except MALFORMED:
        return 0


def _build_announcement(instance_id: str, fields: dict[str, Any]) -> Announcement:
    host, _, port = fields["address"].rpartition(":")
    backend = BackendServer(
        service=_check_text(fields["service"]),
        version=_check_text(fields["version"]),
        host=host,
        port=_check_integer(int(port), 1, _MAX_PORT),
        slots=_check_integer(fields["slots"], 1, _MAX_SLOTS),
        instance_id=_check_text(instance_id),
    )
    return Announcement(
        backend,
        BackendState(fields["state"]),
        sequence=_check_integer(fields["seq"], 0, 1 << 62),
        started_ms=_check_integer(fields.get("born", 0), 0, 1 << 62),
        cold_s=parse_duration_ms(fields.get("cold-remaining", "0ms")) / 1000,
    )


def _check_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _check_integer(value: Any, minimum: int, maximum: int) -> int:
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not minimum <= value <= maximum
    ):
        raise ValueError(f"{value!r} is not an integer from {minimum} to {maximum}")
    return value


class _AnnouncementHandler(RequestHandler):
    """Handles heartbeats and deregistrations; the query names which one it is."""

    def initialize(self, actions: BackendActions) -> None:
        self._actions = actions

    async def post(self) -> None:
        """Process a message. A heartbeat that arrives out of order is not an error."""
        call = self.get_query_argument("call", "")
        instance_id = self.get_query_argument("of", "")
        if call == _DEREGISTER_CALL:
            self._actions.handle_departure(
                instance_id, decode_started_ms(self.request.body)
            )
            await self._actions.wait_saved()
            self.write({})
            return
        refusal = await self._process_heartbeat(call, instance_id)
        if refusal is not None and refusal.reason != LATE:
            self.set_status(400)
            self.write({"error": f"{refusal.reason}: {refusal.detail}"})
            return
        self.write({})

    async def _process_heartbeat(self, call: str, instance_id: str) -> Failure | None:
        if call != _HEARTBEAT_CALL:
            return Failure(Verdict.NOT_RUN, "unknown_call", call)
        result = decode_heartbeat(instance_id, self.request.body)
        if isinstance(result, Failure):
            log_event(
                "backend.announcement_unreadable",
                instance=instance_id,
                reason=result.detail,
            )
            return result
        refusal = self._actions.handle_announcement(result)
        if result.state is not BackendState.READY:
            await self._actions.wait_saved()
        return refusal


class _ReadinessHandler(RequestHandler):
    """Handles readiness checks."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        """Respond with 200 while this node accepts calls, else with 503."""
        ready = self._is_ready()
        self.set_status(200 if ready else 503)
        self.write({"ready": ready})


def serve_announcements(actions: BackendActions, host: str, port: int) -> HTTPServer:
    """Listen for messages of the backend server beside this node."""
    return _serve(r"/api/rpc", _AnnouncementHandler, {"actions": actions}, host, port)


def serve_readiness(is_ready: Callable[[], bool], host: str, port: int) -> HTTPServer:
    """Listen for checks of whether this node accepts calls."""
    return _serve(
        r"/api/readiness", _ReadinessHandler, {"is_ready": is_ready}, host, port
    )


def _serve(
    path: str,
    handler: type[RequestHandler],
    handler_arguments: dict[str, Any],
    host: str,
    port: int,
) -> HTTPServer:
    application = Application(
        [(path, handler, handler_arguments)], log_function=lambda handler: None
    )
    server = HTTPServer(application, max_body_size=1 << 16)
    server.listen(port, address=host, backlog=128)
    return server
