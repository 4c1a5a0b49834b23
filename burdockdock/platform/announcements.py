"""Backend servers' heartbeats and leave messages, and the readiness question."""

import json
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.model import BackendServer
from burdockdock.logs import log_event
from burdockdock.node.announcements import LATE, Announcement, BackendState
from burdockdock.node.interface import BackendActions
from burdockdock.platform.values import milliseconds

_HEARTBEAT = "instances.heartbeat"
_LEAVE = "instances.deregister"
_MAX_SLOTS = 100_000


def decode_heartbeat(instance_id: str, body: bytes) -> Announcement | Failure:
    """Read a heartbeat; one with a missing or odd field names nothing to use."""
    try:
        return _heartbeat(instance_id, json.loads(body))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(Verdict.NOT_RUN, "unreadable", repr(error))


def decode_start(body: bytes) -> int:
    """Read which start of an instance speaks, 0 where the message does not tell."""
    try:
        return _whole(json.loads(body).get("born", 0), 0, 1 << 62)
    except (TypeError, ValueError, AttributeError):
        return 0


def _heartbeat(instance_id: str, fields: dict[str, Any]) -> Announcement:
    host, _, port = fields["address"].rpartition(":")
    backend = BackendServer(
        service=_text(fields["service"]),
        version=_text(fields["version"]),
        host=host,
        port=int(port),
        slots=_whole(fields["slots"], 1, _MAX_SLOTS),
        instance_id=_text(instance_id),
    )
    return Announcement(
        backend,
        BackendState(fields["state"]),
        sequence=_whole(fields["seq"], 0, 1 << 62),
        started_ms=_whole(fields.get("born", 0), 0, 1 << 62),
        cold_s=milliseconds(fields.get("cold-remaining", "0ms")) / 1000,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is no name")
    return value


def _whole(value: Any, low: int, high: int) -> int:
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not low <= value <= high
    ):
        raise ValueError(f"{value!r} is no whole number from {low} to {high}")
    return value


class _Instances(RequestHandler):
    """Heartbeats and leave messages; the call's name stands in the query."""

    def initialize(self, actions: BackendActions) -> None:
        self._actions = actions

    def post(self) -> None:
        """Acknowledge what was taken in; a late heartbeat is no error."""
        call = self.get_query_argument("call", "")
        instance_id = self.get_query_argument("of", "")
        if call == _LEAVE:
            self._actions.leave(instance_id, decode_start(self.request.body))
            self.write({})
            return
        refusal = self._take(call, instance_id)
        if refusal is not None and refusal.reason != LATE:
            self.set_status(400)
            self.write({"error": f"{refusal.reason}: {refusal.detail}"})
            return
        self.write({})

    def _take(self, call: str, instance_id: str) -> Failure | None:
        if call != _HEARTBEAT:
            return Failure(Verdict.NOT_RUN, "unknown_call", call)
        found = decode_heartbeat(instance_id, self.request.body)
        if isinstance(found, Failure):
            log_event(
                "backend.announcement_unreadable",
                instance=instance_id,
                reason=found.detail,
            )
            return found
        return self._actions.announce(found)


class _Readiness(RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer 200 while this node takes calls."""
        ready = self._is_ready()
        self.set_status(200 if ready else 503)
        self.write({"ready": ready})


def serve_announcements(actions: BackendActions, host: str, port: int) -> HTTPServer:
    """Listen for the backend server beside this node."""
    return _serve(r"/api/rpc", _Instances, {"actions": actions}, host, port)


def serve_readiness(is_ready: Callable[[], bool], host: str, port: int) -> HTTPServer:
    """Listen for the question whether this node takes calls."""
    return _serve(r"/api/readiness", _Readiness, {"is_ready": is_ready}, host, port)


def _serve(
    path: str,
    handler: type[RequestHandler],
    shared: dict[str, Any],
    host: str,
    port: int,
) -> HTTPServer:
    application = Application(
        [(path, handler, shared)], log_function=lambda handler: None
    )
    server = HTTPServer(application, max_body_size=1 << 16)
    server.listen(port, address=host, backlog=128)
    return server
