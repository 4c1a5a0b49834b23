"""Stand-in for the platform's object API that injects faults on request."""

import asyncio
import json
import random
import time
from asyncio import Future
from collections import Counter
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from burdockdock.standin.object_table import ObjectTable

MAX_VALUE_BYTES = 1_000_000
_HISTORY_GONE_STATUS = 410


_SWITCH_NAMES = frozenset(
    {
        "down",
        "refused_clients",
        "delay_s",
        "refuse_share",
        "lose_answers",
        "lose_key_prefix",
    }
)


class FaultSwitches:
    """Switches for the faults that the stand-in injects.

    They are set by name over HTTP.

    ``down``: refuse all requests. ``refused_clients``: names of the clients whose
    requests are refused. ``delay_s``: delay of each request, in seconds.
    ``refuse_share``: share of requests to refuse, from 0 to 1. ``lose_answers``: number
    of writes to leave without an answer although they take effect.
    ``lose_key_prefix``: prefix of the keys to which this applies.

    :ivar away: like ``down``, set while the stand-in returns from a copy.
    """

    def __init__(self, seed: int) -> None:
        self.down = False
        self.away = False
        self.refused_clients: list[str] = []
        self.delay_s = 0.0
        self.refuse_share = 0.0
        self.lose_answers = 0
        self.lose_key_prefix = ""
        self.rng = random.Random(seed)

    @property
    def unreachable(self) -> bool:
        """Whether all requests are refused."""
        return self.down or self.away

    def refuses(self, client: str) -> bool:
        """Return whether the next request of a client is refused."""
        refused = self.rng.random() < self.refuse_share
        return self.unreachable or refused or client in self.refused_clients

    def set(self, switches: dict[str, Any]) -> None:
        """Set switches by name.

        :raises KeyError: for an unknown name.
        """
        for name, value in switches.items():
            if name not in _SWITCH_NAMES:
                raise KeyError(name)
            setattr(self, name, value)


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
        if self.faults.refuses(client):
            self.set_status(503)
            self.finish({"error": "unavailable"})

    def finish(self, chunk: Any = None) -> Future[None]:
        """State the era that answers, which may have risen during the request."""
        self.set_header("X-Store-Era", str(self.table.era))
        return super().finish(chunk)

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
        await self.table.delete(key)
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
        era = self.table.era
        if after > self.table.revision:
            self.set_status(_HISTORY_GONE_STATUS)
            self.write({"error": "the revision is not known"})
            return
        try:
            async with asyncio.timeout(wait_s), self.table.changed:
                await self.table.changed.wait_for(
                    lambda: (
                        self.faults.unreachable
                        or self.table.era != era
                        or self.table.changes(prefix, after)
                    )
                )
        except TimeoutError:
            pass
        if self.faults.unreachable or self.table.era != era:
            self.set_status(503)
        objects = self.table.changes(prefix, after)
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
        await self.table.notify_watches()
        self.write({"ok": True})


class _ReturnHandler(RequestHandler):
    """Goes away for a moment, and returns from a copy some seconds old."""

    def initialize(self, faults: FaultSwitches, table: ObjectTable) -> None:
        self.faults = faults
        self.table = table

    async def post(self) -> None:
        wanted = json.loads(self.request.body)
        try:
            age_s, away_s = float(wanted["age_s"]), float(wanted.get("away_s", 0.0))
            lost = await self._return(age_s, away_s)
        except (KeyError, TypeError, ValueError) as error:
            self.set_status(400)
            self.write({"error": f"no return from a copy: {error!r}"})
            return
        self.write({"era": self.table.era, "lost_changes": lost})

    async def _return(self, age_s: float, away_s: float) -> int:
        self.faults.away = True
        try:
            await self.table.notify_watches()
            await asyncio.sleep(away_s)
            return await self.table.return_from_copy(age_s)
        finally:
            self.faults.away = False


def create_platform(*, seed: int = 1) -> Application:
    """Create the stand-in as a tornado application."""
    table = ObjectTable(monotonic=time.monotonic)
    faults, calls = FaultSwitches(seed), Counter()
    handler_arguments = {"table": table, "faults": faults, "calls": calls}
    return Application(
        [
            (r"/objects/(.+)", _ObjectHandler, handler_arguments),
            (r"/list", _ListHandler, handler_arguments),
            (r"/watch", _WatchHandler, handler_arguments),
            (r"/calls", _CallCountsHandler, {"calls": calls}),
            (r"/switches", _SwitchesHandler, {"faults": faults, "table": table}),
            (r"/return", _ReturnHandler, {"faults": faults, "table": table}),
        ],
        log_function=lambda handler: None,
    )


def serve_platform(host: str, port: int, *, seed: int = 1) -> HTTPServer:
    """Create a stand-in and listen for requests to it."""
    server = HTTPServer(create_platform(seed=seed), max_body_size=4 * MAX_VALUE_BYTES)
    server.listen(port, address=host, backlog=1024)
    return server
