"""Tests of API keys and workspaces on whole nodes with a fake object store."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from subprocess import DEVNULL, Popen

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

from burdockdock.standin.local_fleet import free_port
from tests import streams
from tests.platform.deployment import HOST, Deployment, EchoBackend, config_spec
from tests.support import PATIENCE_S, async_test, eventually

_COLUMNS = ["name", "api-keys", "priority", "rate-per-s", "burst", "allowed-regions"]
_KEYS = ["key-of-acme-1", "key-of-acme-2"]
_FORGED = {"Tenant": "forged", "tenant": "forged"}


def _spec(version: int, *keys: str) -> dict:
    """Return a configuration with a public route, and a workspace with these keys."""
    spec = config_spec(version)
    routes = spec["routes"]
    routes["columns"].append("public")
    routes["rows"][0].append(False)
    routes["rows"].append(
        ["r2", "h.example", "/open/", "non_idempotent", "5s", "work", True]
    )
    rows = [["acme", list(keys), 2, 0, 0, None]]
    return {**spec, "tenants": {"columns": _COLUMNS, "rows": rows}}


class _Nodes:
    """A caller's node and a node with a backend server."""

    def __init__(self) -> None:
        self.deployment = Deployment()
        self.deployment.start_store()
        self.caller_node = self.deployment.make_node("a")
        self.gate_node = self.deployment.make_node("b")

    async def start(
        self, spec: dict, handler: type = EchoBackend, *, slots: int = 4
    ) -> None:
        """Start both with a configuration."""
        await self.store(spec)
        await asyncio.gather(self.caller_node.start(), self.gate_node.start())
        await self.deployment.start_backend_server(self.gate_node, handler, slots=slots)
        membership = self.caller_node.membership
        await eventually(lambda: (m := membership.get("b")) and m.takes_work)

    async def store(self, spec: dict) -> None:
        """Store a configuration."""
        await self.deployment.store.put("config", "main", spec=spec)

    async def apply(self, spec: dict) -> None:
        """Store a configuration and wait until both nodes apply it."""
        await self.store(spec)
        version = int(spec["version"][1:])
        for node in (self.caller_node, self.gate_node):
            await eventually(lambda n=node: n.config.snapshot.version >= version)

    async def call(self, request_id: str, **options: str) -> HTTPResponse:
        """Make one call through the caller's node."""
        return await self.deployment.call(self.caller_node, request_id, **options)


def _headers_seen(response: HTTPResponse) -> dict[str, str]:
    """Return the headers that the backend server got, with names in lower case."""
    seen = json.loads(response.body)["headers"]
    return {name.lower(): value for name, value in seen.items()}


class WorkspacesTest(testtools.TestCase):
    """Tests of what callers and backend servers see."""

    @async_test
    async def test_backend_server_gets_the_workspace_and_not_the_key(self) -> None:
        nodes = _Nodes()
        await nodes.start(_spec(7, *_KEYS))
        for i, key in enumerate(_KEYS):
            response = await nodes.call(f"id-{i}", Credential=key, **_FORGED)
            self.assertEqual(200, response.code)
            seen = _headers_seen(response)
            self.assertEqual("acme", seen["tenant"])
            self.assertNotIn("credential", seen)
        await nodes.deployment.close()

    @async_test
    async def test_request_without_a_valid_key_gets_401(self) -> None:
        nodes = _Nodes()
        await nodes.start(_spec(7, *_KEYS))
        for i, headers in enumerate(({}, {"Credential": "wrong"}, _FORGED)):
            response = await nodes.call(f"id-{i}", **headers)
            self.assertEqual(401, response.code)
            self.assertNotIn("Retry-After", response.headers)
        response = await nodes.call("id-8", path="/nowhere", Credential="wrong")
        self.assertEqual(404, response.code)
        await nodes.deployment.close()

    @async_test
    async def test_public_route_needs_no_key(self) -> None:
        nodes = _Nodes()
        await nodes.start(_spec(7, *_KEYS))
        for i, (key, workspace) in enumerate(
            ((None, None), ("wrong", None), (_KEYS[0], "acme"))
        ):
            headers = {} if key is None else {"Credential": key}
            response = await nodes.call(f"id-{i}", path="/open/1", **headers, **_FORGED)
            self.assertEqual(200, response.code)
            seen = _headers_seen(response)
            self.assertEqual(workspace, seen.get("tenant"))
            self.assertNotIn("credential", seen)
        await nodes.deployment.close()

    @async_test
    async def test_without_workspaces_both_headers_are_dropped(self) -> None:
        nodes = _Nodes()
        await nodes.start(config_spec(7))
        response = await nodes.call("id-1", Credential="any", **_FORGED)
        self.assertEqual(200, response.code)
        self.assertEqual(
            set(), _headers_seen(response).keys() & {"tenant", "credential"}
        )
        await nodes.deployment.close()


