"""A fake of the platform's object store, with faults that tests switch on."""

import asyncio
import copy
import json
from typing import Any, NamedTuple

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

_PAGE_SIZE = 50


class _Copy(NamedTuple):
    """The store's objects at a revision."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


class FakeObjectStore:
    """Serves objects by kind and name, and injects faults.

    Attributes that tests set:

    - ``refusal_status``: status with which every call is refused, 0 for none.
    - ``lost_write_responses``: number of next writes that take effect but whose
      connection is closed without a response.
    - ``malformed_body``: body that is sent instead of that of every response.
    - ``history_start``: lowest revision from which changes can be watched.
    - ``era``: counts the returns from a copy; each response states it.
    """

    def __init__(self) -> None:
        self.revision = 7
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Condition()
        self.refusal_status = 0
        self.lost_write_responses = 0
        self.malformed_body: bytes | None = None
        self.history_start = 0
        self.era: int | None = 1
        self.calls = 0
        self._copy: _Copy | None = None

    def take_copy(self) -> None:
        """Copy all objects, to return to later."""
        self._copy = _Copy(self.revision, copy.deepcopy(self.objects))

    async def return_from_copy(self) -> None:
        """Replace all objects by the copy; the revisions since then are used again."""
        self.revision, self.objects = self._copy
        self.take_copy()
        self.history = [h for h in self.history if h[0] <= self.revision]
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, None if there is none."""
        return self.objects.get((kind, name))

    def items(self, kind: str) -> list[dict[str, Any]]:
        """Return the objects of a kind, ordered by name."""
        return [o for key, o in sorted(self.objects.items()) if key[0] == kind]

    async def put(
        self, kind: str, name: str, *, spec: Any = None, status: Any = None
    ) -> dict[str, Any]:
        """Store an object with the next revision."""
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created-at": 1,
                "finalizers": [],
                "delete-requested": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = stored
        await self._record_change(kind, stored, deleted=False)
        return stored

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.pop((kind, name))
        self.revision += 1
        await self._record_change(kind, found, deleted=True)

    def events(self, kind: str, after: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {"object": item, "deleted": deleted}
            for revision, changed_kind, item, deleted in self.history
            if changed_kind == kind and revision > after
        ]

    def serve(self, host: str, port: int) -> HTTPServer:
        """Listen for calls."""
        application = Application(
            [
                (r"/api/objects/([^/]+)", _KindHandler, {"store": self}),
                (
                    r"/api/objects/([^/]+)/([^/]+)(/status)?",
                    _ObjectHandler,
                    {"store": self},
                ),
            ],
            log_function=lambda handler: None,
        )
        server = HTTPServer(application)
        server.listen(port, address=host)
        return server

    async def _record_change(
        self, kind: str, item: dict[str, Any], *, deleted: bool
    ) -> None:
        self.history.append((self.revision, kind, item, deleted))
        async with self.changed:
            self.changed.notify_all()


class _Handler(RequestHandler):
    def initialize(self, store: FakeObjectStore) -> None:
        self.store = store

    def prepare(self) -> None:
        self.store.calls += 1
        self._state_era()
        if self.store.refusal_status:
            self.set_status(self.store.refusal_status)
            self.finish({"error": "refused"})

    def _state_era(self) -> None:
        if self.store.era is not None:
            self.set_header("Store-Era", str(self.store.era))

    def respond(self, body: dict[str, Any], status: int = 200) -> None:
        self._state_era()
        self.set_status(status)
        malformed = self.store.malformed_body
        self.finish(json.dumps(body) if malformed is None else malformed)

    def respond_to_write(self, body: dict[str, Any], status: int = 200) -> None:
        if self.store.lost_write_responses > 0:
            self.store.lost_write_responses -= 1
            self.request.connection.stream.close()
            self._finished = True
            return
        self.respond(body, status)


class _KindHandler(_Handler):
    async def get(self, kind: str) -> None:
        watch = self.get_query_argument("watch", None)
        if watch is not None:
            await self._watch(kind, int(watch))
            return
        after = self.get_query_argument("after", "")
        items = [o for o in self.store.items(kind) if o["metadata"]["name"] > after]
        self.respond(
            {
                "items": items[:_PAGE_SIZE],
                "has-more": len(items) > _PAGE_SIZE,
                "at": self.store.revision,
            }
        )

    async def _watch(self, kind: str, after: int) -> None:
        if not self.store.history_start <= after <= self.store.revision:
            self.respond({"error": "history is gone"}, 410)
            return
        wait_s = int(self.get_query_argument("wait-ms")) / 1000
        try:
            async with asyncio.timeout(wait_s), self.store.changed:
                era = self.store.era
                await self.store.changed.wait_for(
                    lambda: self.store.events(kind, after) or era != self.store.era
                )
        except TimeoutError:
            pass
        try:
            self.respond(
                {"events": self.store.events(kind, after), "at": self.store.revision}
            )
        except StreamClosedError:
            pass

    async def post(self, kind: str) -> None:
        body = json.loads(self.request.body)
        name = body["metadata"]["name"]
        if self.store.get(kind, name) is not None:
            self.respond({"error": "exists"}, 409)
            return
        self.respond_to_write(await self.store.put(kind, name, spec=body["spec"]), 201)


class _ObjectHandler(_Handler):
    def get(self, kind: str, name: str, status: str | None) -> None:
        found = self.store.get(kind, name)
        self.respond(found or {"error": "none"}, 200 if found else 404)

    async def put(self, kind: str, name: str, status: str | None) -> None:
        found = self.store.get(kind, name)
        body = json.loads(self.request.body)
        if found is None:
            self.respond({"error": "none"}, 404)
            return
        expected = body["metadata"].get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            self.respond(found, 409)
            return
        parts = {"spec": found["spec"], "status": found["status"]}
        part = "status" if status else "spec"
        if body[part] == parts[part]:
            self.respond_to_write(found)
            return
        parts[part] = body[part]
        self.respond_to_write(await self.store.put(kind, name, **parts))

    async def delete(self, kind: str, name: str, status: str | None) -> None:
        if self.store.get(kind, name) is None:
            self.respond({"error": "none"}, 404)
            return
        await self.store.remove(kind, name)
        self.respond({})
