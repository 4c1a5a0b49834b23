"""Stand-in for a backend server that injects faults on request."""

import asyncio
import json
import random
import time
from typing import Any, NamedTuple

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

_ANNOUNCE_INTERVAL_S = 1.0
_CHUNK_BYTES = 64 * 1024


class BackendOptions(NamedTuple):
    """Behaviour of a backend server.

    :param node_url: operator URL of the node to announce to; empty for none.
    :param latency_ms: duration of one request, in milliseconds.
    :param slots: maximum number of concurrent requests; more get status 503.
    :param cold_start_s: seconds before the backend server accepts connections.
    :param fail_share: share of requests that fail, from 0 to 1.
    :param fail_after: number of requests that succeed before failures begin.
    :param fail_route: prefix of paths that fail; empty for all paths.
    :param fail_after_s: seconds from the start before failures begin.
    :param fail_above: number of concurrent requests above which failures begin.
    :param slow_factor: factor by which the latency is multiplied.
    :param lying_health: whether the health endpoint always reports ready and idle.
    :param seed: seed of the random choice of requests that fail.
    """

    service: str
    version: str
    host: str
    port: int
    node_url: str = ""
    latency_ms: float = 5.0
    slots: int = 8
    cold_start_s: float = 0.0
    fail_share: float = 0.0
    fail_after: int = 0
    fail_route: str = ""
    fail_after_s: float = 0.0
    fail_above: int = 0
    slow_factor: float = 1.0
    lying_health: bool = False
    seed: int = 1


class _BackendState:
    """State that all requests of one backend server share."""

    def __init__(self, options: BackendOptions) -> None:
        self.options = options
        self.rng = random.Random(options.seed)
        self.running = 0
        self.served = 0
        self.draining = False
        self.started_s = time.monotonic()
        self.run_counts: dict[str, int] = {}

    def should_fail(self, path: str) -> bool:
        """Return whether the request with this path fails."""
        options = self.options
        if self.served <= options.fail_after or self.running <= options.fail_above:
            return False
        if time.monotonic() - self.started_s < options.fail_after_s:
            return False
        if not path.startswith(options.fail_route):
            return False
        return self.rng.random() < options.fail_share


class _BackendHandler(RequestHandler):
    def initialize(self, state: _BackendState) -> None:
        self.state = state


class _HealthHandler(_BackendHandler):
    def get(self) -> None:
        state = self.state
        lying = state.options.lying_health
        ready = lying or not (state.draining or state.options.fail_share)
        self.write({"ready": ready, "load": 0 if lying else state.running})


class _RunCountsHandler(_BackendHandler):
    def get(self) -> None:
        self.write(self.state.run_counts)


class _SwitchesHandler(_BackendHandler):
    def post(self) -> None:
        changes: dict[str, Any] = json.loads(self.request.body)
        self.state.draining = changes.pop("draining", self.state.draining)
        self.state.options = self.state.options._replace(**changes)
        self.write({"ok": True})


@stream_request_body
class _WorkHandler(_BackendHandler):
    """Serves all other paths.

    ``/bytes/N`` answers with N bytes, ``/short/N`` announces N bytes and sends half of
    them, and ``/status/N`` answers with status N. All other paths echo the request.
    """

    def prepare(self) -> None:
        self.received_bytes = 0
        self.received_start = b""
        self.request.connection.set_max_body_size(1 << 32)

    def data_received(self, chunk: bytes) -> None:
        self.received_bytes += len(chunk)
        if len(self.received_start) < _CHUNK_BYTES:
            self.received_start += chunk

    async def _serve(self) -> None:
        state = self.state
        if state.running >= state.options.slots:
            self.set_status(503)
            self.write({"error": "shed"})
            return
        state.running += 1
        try:
            await self._run()
        finally:
            state.running -= 1

    get = post = put = delete = patch = head = options = _serve

    async def _run(self) -> None:
        state = self.state
        headers = self.request.headers
        request_id = headers.get("X-Burdockdock-Request-Id", "")
        request_id = headers.get("X-Test-Id", request_id)
        state.run_counts[request_id] = state.run_counts.get(request_id, 0) + 1
        state.served += 1
        options = state.options
        await asyncio.sleep(options.latency_ms * options.slow_factor / 1000)
        if state.should_fail(self.request.path):
            self.set_status(500)
            self.write({"error": "this version is faulty"})
            return
        await self._answer()

    async def _answer(self) -> None:
        kind, _, argument = self.request.path.strip("/").partition("/")
        if kind == "bytes":
            await self._send_bytes(int(argument))
        elif kind == "short":
            await self._send_short(int(argument))
        elif kind == "status":
            self.set_status(int(argument))
            if int(argument) not in (204, 304):
                self.write({"status": int(argument)})
        else:
            self._echo()

    def _echo(self) -> None:
        options = self.state.options
        self.set_header("X-Served-By", f"{options.service}/{options.version}")
        self.write(
            {
                "method": self.request.method,
                "uri": self.request.uri,
                "test_headers": {
                    name: value
                    for name, value in self.request.headers.get_all()
                    if name.startswith("X-Test")
                },
                "received_bytes": self.received_bytes,
                "received_start": self.received_start.decode("latin-1")[:200],
            }
        )

    async def _send_bytes(self, size_bytes: int) -> None:
        if not self.get_query_argument("chunked", ""):
            self.set_header("Content-Length", str(size_bytes))
        for start in range(0, size_bytes, _CHUNK_BYTES):
            length = min(_CHUNK_BYTES, size_bytes - start)
            self.write(bytes([start // _CHUNK_BYTES % 251]) * length)
            try:
                await self.flush()
            except StreamClosedError:
                return

    async def _send_short(self, size_bytes: int) -> None:
        """Announce a body, and close the connection after half of it."""
        self.set_header("Content-Length", str(size_bytes))
        self.write(b"x" * (size_bytes // 2))
        await self.flush()
        self.request.connection.stream.close()
        self._finished = True


class Backend:
    """Backend server that announces itself to its node."""

    def __init__(self, options: BackendOptions) -> None:
        self._state = _BackendState(options)
        handler_arguments = {"state": self._state}
        application = Application(
            [
                (r"/health", _HealthHandler, handler_arguments),
                (r"/standin/ran", _RunCountsHandler, handler_arguments),
                (r"/standin/switches", _SwitchesHandler, handler_arguments),
                (r"/.*", _WorkHandler, handler_arguments),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application, max_body_size=1 << 32)

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until the event is set, then drain and stop."""
        options = self._state.options
        await asyncio.sleep(options.cold_start_s)
        self._server.listen(options.port, address=options.host, backlog=1024)
        client = CurlAsyncHTTPClient(force_instance=True)
        while not stopped.is_set():
            await self._announce(client)
            try:
                await asyncio.wait_for(stopped.wait(), _ANNOUNCE_INTERVAL_S)
            except TimeoutError:
                pass
        self._state.draining = True
        await self._announce(client)
        while self._state.running:
            await asyncio.sleep(0.05)
        self._server.stop()

    async def _announce(self, client: CurlAsyncHTTPClient) -> None:
        options = self._state.options
        if not options.node_url:
            return
        body = {
            "service": options.service,
            "version": options.version,
            "host": options.host,
            "port": options.port,
            "slots": options.slots,
            "draining": self._state.draining,
        }
        request = HTTPRequest(
            f"{options.node_url}/backend", method="POST", body=json.dumps(body)
        )
        try:
            await client.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            # The node is not running; a later announcement will reach it.
            pass
