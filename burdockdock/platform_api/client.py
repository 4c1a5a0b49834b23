"""Client of the platform's object API: versions, conditional updates, watches."""

import asyncio
import json
import random
import uuid
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from burdockdock.clock import Clock
from burdockdock.coordination.backoff import full_jitter
from burdockdock.coordination.verdict import Failure, Verdict

MAX_VALUE_BYTES = 1_000_000
_BACKOFF_BASE_S = 0.1
_BACKOFF_CAP_S = 5.0
_CONNECT_TIMEOUT_S = 1.0
_MAX_CLIENTS = 64


class PlatformObject(NamedTuple):
    """One object; version 0 stands for one that does not exist."""

    key: str
    version: int
    value: dict[str, Any]


class Conflict(NamedTuple):
    """A conditional update that did not apply, with what stands there instead."""

    current: PlatformObject

    def __bool__(self) -> bool:
        """Return False, as a failure does."""
        return False


class WatchResult(NamedTuple):
    """Objects changed after a revision, and the revision to go on from."""

    revision: int
    objects: list[PlatformObject]


class PlatformClient:
    """Calls the platform; every method returns a result or a Failure.

    :param url: base address of the object API.
    :param name: this client's name, told with each call.
    :param timeout_s: bound of one call in seconds.
    """

    def __init__(
        self,
        url: str,
        *,
        name: str,
        clock: Clock,
        rng: random.Random | None = None,
        timeout_s: float = 2.0,
    ) -> None:
        self._url = url.rstrip("/")
        self._name = name
        self._clock = clock
        self._rng = rng or random.Random()
        self._timeout_s = timeout_s
        self._http: CurlAsyncHTTPClient | None = None
        self.failures_in_row = 0

    def new_token(self) -> str:
        """Return a token that no other write carries."""
        return f"{self._name}:{uuid.uuid4().hex}"

    async def read(self, key: str) -> PlatformObject | Failure:
        """Read an object; a missing one has version 0 and an empty value."""
        reply = await self._call("GET", f"/objects/{quote(key)}")
        if not isinstance(reply, _Reply):
            return reply
        if reply.status == 404:
            return PlatformObject(key, 0, {})
        return _object_from(reply.body)

    async def list(self, prefix: str) -> WatchResult | Failure:
        """Read all objects under a prefix, with the revision to watch from."""
        reply = await self._call("GET", f"/list?{urlencode({'prefix': prefix})}")
        return _watch_from(reply)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float = 25.0
    ) -> WatchResult | Failure:
        """Wait for objects under a prefix that changed after a revision.

        :param after: revision of the last list or watch.
        :param wait_s: seconds the platform holds the call.
        """
        query = urlencode({"prefix": prefix, "after": after, "wait_s": wait_s})
        reply = await self._call(
            "GET", f"/watch?{query}", timeout_s=wait_s + self._timeout_s
        )
        return _watch_from(reply)

    async def write_once(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Make one conditional update without asking again.

        :param expected_version: version to replace, 0 to create.
        :returns: the object as written, a Conflict, or a Failure whose verdict says
            whether the write may have taken effect.
        """
        body = json.dumps(value, separators=(",", ":")).encode()
        if len(body) > MAX_VALUE_BYTES:
            return Failure(Verdict.NOT_RUN, "too_large", f"{len(body)} bytes")
        path = f"/objects/{quote(key)}?if_version={expected_version}"
        reply = await self._call("PUT", path, body=body)
        if not isinstance(reply, _Reply):
            return reply
        if reply.status == 409:
            return Conflict(_object_from(reply.body))
        return PlatformObject(key, reply.body["version"], value)

    async def update(
        self,
        key: str,
        *,
        expected_version: int,
        value: dict[str, Any],
        patience_s: float = 10.0,
    ) -> PlatformObject | Conflict | Failure:
        """Make one conditional update and find out whether it took effect.

        The value carries a token. After a lost answer the same update is sent again:
        it applies if the first did not, and meets a conflict otherwise, in which the
        token tells whose write stands there.

        :param patience_s: seconds to go on asking.
        :returns: as :meth:`write_once`; MAY_HAVE_RUN only when nothing could be
            learned in time.
        """
        marked = {**value, "token": value.get("token") or self.new_token()}
        give_up_at_s = self._clock.monotonic() + patience_s
        may_have_run = False
        attempt = 0
        while True:
            result = await self.write_once(
                key, expected_version=expected_version, value=marked
            )
            if isinstance(result, Conflict):
                return _own_write(result, marked["token"]) or result
            if not isinstance(result, Failure) or result.reason == "too_large":
                return result
            may_have_run |= result.verdict is not Verdict.NOT_RUN
            delay_s = self._delay_s(attempt)
            if self._clock.monotonic() + delay_s >= give_up_at_s:
                verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
                return result._replace(verdict=verdict)
            await asyncio.sleep(delay_s)
            attempt += 1

    async def delete(self, key: str) -> bool | Failure:
        """Delete an object whatever its version; one that is absent is fine."""
        reply = await self._call("DELETE", f"/objects/{quote(key)}")
        return True if isinstance(reply, _Reply) else reply

    async def pause_after_failure(self) -> None:
        """Wait as long as the failures in a row call for."""
        await asyncio.sleep(self._delay_s(max(0, self.failures_in_row - 1)))

    def _client(self) -> CurlAsyncHTTPClient:
        """Return the HTTP client, which belongs to the loop that first calls."""
        if self._http is None:
            self._http = CurlAsyncHTTPClient(
                force_instance=True, max_clients=_MAX_CLIENTS
            )
        return self._http

    def _delay_s(self, attempt: int) -> float:
        return full_jitter(
            attempt, base_s=_BACKOFF_BASE_S, cap_s=_BACKOFF_CAP_S, rng=self._rng
        )

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> "_Reply | Failure":
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers={"X-Client": self._name},
            connect_timeout=_CONNECT_TIMEOUT_S,
            request_timeout=timeout_s or self._timeout_s,
        )
        try:
            response = await self._client().fetch(request, raise_error=False)
        except (HTTPError, OSError) as error:
            return self._fail(Verdict.MAY_HAVE_RUN, str(error))
        if response.code == 599:
            return self._fail(Verdict.MAY_HAVE_RUN, str(response.error))
        if response.code == 503:
            return self._fail(Verdict.NOT_RUN, "the platform refused the call")
        if response.code == 413:
            return Failure(Verdict.NOT_RUN, "too_large", "refused by the platform")
        return self._parse(response.code, response.body)

    def _parse(self, status: int, body: bytes) -> "_Reply | Failure":
        try:
            reply = _Reply(status, json.loads(body))
        except ValueError:
            return self._fail(Verdict.MAY_HAVE_RUN, f"status {status} without JSON")
        if status not in (200, 404, 409):
            return self._fail(Verdict.MAY_HAVE_RUN, f"status {status}")
        self.failures_in_row = 0
        return reply

    def _fail(self, verdict: Verdict, detail: str) -> Failure:
        self.failures_in_row += 1
        return Failure(verdict, "platform_unavailable", detail)


class _Reply(NamedTuple):
    status: int
    body: dict[str, Any]


def _object_from(body: dict[str, Any]) -> PlatformObject:
    return PlatformObject(body["key"], body["version"], body.get("value") or {})


def _watch_from(reply: "_Reply | Failure") -> WatchResult | Failure:
    if not isinstance(reply, _Reply):
        return reply
    objects = [_object_from(item) for item in reply.body["objects"]]
    return WatchResult(reply.body["revision"], objects)


def _own_write(conflict: Conflict, token: str) -> PlatformObject | None:
    """Return the object if the write that stands there is the one we sent."""
    if conflict.current.value.get("token") == token:
        return conflict.current
    return None
