"""Stand-in for the platform's object API that injects faults on request."""

import asyncio
import json
import random
from collections import Counter
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

MAX_VALUE_BYTES = 1_000_000


class FaultSwitches:
    """Switches for the faults that the stand-in injects.

    They are set by name over HTTP.

    ``down``: refuse all requests. ``delay_s``: delay of each request, in seconds.
    ``refuse_share``: share of requests to refuse, from 0 to 1. ``lose_answers``: number
    of writes to leave without an answer although they take effect.
    ``lose_key_prefix``: prefix of the keys to which this applies.
    """

    def __init__(self, seed: int) -> None:
        self.down = False
        self.delay_s = 0.0
        self.refuse_share = 0.0
        self.lose_answers = 0
        self.lose_key_prefix = ""
        self.rng = random.Random(seed)

    def set(self, switches: dict[str, Any]) -> None:
        """Set switches by name.

        :raises KeyError: for an unknown name.
        """
        for name, value in switches.items():
            if name == "rng" or not hasattr(self, name):
                raise KeyError(name)
            setattr(self, name, value)


class ObjectTable:
    """Versioned objects; each change gets the next revision as its version."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Condition()

    async def put(self, key: str, expected_version: int | None, value: Any) -> bool:
        """Store a value if the object has the expected version.

        :param expected_version: None to store in any case.
        :returns: whether the value was stored.
        """
        if expected_version is not None and self.version(key) != expected_version:
            return False
        self.revision += 1
        self.objects[key] = {"key": key, "version": self.revision, "value": value}
        async with self.changed:
            self.changed.notify_all()
        return True

    def version(self, key: str) -> int:
        """Return an object's version, or 0 if it does not exist."""
        item = self.objects.get(key)
        return item["version"] if item else 0

    def after(self, prefix: str, revision: int) -> list[dict[str, Any]]:
        """Return the objects with a key prefix that changed after a revision."""
        return [
            item
            for key, item in self.objects.items()
            if key.startswith(prefix) and item["version"] > revision
        ]


class _ObjectApiHandler(RequestHandler):
    """Counts the requests and injects the faults that are switched on."""

    def initialize(
        self, table: ObjectTable, faults: FaultSwitches, calls: Counter[str]
    ) -> None:
        self.table = table
        self.faults = faults
        self.calls = calls

    async def prepare(self) -> None:
        """Count the request, and delay or refuse it if switched on."""
        kind = self.request.path.strip("/").partition("/")[0]
        client = self.request.headers.get("X-Client", "unknown")
        self.calls[f"{client} {self.request.method} {kind}"] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        refused = self.faults.rng.random() < self.faults.refuse_share
        if self.faults.down or refused:
            self.set_status(503)
            self.finish({"error": "unavailable"})

    def drop_answer(self, key: str) -> bool:
        """Close the connection after a write took effect, if switched on.

        :returns: whether the connection was closed.
        """
        faults = self.faults
        if faults.lose_answers <= 0 or not key.startswith(faults.lose_key_prefix):
            return False
        faults.lose_answers -= 1
        self.request.connection.stream.close()
        self._finished = True
        return True


class _ObjectHandler(_ObjectApiHandler):
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
        expected_version = self.get_query_argument("if_version", None)
        value = json.loads(self.request.body)
        stored = await self.table.put(
            key, None if expected_version is None else int(expected_version), value
        )
        if stored and self.drop_answer(key):
            return
        if not stored:
            self.set_status(409)
        found = self.table.objects.get(key, {"key": key, "version": 0})
        self.write({"key": key, "version": found["version"]} if stored else found)

    async def delete(self, key: str) -> None:
        self.table.objects.pop(key, None)
        self.write({"key": key, "version": 0})


class _ListHandler(_ObjectApiHandler):
    def get(self) -> None:
        prefix = self.get_query_argument("prefix", "")
        objects = self.table.after(prefix, 0)
        self.write({"revision": self.table.revision, "objects": objects})


class _WatchHandler(_ObjectApiHandler):
    async def get(self) -> None:
        prefix = self.get_query_argument("prefix", "")
        after = int(self.get_query_argument("after"))
        wait_s = float(self.get_query_argument("wait_s", "25"))
        try:
            async with asyncio.timeout(wait_s), self.table.changed:
                await self.table.changed.wait_for(
                    lambda: self.faults.down or self.table.after(prefix, after)
                )
        except TimeoutError:
            pass
        if self.faults.down:
            self.set_status(503)
        objects = self.table.after(prefix, after)
        try:
            await self.finish({"revision": self.table.revision, "objects": objects})
        except StreamClosedError:
            pass


class _CallCountsHandler(RequestHandler):
    def initialize(self, calls: Counter[str]) -> None:
        self.calls = calls

    def get(self) -> None:
        self.write(dict(self.calls))


class _SwitchesHandler(RequestHandler):
    def initialize(self, faults: FaultSwitches, table: ObjectTable) -> None:
        self.faults = faults
        self.table = table

    async def post(self) -> None:
        try:
            self.faults.set(json.loads(self.request.body))
        except KeyError as error:
            self.set_status(400)
            self.write({"error": f"unknown switch {error}"})
            return
        async with self.table.changed:
            self.table.changed.notify_all()
        self.write({"ok": True})


def create_platform(*, seed: int = 1) -> Application:
    """Create the stand-in as a tornado application."""
    table, faults, calls = ObjectTable(), FaultSwitches(seed), Counter()
    handler_arguments = {"table": table, "faults": faults, "calls": calls}
    return Application(
        [
            (r"/objects/(.+)", _ObjectHandler, handler_arguments),
            (r"/list", _ListHandler, handler_arguments),
            (r"/watch", _WatchHandler, handler_arguments),
            (r"/calls", _CallCountsHandler, {"calls": calls}),
            (r"/switches", _SwitchesHandler, {"faults": faults, "table": table}),
        ],
        log_function=lambda handler: None,
    )


def serve_platform(host: str, port: int, *, seed: int = 1) -> HTTPServer:
    """Create a stand-in and listen for requests to it."""
    server = HTTPServer(create_platform(seed=seed), max_body_size=4 * MAX_VALUE_BYTES)
    server.listen(port, address=host, backlog=1024)
    return server
