"""The HTTP server that callers use."""

import asyncio
import json
import random
import uuid
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from burdockdock.clock import Clock
from burdockdock.configuration.lookup import draw_service, find_route, policy_for
from burdockdock.configuration.model import Route, Snapshot
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import AnswerHead, CallRequest, Headers
from burdockdock.proxy.forwarder import Call, Forwarder

VERDICT_HEADER = "X-Burdockdock-Verdict"
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 1 << 40
_BUFFER_BYTES = 256 * 1024
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"})
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
_NON_IDEMPOTENT = "non_idempotent"
_DOWNLOAD = "download"
_DEFAULT_TENANT = "default"
_STATUS_OF_VERDICT = {
    Verdict.NOT_RUN: 503,
    Verdict.MAY_HAVE_RUN: 502,
    Verdict.RAN: 502,
}
_STATUS_OF_REASON = {
    "deadline_passed": 504,
    "backend_timeout": 504,
    "no_route": 404,
    "already_ran": 409,
}
_REASON_PHRASES = {
    404: "Not Found",
    409: "Conflict",
    502: "Bad Gateway",
    503: "Service Unavailable",
}
# Callers come back spread over this span.
_RETRY_AFTER_MIN_S = 0.05
_RETRY_AFTER_MAX_S = 0.4
_MAX_DEPTH = 32


class CallContext:
    """What the listener needs to know of its node.

    ``draining`` asks callers to go elsewhere with their next calls, ``refusing``
    refuses calls that could not end before this node does.

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
        own_service: Callable[[], str] = lambda: "",
        headers: CallHeaders = OWN_HEADERS,
    ) -> None:
        self.node_id = node_id
        self.rng = rng
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
        self.open_calls = 0


class Listener(HTTPServerConnectionDelegate):
    """Starts a call for each request."""

    def __init__(self, context: CallContext) -> None:
        self._context = context

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request's parts."""
        return _CallerSide(self._context, request_conn)


def serve_callers(context: CallContext, *, host: str, port: int) -> HTTPServer:
    """Listen for callers."""
    server = HTTPServer(
        Listener(context),
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=300,
    )
    server.listen(port, address=host, backlog=1024)
    return server


