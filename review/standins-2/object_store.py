"""Stand-in for the platform's metadata store: objects, conditional writes, watches."""

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from http_parts import Request, encode_answer, read_request


class ObjectStore:
    """Serves objects by kind and name under ``/api/objects``.

    :ivar silent: take calls and answer none, as a store that is down.
    :ivar watched_at_s: when each client last waited for changes, by its name.
    """

    def __init__(self) -> None:
        self.port = 0
        self.revision = 100
        self.silent = False
        self.watched_at_s: dict[str, float] = {}
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=4 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object as it is now."""
        return self._objects.get((kind, name))

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator does; return the store's revision."""
        await self._store(kind, name, {"spec": spec})
        return self.revision

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                while self.silent:
                    await asyncio.sleep(0.05)
                status, body = await self._handle(request)
                writer.write(encode_answer(status, json.dumps(body).encode()))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _handle(self, request: Request) -> tuple[int, Any]:
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        name = unquote(name)
        if request.method == "GET" and name:
            found = self.get(kind, name)
            return (200, found) if found else (404, {})
        if request.method == "GET":
            if "watch" in query:
                client = request.headers.get("x-client", "")
                self.watched_at_s[client] = time.monotonic()
                return await self._watch(kind, query)
            return 200, self._list(kind)
        if request.method == "DELETE":
            await self._store(kind, name, None)
            return 200, {}
        return await self._write(kind, name, json.loads(request.body))

    def _list(self, kind: str) -> dict[str, Any]:
        items = [o for (k, _), o in sorted(self._objects.items()) if k == kind]
        return {"items": items, "has-more": False, "at": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["watch"])
        events: list[dict[str, Any]] = []

        def arrived() -> bool:
            events[:] = [
                {"object": found, "deleted": deleted}
                for revision, of_kind, found, deleted in self._events
                if of_kind == kind and revision > after
            ]
            return bool(events)

        try:
            wait_s = int(query.get("wait-ms", "0")) / 1000
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(arrived)
        except TimeoutError:
            pass
        return 200, {"events": events, "at": self.revision}

    async def _write(self, kind: str, name: str, body: Any) -> tuple[int, Any]:
        metadata = body.get("metadata") or {}
        is_status = name.endswith("/status")
        creates = not name
        name = name.removesuffix("/status") or metadata["name"]
        found = self.get(kind, name)
        if creates:
            if found is not None:
                return 409, found
        elif found is None:
            return 404, {}
        elif (
            metadata.get("revision", found["metadata"]["revision"])
            != (found["metadata"]["revision"])
        ):
            return 409, found
        field = "status" if is_status else "spec"
        await self._store(kind, name, {field: body.get(field)})
        return (201 if creates else 200), self.get(kind, name)

    async def _store(self, kind: str, name: str, fields: dict[str, Any] | None) -> None:
        """Change an object, or remove it if there are no fields."""
        known = self.get(kind, name)
        if fields is None:
            if known is None:
                return
            self.revision += 1
            found = self._objects.pop((kind, name))
        else:
            kept = known or {"spec": None, "status": None, "metadata": {}}
            found = {**kept, **fields}
            if known is not None and found == known:
                return
            self.revision += 1
            found["metadata"] = {
                "name": name,
                "revision": self.revision,
                "created-at": kept["metadata"].get("created-at", int(time.time())),
                "finalizers": [],
                "delete-requested": False,
            }
            self._objects[kind, name] = found
        self._events.append((self.revision, kind, found, fields is None))
        async with self._changed:
            self._changed.notify_all()
