"""How calls to an object API are written and its answers read."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode


class PlatformObject(NamedTuple):
    """One object; version 0 stands for one that does not exist.

    :param status: what the system reported on an object that an operator wrote.
    """

    key: str
    version: int
    value: dict[str, Any]
    status: dict[str, Any] = {}


class WatchResult(NamedTuple):
    """Objects changed after a revision, and the revision to go on from.

    :param next_page: where a long list goes on, empty at its end.
    """

    revision: int
    objects: list[PlatformObject]
    next_page: str = ""


class ApiCall(NamedTuple):
    """One HTTP call of the object API.

    :param path: with its query.
    """

    method: str
    path: str
    body: bytes | None = None


class Dialect(NamedTuple):
    """One form of the object API, as plain functions.

    The readers take the decoded JSON of an answer and raise ``KeyError``,
    ``TypeError``, ``ValueError`` or ``AttributeError`` on another form.

    :param read: makes the call that reads the object under a key.
    :param list: makes the call that lists a prefix, from a page on.
    :param watch: makes the call that waits up to some seconds for changes under a
        prefix after a revision.
    :param write: makes the call that replaces a value if the version is the expected
        one; version 0 creates it.
    :param write_status: the same for the status of an existing object.
    :param delete: makes the call that deletes an object.
    :param object_from: reads one object, given its key.
    :param written_from: reads the answer to a write of a value under a key.
    :param list_from: reads the answer to a list under a prefix.
    :param watch_from: reads the answer to a watch under a prefix.
    """

    read: Callable[[str], ApiCall]
    list: Callable[[str, str], ApiCall]
    watch: Callable[[str, int, float], ApiCall]
    write: Callable[[str, int, dict[str, Any]], ApiCall]
    write_status: Callable[[str, int, dict[str, Any]], ApiCall]
    delete: Callable[[str], ApiCall]
    object_from: Callable[[str, Any], PlatformObject]
    written_from: Callable[[str, Any, dict[str, Any]], PlatformObject]
    list_from: Callable[[str, Any], WatchResult]
    watch_from: Callable[[str, Any], WatchResult]


def encode_json(value: Any) -> bytes:
    """Return a value as compact JSON bytes."""
    return json.dumps(value, separators=(",", ":")).encode()


def _read(key: str) -> ApiCall:
    return ApiCall("GET", f"/objects/{quote(key)}")


def _list(prefix: str, page: str) -> ApiCall:
    return ApiCall("GET", f"/list?{urlencode({'prefix': prefix})}")


def _watch(prefix: str, after: int, wait_s: float) -> ApiCall:
    query = urlencode({"prefix": prefix, "after": after, "wait_s": wait_s})
    return ApiCall("GET", f"/watch?{query}")


def _write(key: str, expected_version: int, value: dict[str, Any]) -> ApiCall:
    path = f"/objects/{quote(key)}?if_version={expected_version}"
    return ApiCall("PUT", path, encode_json(value))


def _delete(key: str) -> ApiCall:
    return ApiCall("DELETE", f"/objects/{quote(key)}")


def _object_from(key: str, body: Any) -> PlatformObject:
    return PlatformObject(body["key"], body["version"], body.get("value") or {})


def _written_from(key: str, body: Any, value: dict[str, Any]) -> PlatformObject:
    return PlatformObject(key, body["version"], value)


def _list_from(prefix: str, body: Any) -> WatchResult:
    objects = [_object_from("", item) for item in body["objects"]]
    return WatchResult(body["revision"], objects)


OWN_DIALECT = Dialect(
    read=_read,
    list=_list,
    watch=_watch,
    write=_write,
    write_status=_write,
    delete=_delete,
    object_from=_object_from,
    written_from=_written_from,
    list_from=_list_from,
    watch_from=_list_from,
)