class _CallerSide(HTTPMessageDelegate):
    """One request of a caller; its parts arrive here while its call runs."""

    def __init__(self, context: CallContext, connection: HTTPConnection) -> None:
        self._context = context
        self._connection = connection
        self._pieces: list[bytes] = []
        self._buffered_bytes = 0
        self._body_ended = False
        self._arrived = asyncio.Event()
        self._has_room: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._answer_started = False
        self._answer_ended = False
        self._method = ""
        self._status = 0

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Start the call."""
        self._method = start_line.method
        self._context.open_calls += 1
        # Without this, tornado tells of a closed connection only while it reads.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run(start_line, headers))

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Keep a piece of the body; make the caller wait while many are kept."""
        self._pieces.append(chunk)
        self._buffered_bytes += len(chunk)
        self._arrived.set()
        if self._buffered_bytes < _BUFFER_BYTES or self._answer_ended:
            return None
        self._has_room = asyncio.get_running_loop().create_future()
        return self._has_room

    def finish(self) -> None:
        """Note the end of the body."""
        self._body_ended = True
        self._arrived.set()

    def on_connection_close(self) -> None:
        """Cancel the call, since nobody waits for its answer."""
        if self._task is not None and not self._answer_ended:
            self._task.cancel()
        self._make_room()

    async def read_body(self) -> tuple[bytes, bool]:
        """Return what has arrived of the body and whether that is its end."""
        while not self._pieces and not self._body_ended:
            self._arrived.clear()
            await self._arrived.wait()
        data = b"".join(self._pieces)
        self._pieces.clear()
        self._buffered_bytes = 0
        self._make_room()
        return data, self._body_ended

    async def send_head(self, head: AnswerHead) -> None:
        """Begin the answer, with all of its body if that is there already."""
        self._answer_started = True
        self._status = head.status
        headers = _answer_headers(head, self._method)
        if self._context.draining:
            headers["Connection"] = "close"
        await self._write(
            self._connection.write_headers(
                ResponseStartLine("HTTP/1.1", head.status, head.reason), headers
            )
        )

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the answer once the connection took it."""
        if self._method != "HEAD":
            await self._write(self._connection.write(data))

    def finish_answer(self) -> None:
        """End a whole answer."""
        self._answer_ended = True
        self._connection.finish()
        self._make_room()

    def break_off(self) -> None:
        """Close the caller's connection in the middle of an answer."""
        self._answer_ended = True
        stream = self._connection.detach()
        stream.close()
        self._make_room()

    async def _write(self, future: "asyncio.Future[None]") -> None:
        try:
            await future
        except StreamClosedError:
            raise asyncio.CancelledError from None

    async def _run(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        context = self._context
        started_s = context.clock.monotonic()
        call = _make_call(context, start_line, headers)
        try:
            if isinstance(call, Failure):
                failure: Failure | None = call
            else:
                failure = await context.forwarder.forward(call, _CallerAdapter(self))
            if failure is not None:
                await self._refuse(failure)
            self._log_end(call, headers, failure, started_s)
        except asyncio.CancelledError:
            context.metrics.count("calls_abandoned")
            abandoned = Failure(Verdict.MAY_HAVE_RUN, "caller_left")
            self._log_end(call, headers, abandoned, started_s)
        finally:
            context.open_calls -= 1
            _record_latency(context, call, started_s)

    def _log_end(
        self,
        call: Call | Failure,
        headers: HTTPHeaders,
        failure: Failure | None,
        started_s: float,
    ) -> None:
        """Write down how a call ended and what decided it."""
        context = self._context
        request = None if isinstance(call, Failure) else call.request
        request_id = headers.get(context.headers.request_id, "")
        log_event(
            "call.ended",
            request=request.request_id if request else request_id,
            route=request.route if request else "",
            service=request.service if request else "",
            config_version=context.snapshot().version,
            status=self._status,
            verdict="" if failure is None else failure.verdict.name.lower(),
            reason="" if failure is None else failure.reason,
            detail="" if failure is None else failure.detail,
            allowed_ms=request.time_left_ms if request else 0,
            seconds_s=context.clock.monotonic() - started_s,
        )

    async def _refuse(self, failure: Failure) -> None:
        """Tell the caller the verdict and the reason."""
        self._context.metrics.count("call_failures", label=failure.reason)
        status = _status_of(failure)
        verdict = failure.verdict.name.lower()
        body = json.dumps(
            {"verdict": verdict, "reason": failure.reason, "detail": failure.detail}
        ).encode()
        headers: list[tuple[str, str]] = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            (VERDICT_HEADER, verdict),
        ]
        if failure.verdict is Verdict.NOT_RUN:
            after_s = self._context.rng.uniform(_RETRY_AFTER_MIN_S, _RETRY_AFTER_MAX_S)
            headers.append(("Retry-After", f"{after_s:.3f}"))
        phrase = _REASON_PHRASES.get(status, "Gateway Timeout")
        await self.send_head(AnswerHead(status, phrase, tuple(headers)))
        await self.send_body(body)
        self.finish_answer()

    def _make_room(self) -> None:
        if self._has_room is not None and not self._has_room.done():
            self._has_room.set_result(None)


class _CallerAdapter:
    """The caller as the forwarder sees it."""

    def __init__(self, side: _CallerSide) -> None:
        self.read_body = side.read_body
        self.send_head = side.send_head
        self.send_body = side.send_body
        self.finish = side.finish_answer
        self.break_off = side.break_off


def _make_call(
    context: CallContext, start_line: RequestStartLine, headers: HTTPHeaders
) -> Call | Failure:
    """Find the route of a request and build its call."""
    if context.refusing:
        return Failure(Verdict.NOT_RUN, "node_stopping")
    snapshot = context.snapshot()
    if not snapshot.version:
        return Failure(Verdict.NOT_RUN, "no_configuration", "none is known yet")
    path = start_line.path.partition("?")[0]
    route = find_route(snapshot, host=headers.get("Host", ""), path=path)
    if route is None:
        return Failure(Verdict.NOT_RUN, "no_route", f"no route for {path}")
    names = context.headers
    depth = _integer(headers.get(names.depth), 0) if names.depth else 0
    if depth >= _MAX_DEPTH:
        return Failure(Verdict.NOT_RUN, "too_deep", f"{depth} calls deep")
    service = draw_service(route, rng=context.rng)
    policy = policy_for(
        snapshot,
        route,
        service=service,
        availability_zone=context.availability_zone,
        node_id=context.node_id,
        now=context.clock.now(),
    )
    timeout_ms = _integer(headers.get(names.timeout), policy.timeout_ms)
    timeout_ms = min(timeout_ms, policy.timeout_ms)
    idempotent = _is_idempotent(route, start_line.method)
    tenant = headers.get(names.tenant, _DEFAULT_TENANT)
    key = None if idempotent else headers.get(names.idempotency_key)
    request = CallRequest(
        request_id=_request_id(names, headers, tenant, key),
        tenant=tenant,
        traffic_class=route.traffic_class,
        route=route.name,
        service=service,
        time_left_ms=timeout_ms,
        idempotent=idempotent,
        method=start_line.method,
        target=start_line.path,
        headers=_request_headers(context, headers, depth),
        body_length=_body_length(headers),
        priority=route.priority,
        queue_length=policy.queue_length,
    )
    # Only the first node of a chain retries after a failure that may have run;
    # otherwise the attempts would multiply with the depth.
    retries = policy.retries if depth == 0 else min(policy.retries, 1)
    deadline_s = context.clock.monotonic() + timeout_ms / 1000
    target_s = deadline_s - (timeout_ms - route.target_latency_ms) / 1000
    return Call(
        request,
        deadline_s,
        retries,
        key=request.request_id if key else "",
        target_s=target_s if route.target_latency_ms else 0.0,
        large_answer=route.kind == _DOWNLOAD,
    )


