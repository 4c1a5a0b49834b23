"""Request and response formats of the platform's object API."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from burdockdock.platform_api.era import ordered_version


class PlatformObject(NamedTuple):
    """One object of the platform.

    :param version: version of the object, 0 if it does not exist.
    :param status: status that nodes reported on an object that an operator wrote.
    :param era: era of the store in which it was read, 0 if the store states none.
    """

    key: str
    version: int
    value: dict[str, Any]
    status: dict[str, Any] = {}
    era: int = 0

    @property
    def record_version(self) -> int:
        """Version of the record of this object; it rises over all eras."""
        return ordered_version(self.era, self.version)


class WatchResult(NamedTuple):
    """Objects that a list or a watch returned.

    :param revision: revision of the store from which to watch next.
    :param next_page: start of the next page of a long list, empty on the last page.
    :param era: era of the store that answered, 0 if the store states none.
    """

    revision: int
    objects: list[PlatformObject]
    next_page: str = ""
    era: int = 0

    @property
    def record_version(self) -> int:
        """Version of a record that was written at this revision."""
        return ordered_version(self.era, self.revision)


class ApiCall(NamedTuple):
    """One HTTP call of the object API.

    :param path: path with its query string.
    """

    method: str
    path: str
    body: bytes | None = None


class Dialect(NamedTuple):
    """One request and response format of the object API, as plain functions.

    The decoders take the decoded JSON of a response. They raise ``KeyError``,
    ``TypeError``, ``ValueError`` or ``AttributeError`` if its form is unexpected.

    :param encode_read: returns the call that reads the object under a key.
    :param encode_list: returns the call that lists the objects under a prefix from a
        page on.
    :param encode_watch: returns the call that waits for changes under a prefix after a
        revision, for at most a time in seconds.
    :param encode_write: returns the call that replaces a value if the object has the
        expected version, or creates the object if that version is 0.
    :param encode_write_status: returns the call that replaces the status of an existing
        object if it has the expected version.
    :param encode_delete: returns the call that deletes an object.
    :param decode_object: decodes an object, given its key.
    :param decode_written: decodes the response to a write, given the key and the value.
    :param decode_list: decodes the response to a list, given the prefix.
    :param decode_watch: decodes the response to a watch, given the prefix.
    :param era_header: name of the header that states the era of the store.
    """

    encode_read: Callable[[str], ApiCall]
    encode_list: Callable[[str, str], ApiCall]
    encode_watch: Callable[[str, int, float], ApiCall]
    encode_write: Callable[[str, int, dict[str, Any]], ApiCall]
    encode_write_status: Callable[[str, int, dict[str, Any]], ApiCall]
    encode_delete: Callable[[str], ApiCall]
    decode_object: Callable[[str, Any], PlatformObject]
    decode_written: Callable[[str, Any, dict[str, Any]], PlatformObject]
    decode_list: Callable[[str, Any], WatchResult]
    decode_watch: Callable[[str, Any], WatchResult]
    era_header: str = "X-Store-Era"


def encode_json(value: Any) -> bytes:
    """Return a value as compact JSON bytes."""
    return json.dumps(value, separators=(",", ":")).encode()


def _encode_read(key: str) -> ApiCall:
    return ApiCall("GET", f"/objects/{quote(key)}")


def _encode_list(prefix: str, page: str) -> ApiCall:
    return ApiCall("GET", f"/list?{urlencode({'prefix': prefix})}")


def _encode_watch(prefix: str, after: int, wait_s: float) -> ApiCall:
    query = urlencode({"prefix": prefix, "after": after, "wait_s": wait_s})
    return ApiCall("GET", f"/watch?{query}")


def _encode_write(key: str, expected_version: int, value: dict[str, Any]) -> ApiCall:
    path = f"/objects/{quote(key)}?if_version={expected_version}"
    return ApiCall("PUT", path, encode_json(value))


def _encode_delete(key: str) -> ApiCall:
    return ApiCall("DELETE", f"/objects/{quote(key)}")


def _decode_object(key: str, body: Any) -> PlatformObject:
    return PlatformObject(body["key"], body["version"], body.get("value") or {})


def _decode_written(key: str, body: Any, value: dict[str, Any]) -> PlatformObject:
    return PlatformObject(key, body["version"], value)


def _decode_list(prefix: str, body: Any) -> WatchResult:
    objects = [_decode_object("", item) for item in body["objects"]]
    return WatchResult(body["revision"], objects)


OWN_DIALECT = Dialect(
    encode_read=_encode_read,
    encode_list=_encode_list,
    encode_watch=_encode_watch,
    encode_write=_encode_write,
    encode_write_status=_encode_write,
    encode_delete=_encode_delete,
    decode_object=_decode_object,
    decode_written=_decode_written,
    decode_list=_decode_list,
    decode_watch=_decode_list,
)
