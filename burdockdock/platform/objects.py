"""The platform's object store: kinds, names, envelopes and watches."""

from typing import Any
from urllib.parse import quote, urlencode

from burdockdock.platform_api.dialect import (
    ApiCall,
    Dialect,
    PlatformObject,
    WatchResult,
    encode_json,
)

# The store's kind for the first part of a key; other parts are kinds themselves.
# "rollouts" there are the operator's orders, so that our own state moves aside.
_KIND_OF_PREFIX = {"orders": "rollouts", "rollouts": "rollout-states"}


def _path(key: str) -> str:
    """Return the path of a key, whose first part is a kind and the rest a name."""
    prefix, _, name = key.partition("/")
    kind = _KIND_OF_PREFIX.get(prefix, prefix)
    if not name:
        return f"/api/objects/{kind}"
    return f"/api/objects/{kind}/{quote(name.replace('/', '.'), safe='')}"


def _read(key: str) -> ApiCall:
    return ApiCall("GET", _path(key))


def _list(prefix: str, page: str) -> ApiCall:
    query = f"?{urlencode({'after': page})}" if page else ""
    return ApiCall("GET", _path(prefix) + query)


def _watch(prefix: str, after: int, wait_s: float) -> ApiCall:
    query = urlencode({"watch": after, "wait-ms": int(wait_s * 1000)})
    return ApiCall("GET", f"{_path(prefix)}?{query}")


def _write(key: str, expected_version: int, value: dict[str, Any]) -> ApiCall:
    """Make the call that creates or replaces; only a replacement names a revision."""
    name = key.partition("/")[2].replace("/", ".")
    metadata: dict[str, Any] = {"name": name}
    if not expected_version:
        body = encode_json({"metadata": metadata, "spec": value})
        return ApiCall("POST", _path(key.partition("/")[0]), body)
    metadata["revision"] = expected_version
    return ApiCall(
        "PUT", _path(key), encode_json({"metadata": metadata, "spec": value})
    )


def _write_status(key: str, expected_version: int, status: dict[str, Any]) -> ApiCall:
    name = key.partition("/")[2].replace("/", ".")
    metadata = {"name": name, "revision": expected_version}
    body = encode_json({"metadata": metadata, "status": status})
    return ApiCall("PUT", f"{_path(key)}/status", body)


def _delete(key: str) -> ApiCall:
    return ApiCall("DELETE", _path(key))


def _object_from(key: str, body: Any) -> PlatformObject:
    """Read an object; one whose content is no table has an empty value."""
    spec = body.get("spec")
    status = body.get("status")
    return PlatformObject(
        key,
        int(body["metadata"]["revision"]),
        spec if isinstance(spec, dict) else {},
        status if isinstance(status, dict) else {},
    )


def _written_from(key: str, body: Any, value: dict[str, Any]) -> PlatformObject:
    return _object_from(key, body)


def _named_object_from(prefix: str, body: Any) -> PlatformObject:
    """Read an object of a list, whose key is made from its name."""
    kind = prefix.partition("/")[0]
    return _object_from(f"{kind}/{body['metadata']['name']}", body)


def _list_from(prefix: str, body: Any) -> WatchResult:
    objects = [_named_object_from(prefix, item) for item in body["items"]]
    more = bool(body.get("has-more")) and bool(objects)
    page = objects[-1].key.partition("/")[2] if more else ""
    return WatchResult(int(body["at"]), objects, page)


def _watch_from(prefix: str, body: Any) -> WatchResult:
    """Read changes; an object that was deleted is told as one of version 0."""
    objects = []
    for event in body["events"]:
        found = _named_object_from(prefix, event["object"])
        if event.get("deleted"):
            found = PlatformObject(found.key, 0, {})
        objects.append(found)
    return WatchResult(int(body["at"]), objects)


DIALECT = Dialect(
    read=_read,
    list=_list,
    watch=_watch,
    write=_write,
    write_status=_write_status,
    delete=_delete,
    object_from=_object_from,
    written_from=_written_from,
    list_from=_list_from,
    watch_from=_watch_from,
)