class _HeldBackend(EchoBackend):
    """A backend server that answers once the test lets it."""

    released: asyncio.Event
    arrived: list[str]

    async def post(self) -> None:
        """Wait, then return the request."""
        self.arrived.append(self.request.headers["Request-Id"])
        await self.released.wait()
        super().post()


class RevokedKeyTest(testtools.TestCase):
    """Tests of requests whose key a new version revokes."""

    @async_test
    async def test_queued_request_does_not_run_and_a_running_one_finishes(self) -> None:
        _HeldBackend.released, _HeldBackend.arrived = asyncio.Event(), []
        nodes = _Nodes()
        await nodes.start(_spec(7, *_KEYS), _HeldBackend, slots=1)
        running = asyncio.create_task(nodes.call("running", Credential=_KEYS[0]))
        await eventually(lambda: _HeldBackend.arrived)
        queued = [
            asyncio.create_task(nodes.call(f"queued-{i}", Credential=key))
            for i, key in enumerate(_KEYS)
        ]
        await eventually(lambda: nodes.gate_node.gate._limiter.queued == 2)
        await nodes.apply(_spec(8, _KEYS[1]))
        # Answered before a slot is free.
        response = await queued[0]
        # The gate may have the version first, which the caller's node can't know.
        self.assertIn(response.code, (401, 503))
        self.assertIn(b"not_run", response.body)
        _HeldBackend.released.set()
        self.assertEqual(200, (await running).code)
        self.assertEqual(200, (await queued[1]).code)
        self.assertEqual(["running", "queued-1"], _HeldBackend.arrived)
        self.assertEqual(401, (await nodes.call("late", Credential=_KEYS[0])).code)
        await nodes.deployment.close()

    @async_test
    async def test_pipelined_request_does_not_run_behind_one_that_does(self) -> None:
        _HeldBackend.released, _HeldBackend.arrived = asyncio.Event(), []
        nodes = _Nodes()
        await nodes.start(_spec(7, *_KEYS), _HeldBackend)
        port = nodes.caller_node._settings.callers[1]
        reader, writer = await streams.open_connection(HOST, port)
        for request_id in ("first", "second"):
            writer.write(
                f"POST /x/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                f"Credential: {_KEYS[0]}\r\nContent-Length: 0\r\n\r\n".encode()
            )
        await eventually(lambda: _HeldBackend.arrived)
        await nodes.apply(_spec(8, _KEYS[1]))
        _HeldBackend.released.set()
        answers = b""
        async with asyncio.timeout(PATIENCE_S):
            while b"unknown_key" not in answers:
                answers += await reader.read(65536)
        self.assertTrue(answers.startswith(b"HTTP/1.1 200 "), answers)
        self.assertIn(b"HTTP/1.1 401 ", answers)
        self.assertEqual(["first"], _HeldBackend.arrived)
        await nodes.deployment.close()

    @async_test
    async def test_gate_that_lags_behind_does_not_refuse_a_new_key(self) -> None:
        nodes = _Nodes()
        await nodes.start(_spec(7, _KEYS[0]))
        nodes.gate_node.config.snapshot = nodes.gate_node.config.snapshot._replace(
            workspaces=type(nodes.gate_node.config.snapshot.workspaces)({}, {})
        )
        response = await nodes.call("id-1", Credential=_KEYS[0])
        self.assertEqual("acme", _headers_seen(response)["tenant"])
        await nodes.deployment.close()


