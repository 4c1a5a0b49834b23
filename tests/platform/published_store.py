"""A stand-in that speaks the platform's published form of the object store."""

import asyncio
import json
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

_PAGE = 50


class PublishedStore:
    """Objects by kind and name, with switches for what the store does wrong.

    ``refused`` answers every call with that status, ``lose_answers`` drops the
    connection after so many writes took effect, ``odd_answer`` is sent in place of
    every answer's body, and ``forget_before`` is the revision from which on the
    history is kept.
    """

    def __init__(self) -> None:
        self.revision = 7
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Condition()
        self.refused = 0
        self.lose_answers = 0
        self.odd_answer: bytes | None = None
        self.forget_before = 0
        self.calls = 0

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object."""
        return self.objects.get((kind, name))

    def items(self, kind: str) -> list[dict[str, Any]]:
        """Return the objects of a kind by name."""
        return [o for key, o in sorted(self.objects.items()) if key[0] == kind]

    async def put(
        self, kind: str, name: str, *, spec: Any = None, status: Any = None
    ) -> dict[str, Any]:
        """Store an object under the next revision."""
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
        await self._note(kind, stored, deleted=False)
        return stored

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.pop((kind, name))
        self.revision += 1
        await self._note(kind, found, deleted=True)

    def events(self, kind: str, after: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {"object": item, "deleted": deleted}
            for revision, of_kind, item, deleted in self.history
            if of_kind == kind and revision > after
        ]

    def serve(self, host: str, port: int) -> HTTPServer:
        """Listen for calls."""
        application = Application(
            [
                (r"/api/objects/([^/]+)", _Kind, {"store": self}),
                (r"/api/objects/([^/]+)/([^/]+)(/status)?", _Object, {"store": self}),
            ],
            log_function=lambda handler: None,
        )
        server = HTTPServer(application)
        server.listen(port, address=host)
        return server

    async def _note(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self.history.append((self.revision, kind, item, deleted))
        async with self.changed:
            self.changed.notify_all()


class _Handler(RequestHandler):
    def initialize(self, store: PublishedStore) -> None:
        self.store = store

    def prepare(self) -> None:
        self.store.calls += 1
        if self.store.refused:
            self.set_status(self.store.refused)
            self.finish({"error": "refused"})

    def answer(self, body: dict[str, Any], status: int = 200) -> None:
        self.set_status(status)
        odd = self.store.odd_answer
        self.finish(json.dumps(body) if odd is None else odd)

    def answer_write(self, body: dict[str, Any], status: int = 200) -> None:
        if self.store.lose_answers > 0:
            self.store.lose_answers -= 1
            self.request.connection.stream.close()
            self._finished = True
            return
        self.answer(body, status)


class _Kind(_Handler):
    async def get(self, kind: str) -> None:
        watch = self.get_query_argument("watch", None)
        if watch is not None:
            await self._watch(kind, int(watch))
            return
        after = self.get_query_argument("after", "")
        items = [o for o in self.store.items(kind) if o["metadata"]["name"] > after]
        self.answer(
            {
                "items": items[:_PAGE],
                "has-more": len(items) > _PAGE,
                "at": self.store.revision,
            }
        )

    async def _watch(self, kind: str, after: int) -> None:
        if after < self.store.forget_before:
            self.answer({"error": "history is gone"}, 410)
            return
        wait_s = int(self.get_query_argument("wait-ms")) / 1000
        try:
            async with asyncio.timeout(wait_s), self.store.changed:
                await self.store.changed.wait_for(
                    lambda: self.store.events(kind, after)
                )
        except TimeoutError:
            pass
        try:
            self.answer(
                {"events": self.store.events(kind, after), "at": self.store.revision}
            )
        except StreamClosedError:
            pass

    async def post(self, kind: str) -> None:
        body = json.loads(self.request.body)
        name = body["metadata"]["name"]
        if self.store.get(kind, name) is not None:
            self.answer({"error": "exists"}, 409)
            return
        self.answer_write(await self.store.put(kind, name, spec=body["spec"]), 201)


class _Object(_Handler):
    def get(self, kind: str, name: str, status: str | None) -> None:
        found = self.store.get(kind, name)
        self.answer(found or {"error": "none"}, 200 if found else 404)

    async def put(self, kind: str, name: str, status: str | None) -> None:
        found = self.store.get(kind, name)
        body = json.loads(self.request.body)
        if found is None:
            self.answer({"error": "none"}, 404)
            return
        expected = body["metadata"].get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            self.answer(found, 409)
            return
        parts = {"spec": found["spec"], "status": found["status"]}
        part = "status" if status else "spec"
        if body[part] == parts[part]:
            self.answer_write(found)
            return
        parts[part] = body[part]
        self.answer_write(await self.store.put(kind, name, **parts))

    async def delete(self, kind: str, name: str, status: str | None) -> None:
        if self.store.get(kind, name) is None:
            self.answer({"error": "none"}, 404)
            return
        await self.store.remove(kind, name)
        self.answer({})
