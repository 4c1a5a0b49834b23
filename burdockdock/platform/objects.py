"""Request and response formats of the platform's object store."""

from typing import Any
from urllib.parse import quote, urlencode

from burdockdock.platform_api.dialect import (
    ApiCall,
    Dialect,
    PlatformObject,
    WatchResult,
    encode_json,
)

# Maps the first part of a key to the store's kind; any other first part is the kind.
# The kind "rollouts" holds the operators' orders, so the state of rollouts has its own.
_KIND_BY_KEY_PREFIX = {"orders": "rollouts", "rollouts": "rollout-states"}


def _path(key: str) -> str:
    """Return the path of a key: its first part gives the kind, the rest the name."""
    prefix, _, name = key.partition("/")
    kind = _KIND_BY_KEY_PREFIX.get(prefix, prefix)
    if not name:
        return f"/api/objects/{kind}"
    return f"/api/objects/{kind}/{quote(name.replace('/', '.'), safe='')}"


def _encode_read(key: str) -> ApiCall:
    return ApiCall("GET", _path(key))


def _encode_list(prefix: str, page: str) -> ApiCall:
    query = f"?{urlencode({'after': page})}" if page else ""
    return ApiCall("GET", _path(prefix) + query)


def _encode_watch(prefix: str, after: int, wait_s: float) -> ApiCall:
    query = urlencode({"watch": after, "wait-ms": int(wait_s * 1000)})
    return ApiCall("GET", f"{_path(prefix)}?{query}")


def _encode_write(key: str, expected_version: int, value: dict[str, Any]) -> ApiCall:
    """Return the call that creates or, given a revision, replaces an object."""
    name = key.partition("/")[2].replace("/", ".")
    metadata: dict[str, Any] = {"name": name}
    if not expected_version:
        body = encode_json({"metadata": metadata, "spec": value})
        return ApiCall("POST", _path(key.partition("/")[0]), body)
    metadata["revision"] = expected_version
    return ApiCall(
        "PUT", _path(key), encode_json({"metadata": metadata, "spec": value})
    )


def _encode_write_status(
    key: str, expected_version: int, status: dict[str, Any]
) -> ApiCall:
    name = key.partition("/")[2].replace("/", ".")
    metadata = {"name": name, "revision": expected_version}
    body = encode_json({"metadata": metadata, "status": status})
    return ApiCall("PUT", f"{_path(key)}/status", body)


def _encode_delete(key: str) -> ApiCall:
    return ApiCall("DELETE", _path(key))


def _decode_object(key: str, body: Any) -> PlatformObject:
    """Decode an object; a spec or status that is not a JSON object becomes empty."""
    spec = body.get("spec")
    status = body.get("status")
    return PlatformObject(
        key,
        int(body["metadata"]["revision"]),
        spec if isinstance(spec, dict) else {},
        status if isinstance(status, dict) else {},
    )


def _decode_written(key: str, body: Any, value: dict[str, Any]) -> PlatformObject:
    return _decode_object(key, body)


def _decode_named_object(prefix: str, body: Any) -> PlatformObject:
    """Decode an object of a list or a watch; its key is built from its name."""
    kind = prefix.partition("/")[0]
    return _decode_object(f"{kind}/{body['metadata']['name']}", body)


def _decode_list(prefix: str, body: Any) -> WatchResult:
    objects = [_decode_named_object(prefix, item) for item in body["items"]]
    has_more = bool(body.get("has-more")) and bool(objects)
    page = objects[-1].key.partition("/")[2] if has_more else ""
    return WatchResult(int(body["at"]), objects, page)


def _decode_watch(prefix: str, body: Any) -> WatchResult:
    """Decode changes; a deleted object is returned with version 0."""
    objects = []
    for event in body["events"]:
        found = _decode_named_object(prefix, event["object"])
        if event.get("deleted"):
            found = PlatformObject(found.key, 0, {})
        objects.append(found)
    return WatchResult(int(body["at"]), objects)


DIALECT = Dialect(
    encode_read=_encode_read,
    encode_list=_encode_list,
    encode_watch=_encode_watch,
    encode_write=_encode_write,
    encode_write_status=_encode_write_status,
    encode_delete=_encode_delete,
    decode_object=_decode_object,
    decode_written=_decode_written,
    decode_list=_decode_list,
    decode_watch=_decode_watch,
    era_header="Store-Era",
)