class KeySecrecyTest(testtools.TestCase):
    """Tests of where a key must not show up."""

    @async_test
    async def test_no_key_in_the_log_or_the_pages_of_a_node_process(self) -> None:
        # Guards against keys, wrong ones too, that reach logs, metrics or operators.
        process = _NodeProcess()
        try:
            await process.start(_spec(7, *_KEYS))
            texts = [await process.call(key) for key in (*_KEYS, "key-of-nobody", "")]
            texts.append(await process.send_malformed_key())
            texts += [await process.fetch(page) for page in ("/metrics", "/status")]
            misplaced = _spec(8, *_KEYS)
            misplaced["tenants"]["rows"][0][3] = "key-of-acme-3"
            await process.store.store.put("config", "main", spec=misplaced)
            await eventually(lambda: "config_unreadable" in process.log)
            await process.store.store.put("config", "main", spec=_spec(9, _KEYS[1]))
            await eventually(lambda: "version=9" in process.log)
            texts.append(await process.call(_KEYS[0]))
        finally:
            await process.stop()
        for text in (*texts, process.log):
            self.assertNotIn("key-of-", text)
        self.assertIn("reason=unknown_key", process.log)
        self.assertIn("reason=no_backend_server", process.log)


class _NodeProcess:
    """A node in a process of its own, and a fake store in this one."""

    def __init__(self) -> None:
        self.store = Deployment()
        self.store.start_store()
        self._folder = tempfile.TemporaryDirectory(prefix="burdockdock-")
        self._log_path = Path(self._folder.name) / "node.log"
        self._ports = [free_port() for _ in range(5)]
        self._process: Popen | None = None
        self._log = ""

    @property
    def log(self) -> str:
        """What the process has written so far."""
        if self._log_path.exists():
            self._log = self._log_path.read_text()
        return self._log

    async def start(self, spec: dict) -> None:
        """Start the node with a configuration and wait until it is ready."""
        await self.store.store.put("config", "main", spec=spec)
        callers, peers, operators, announcements, readiness = (
            f"{HOST}:{port}" for port in self._ports
        )
        path = Path(self._folder.name) / "node.ini"
        path.write_text(
            "[node]\nname = a\nmesh = m\nregion = r\navailability_zone = z\n"
            f"[listen]\ncallers = {callers}\npeers = {peers}\n"
            f"operators = {operators}\nannouncements = {announcements}\n"
            f"readiness = {readiness}\n"
            f"[platform]\nurl = http://{HOST}:{self.store.store_port}\n"
            "form = objects\n"
        )
        with self._log_path.open("wb") as log:
            self._process = Popen(
                [sys.executable, "-m", "burdockdock", "node", "--settings", str(path)],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(PATIENCE_S):
            while "node.serving" not in self.log:
                await asyncio.sleep(0.1)

    async def call(self, key: str) -> str:
        """Make a call with a key; return the answer with its headers."""
        headers = {"Host": "h.example", "Request-Id": "id", "Credential": key}
        return await self._fetch(self._ports[0], "/x/1", headers)

    async def send_malformed_key(self) -> str:
        """Send a request whose key no header can have; return what comes back."""
        reader, writer = await streams.open_connection(HOST, self._ports[0])
        writer.write(
            b"GET /x/1 HTTP/1.1\r\nHost: h\r\nCredential: key-of-a\x01\r\n\r\n"
        )
        return repr(await reader.read())

    async def fetch(self, page: str) -> str:
        """Return a page of the operators' address."""
        return await self._fetch(self._ports[2], page, {})

    async def _fetch(self, port: int, path: str, headers: dict[str, str]) -> str:
        request = HTTPRequest(f"http://{HOST}:{port}{path}", headers=headers)
        response = await CurlAsyncHTTPClient().fetch(request, raise_error=False)
        assert response.code != 599, response.error
        return f"{response.headers} {response.body}"

    async def stop(self) -> None:
        """End the process and the store."""
        if self._process is not None:
            self._process.terminate()
            await asyncio.to_thread(self._process.wait, PATIENCE_S)
        _ = self.log
        self._folder.cleanup()
        await self.store.close()
