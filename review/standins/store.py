"""Stand-in for the platform's metadata store: objects, conditions and watches."""

import asyncio
import json
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

_PAGE_SIZE = 500


class Store:
    """Objects by kind and name, with one revision counter and a history."""

    def __init__(self) -> None:
        self.revision = 100
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._server: HTTPServer | None = None

    def listen(self, host: str, port: int) -> None:
        """Listen for calls."""
        kind, arguments = r"/api/objects/([^/]+)", {"store": self}
        application = Application(
            [
                (kind, _KindHandler, arguments),
                (kind + r"/([^/]+)(/status)?", _ObjectHandler, arguments),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)
        self._server.listen(port, address=host)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    async def put(
        self, kind: str, name: str, spec: Any = None, status: Any = None
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
        await self._record(kind, stored, deleted=False)
        return stored

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.pop((kind, name))
        self.revision += 1
        await self._record(kind, found, deleted=True)

    def events(self, kind: str, after: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {"object": stored, "deleted": deleted}
            for revision, changed_kind, stored, deleted in self.history
            if changed_kind == kind and revision > after
        ]

    async def wait_for_events(self, kind: str, after: int, wait_s: float) -> None:
        """Wait until a kind changes, for a time at most."""
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self.events(kind, after))
        except TimeoutError:
            return

    async def _record(self, kind: str, stored: Any, *, deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        async with self._changed:
            self._changed.notify_all()


class _Handler(RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def respond(self, body: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))


class _KindHandler(_Handler):
    async def get(self, kind: str) -> None:
        watch = self.get_query_argument("watch", None)
        if watch is not None:
            await self._watch(kind, int(watch))
            return
        after = self.get_query_argument("after", "")
        found = sorted(
            (key[1], stored)
            for key, stored in self.store.objects.items()
            if key[0] == kind and key[1] > after
        )
        items = [stored for _, stored in found]
        has_more = len(items) > _PAGE_SIZE
        self.respond(
            {
                "items": items[:_PAGE_SIZE],
                "has-more": has_more,
                "at": self.store.revision,
            }
        )

    async def _watch(self, kind: str, after: int) -> None:
        wait_s = int(self.get_query_argument("wait-ms", "0")) / 1000
        await self.store.wait_for_events(kind, after, wait_s)
        events = self.store.events(kind, after)
        try:
            self.respond({"events": events, "at": self.store.revision})
        except StreamClosedError:
            return

    async def post(self, kind: str) -> None:
        body = json.loads(self.request.body)
        name = body["metadata"]["name"]
        known = self.store.objects.get((kind, name))
        if known is not None:
            self.respond(known, 409)
            return
        self.respond(await self.store.put(kind, name, body.get("spec")))


class _ObjectHandler(_Handler):
    def get(self, kind: str, name: str, status: str | None) -> None:
        found = self.store.objects.get((kind, name))
        self.respond(found or {"error": "none"}, 200 if found else 404)

    async def put(self, kind: str, name: str, status: str | None) -> None:
        found = self.store.objects.get((kind, name))
        body = json.loads(self.request.body)
        if found is None:
            self.respond({"error": "none"}, 404)
            return
        expected = body.get("metadata", {}).get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            self.respond(found, 409)
            return
        part = "status" if status else "spec"
        if body.get(part) == found[part]:
            self.respond(found)
            return
        parts = {"spec": found["spec"], "status": found["status"]}
        parts[part] = body.get(part)
        self.respond(await self.store.put(kind, name, **parts))

    async def delete(self, kind: str, name: str, status: str | None) -> None:
        if (kind, name) not in self.store.objects:
            self.respond({"error": "none"}, 404)
            return
        await self.store.remove(kind, name)
        self.respond({})
