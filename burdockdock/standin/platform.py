"""A stand-in for the platform's object API, with switches for its failures."""

import asyncio
import json
import random
from collections import Counter
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

MAX_VALUE_BYTES = 1_000_000


class Failures:
    """Switches for what the platform does wrong."""

    def __init__(self, seed: int) -> None:
        self.down = False
        self.delay_s = 0.0
        self.refuse_share = 0.0
        self.lose_answers = 0
        self.lose_key_prefix = ""
        self.rng = random.Random(seed)

    def set(self, switches: dict[str, Any]) -> None:
        """Change the switches that are named."""
        for name, value in switches.items():
            if name == "rng" or not hasattr(self, name):
                raise KeyError(name)
            setattr(self, name, value)


class ObjectTable:
    """Objects with versions; each change takes the next revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Condition()

    async def put(self, key: str, expected: int | None, value: Any) -> bool:
        """Store a value if the version is the expected one."""
        if expected is not None and self.version(key) != expected:
            return False
        self.revision += 1
        self.objects[key] = {"key": key, "version": self.revision, "value": value}
        async with self.changed:
            self.changed.notify_all()
        return True

    def version(self, key: str) -> int:
        """Return an object's version, 0 when absent."""
        found = self.objects.get(key)
        return found["version"] if found else 0

    def after(self, prefix: str, revision: int) -> list[dict[str, Any]]:
        """Return the objects under a prefix that changed after a revision."""
        return [
            item
            for key, item in self.objects.items()
            if key.startswith(prefix) and item["version"] > revision
        ]


class _Handler(RequestHandler):
    """Counts each call and applies the switches to it."""

    def initialize(
        self, table: ObjectTable, failures: Failures, calls: Counter[str]
    ) -> None:
        self.table = table
        self.failures = failures
        self.calls = calls

    async def prepare(self) -> None:
        """Count the call, then delay or refuse it as switched."""
        kind = self.request.path.strip("/").partition("/")[0]
        client = self.request.headers.get("X-Client", "unknown")
        self.calls[f"{client} {self.request.method} {kind}"] += 1
        if self.failures.delay_s:
            await asyncio.sleep(self.failures.delay_s)
        refused = self.failures.rng.random() < self.failures.refuse_share
        if self.failures.down or refused:
            self.set_status(503)
            self.finish({"error": "unavailable"})

    def lose_answer(self, key: str) -> bool:
        """Drop the connection after a write took effect, if switched so."""
        failures = self.failures
        if failures.lose_answers <= 0 or not key.startswith(failures.lose_key_prefix):
            return False
        failures.lose_answers -= 1
        self.request.connection.stream.close()
        self._finished = True
        return True


class _Objects(_Handler):
    def get(self, key: str) -> None:
        found = self.table.objects.get(key)
        if found is None:
            self.set_status(404)
        self.write(found or {"key": key, "version": 0})

    async def put(self, key: str) -> None:
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.set_status(413)
            self.write({"error": "too large"})
            return
        expected = self.get_query_argument("if_version", None)
        value = json.loads(self.request.body)
        stored = await self.table.put(
            key, None if expected is None else int(expected), value
        )
        if stored and self.lose_answer(key):
            return
        if not stored:
            self.set_status(409)
        found = self.table.objects.get(key, {"key": key, "version": 0})
        self.write({"key": key, "version": found["version"]} if stored else found)

    async def delete(self, key: str) -> None:
        self.table.objects.pop(key, None)
        self.write({"key": key, "version": 0})


class _List(_Handler):
    def get(self) -> None:
        prefix = self.get_query_argument("prefix", "")
        objects = self.table.after(prefix, 0)
        self.write({"revision": self.table.revision, "objects": objects})


class _Watch(_Handler):
    async def get(self) -> None:
        prefix = self.get_query_argument("prefix", "")
        after = int(self.get_query_argument("after"))
        wait_s = float(self.get_query_argument("wait_s", "25"))
        try:
            async with asyncio.timeout(wait_s), self.table.changed:
                await self.table.changed.wait_for(
                    lambda: self.failures.down or self.table.after(prefix, after)
                )
        except TimeoutError:
            pass
        if self.failures.down:
            self.set_status(503)
        objects = self.table.after(prefix, after)
        try:
            await self.finish({"revision": self.table.revision, "objects": objects})
        except StreamClosedError:
            pass


class _Calls(RequestHandler):
    def initialize(self, calls: Counter[str]) -> None:
        self.calls = calls

    def get(self) -> None:
        self.write(dict(self.calls))


class _Switches(RequestHandler):
    def initialize(self, failures: Failures, table: ObjectTable) -> None:
        self.failures = failures
        self.table = table

    async def post(self) -> None:
        try:
            self.failures.set(json.loads(self.request.body))
        except KeyError as error:
            self.set_status(400)
            self.write({"error": f"unknown switch {error}"})
            return
        async with self.table.changed:
            self.table.changed.notify_all()
        self.write({"ok": True})


def make_platform(*, seed: int = 1) -> Application:
    """Return the stand-in as a tornado application."""
    table, failures, calls = ObjectTable(), Failures(seed), Counter()
    shared = {"table": table, "failures": failures, "calls": calls}
    return Application(
        [
            (r"/objects/(.+)", _Objects, shared),
            (r"/list", _List, shared),
            (r"/watch", _Watch, shared),
            (r"/calls", _Calls, {"calls": calls}),
            (r"/switches", _Switches, {"failures": failures, "table": table}),
        ],
        log_function=lambda handler: None,
    )


def serve_platform(host: str, port: int, *, seed: int = 1) -> HTTPServer:
    """Listen for calls to a new stand-in."""
    server = HTTPServer(make_platform(seed=seed), max_body_size=4 * MAX_VALUE_BYTES)
    server.listen(port, address=host, backlog=1024)
    return server