def _is_idempotent(route: Route, method: str) -> bool:
    """Tell whether a request may run more than once; the route's kind goes first."""
    if route.kind:
        return route.kind != _NON_IDEMPOTENT
    return method in _IDEMPOTENT_METHODS


def _request_id(
    names: CallHeaders, headers: HTTPHeaders, tenant: str, key: str | None
) -> str:
    if key:
        return f"{tenant}/{key}"
    given = headers.get(names.request_id) if names.callers_request_id else None
    return given or uuid.uuid4().hex


def _status_of(failure: Failure) -> int:
    """Return the status that promises no more than the verdict does."""
    if failure.verdict is Verdict.NOT_RUN and failure.reason != "no_route":
        return 503
    return _STATUS_OF_REASON.get(failure.reason, _STATUS_OF_VERDICT[failure.verdict])


def _record_latency(
    context: CallContext, call: Call | Failure, started_s: float
) -> None:
    request = None if isinstance(call, Failure) else call.request
    context.metrics.record_latency(
        "call",
        context.clock.monotonic() - started_s,
        tenant=request.tenant if request else _DEFAULT_TENANT,
        traffic_class=request.traffic_class if request else "none",
    )


def _replaced_headers(names: CallHeaders) -> frozenset[str]:
    """Return the headers that nodes set themselves, whatever a caller sent."""
    replaced = {
        names.timeout,
        names.depth,
        names.caller_service,
        names.expected_instance,
    }
    if not names.callers_request_id:
        replaced.add(names.request_id)
    return frozenset(name.lower() for name in replaced if name)


def _body_length(headers: HTTPHeaders) -> int:
    if "chunked" in headers.get("Transfer-Encoding", "").lower():
        return -1
    return _integer(headers.get("Content-Length"), 0)


def _request_headers(context: CallContext, headers: HTTPHeaders, depth: int) -> Headers:
    names = context.headers
    dropped = _hop_headers(headers) | context.replaced_headers
    kept = [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    ]
    if names.depth:
        kept.append((names.depth, str(depth + 1)))
    if names.caller_service:
        kept.append((names.caller_service, context.own_service()))
    return tuple(kept)


def _answer_headers(head: AnswerHead, method: str) -> HTTPHeaders:
    named = next((v for n, v in head.headers if n.lower() == "connection"), "")
    dropped = _hop_names(named)
    kept = HTTPHeaders()
    for name, value in head.headers:
        if name.lower() not in dropped:
            kept.add(name, value)
    if method == "HEAD" and "Content-Length" not in kept:
        # Tornado would end the answer with an empty chunk.
        kept["Transfer-Encoding"] = "chunked"
    return kept


def _hop_headers(headers: HTTPHeaders) -> frozenset[str]:
    """Return the headers that are for one connection only."""
    return _hop_names(headers.get("Connection", ""))


def _hop_names(named: str) -> frozenset[str]:
    """Return the fixed names and those that a Connection header names."""
    lower = named.lower()
    if lower in ("", "close", "keep-alive"):
        return _HOP_HEADERS
    return _HOP_HEADERS | {name.strip() for name in lower.split(",")}


def _integer(text: str | None, default: int) -> int:
    if text is not None and text.isascii() and text.isdecimal():
        return int(text)
    return default
