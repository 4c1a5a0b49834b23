"""Client of the platform's object API: versions, conditional updates, watches."""

import asyncio
import json
import random
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from burdockdock.clock import Clock
from burdockdock.coordination.backoff import full_jitter
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event
from burdockdock.platform_api.dialect import (
    OWN_DIALECT,
    ApiCall,
    Dialect,
    PlatformObject,
    WatchResult,
)

MAX_VALUE_BYTES = 1_000_000
_BACKOFF_BASE_S = 0.1
# Whoever waits for the platform notices its return within this.
_BACKOFF_CAP_S = 2.5
_CONNECT_TIMEOUT_S = 1.0
# A watch that is not answered this long after its wait has lost its connection.
_WATCH_MARGIN_S = 0.5
_MAX_CLIENTS = 16
_REFUSED = frozenset({429, 503})
_ANSWERED = frozenset({200, 201, 204, 404, 409})
_HISTORY_GONE = 410
_BAD_FORM = (KeyError, TypeError, ValueError, AttributeError)


class Conflict(NamedTuple):
    """A conditional update that did not apply, with what stands there instead."""

    current: PlatformObject

    def __bool__(self) -> bool:
        """Return False, as a failure does."""
        return False


class PlatformClient:
    """Calls the platform; every method returns a result or a Failure.

    :param url: base address of the object API.
    :param name: this client's name, told with each call.
    :param timeout_s: bound of one call in seconds.
    :param dialect: the form of the object API.
    :param count: called with a counter's name and label for each call.
    """

    def __init__(
        self,
        url: str,
        *,
        name: str,
        clock: Clock,
        rng: random.Random | None = None,
        timeout_s: float = 2.0,
        dialect: Dialect = OWN_DIALECT,
        count: Callable[..., None] = lambda name, *, label: None,
    ) -> None:
        self._url = url.rstrip("/")
        self._name = name
        self._clock = clock
        self._rng = rng or random.Random()
        self._timeout_s = timeout_s
        self._dialect = dialect
        self._count = count
        self._http: CurlAsyncHTTPClient | None = None
        self._lost_at_s: float | None = None
        self.failures_in_row = 0

    def new_token(self) -> str:
        """Return a token that no other write carries."""
        return f"{self._name}:{uuid.uuid4().hex}"

    async def read(self, key: str) -> PlatformObject | Failure:
        """Read an object; a missing one has version 0 and an empty value."""
        reply = await self._call(self._dialect.read(key), label="read")
        if not isinstance(reply, _Reply):
            return reply
        if reply.status == 404:
            return PlatformObject(key, 0, {})
        return self._decode(lambda: self._dialect.object_from(key, reply.body))

    async def list(self, prefix: str) -> WatchResult | Failure:
        """Read all objects under a prefix, with the revision to watch from."""
        objects: list[PlatformObject] = []
        page = ""
        while True:
            call = self._dialect.list(prefix, page)
            found = await self._changes(call, self._dialect.list_from, prefix, "list")
            if isinstance(found, Failure):
                return found
            objects += found.objects
            page = found.next_page
            if not page:
                return found._replace(objects=objects)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float = 25.0
    ) -> WatchResult | Failure:
        """Wait for objects under a prefix that changed after a revision.

        :param after: revision of the last list or watch.
        :param wait_s: seconds the platform holds the call.
        """
        return await self._changes(
            self._dialect.watch(prefix, after, wait_s),
            self._dialect.watch_from,
            prefix,
            "watch",
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Make one conditional update without asking again.

        :param expected_version: version to replace, 0 to create.
        :returns: the object as written, a Conflict, or a Failure whose verdict says
            whether the write may have taken effect.
        """
        call = self._dialect.write(key, expected_version, value)
        return await self._write(key, call, value, label="write")

    async def write_status(
        self, key: str, *, expected_version: int, status: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Replace the status of an object that somebody else wrote.

        :param expected_version: the object's version.
        :returns: as :meth:`try_update`.
        """
        call = self._dialect.write_status(key, expected_version, status)
        return await self._write(key, call, {}, label="write_status")

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
        :returns: as :meth:`try_update`; MAY_HAVE_RUN only when nothing could be
            learned in time.
        """
        marked = {**value, "token": value.get("token") or self.new_token()}
        give_up_at_s = self._clock.monotonic() + patience_s
        may_have_run = False
        attempt = 0
        while True:
            result = await self.try_update(
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
        reply = await self._call(self._dialect.delete(key), label="delete")
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

    async def _changes(
        self,
        call: ApiCall,
        read: Callable[[str, Any], WatchResult],
        prefix: str,
        label: str,
        *,
        timeout_s: float | None = None,
    ) -> WatchResult | Failure:
        """Make a call that answers with objects under a prefix."""
        reply = await self._call(call, label=label, timeout_s=timeout_s)
        if not isinstance(reply, _Reply):
            return reply
        return self._decode(lambda: read(prefix, reply.body))

    async def _write(
        self, key: str, call: ApiCall, value: dict[str, Any], *, label: str
    ) -> PlatformObject | Conflict | Failure:
        if call.body is not None and len(call.body) > MAX_VALUE_BYTES:
            return Failure(Verdict.NOT_RUN, "too_large", f"{len(call.body)} bytes")
        reply = await self._call(call, label=label)
        if not isinstance(reply, _Reply):
            return reply
        if reply.status == 404:
            return Conflict(PlatformObject(key, 0, {}))
        if reply.status == 409:
            return await self._conflict(key, reply)
        return self._decode(lambda: self._dialect.written_from(key, reply.body, value))

    async def _conflict(self, key: str, reply: "_Reply") -> Conflict | Failure:
        """Return what stands in a write's way; read it if the answer lacks it."""
        try:
            return Conflict(self._dialect.object_from(key, reply.body))
        except _BAD_FORM:
            found = await self.read(key)
        if isinstance(found, Failure):
            return found._replace(verdict=Verdict.NOT_RUN)
        return Conflict(found)

    def _decode(self, read: Callable[[], Any]) -> Any:
        """Read an answer; one of an unexpected form is a failure."""
        try:
            return read()
        except _BAD_FORM as error:
            return self._fail(Verdict.MAY_HAVE_RUN, f"unexpected form: {error!r}")

    async def _call(
        self, call: ApiCall, *, label: str, timeout_s: float | None = None
    ) -> "_Reply | Failure":
        self._count("platform_calls", label=label)
        request = HTTPRequest(
            self._url + call.path,
            method=call.method,
            body=call.body,
            headers={"X-Client": self._name, "Content-Type": "application/json"},
            connect_timeout=_CONNECT_TIMEOUT_S,
            request_timeout=timeout_s or self._timeout_s,
            prepare_curl_callback=_open_connection if self.failures_in_row else None,
        )
        try:
            # A caller that gives up must not make tornado log the answer it missed.
            answer = self._client().fetch(request, raise_error=False)
            response = await asyncio.shield(answer)
        except (HTTPError, OSError) as error:
            return self._fail(Verdict.MAY_HAVE_RUN, str(error))
        if response.code == 599:
            return self._fail(Verdict.MAY_HAVE_RUN, str(response.error))
        if response.code in _REFUSED:
            return self._fail(
                Verdict.NOT_RUN, f"the platform refused the call: {response.code}"
            )
        if response.code == 413:
            return Failure(Verdict.NOT_RUN, "too_large", "refused by the platform")
        if response.code == _HISTORY_GONE:
            self._note_answer()
            return Failure(Verdict.NOT_RUN, "history_gone", "list again")
        return self._parse(response.code, response.body)

    def _parse(self, status: int, body: bytes) -> "_Reply | Failure":
        if status not in _ANSWERED:
            return self._fail(Verdict.MAY_HAVE_RUN, f"status {status}: {body[:200]!r}")
        try:
            reply = _Reply(status, json.loads(body) if body else {})
        except (ValueError, RecursionError):
            if status == 200:
                return self._fail(Verdict.MAY_HAVE_RUN, f"status {status} without JSON")
            reply = _Reply(status, {})
        self._note_answer()
        return reply

    def _note_answer(self) -> None:
        self.failures_in_row = 0
        if self._lost_at_s is not None:
            away_s = self._clock.monotonic() - self._lost_at_s
            self._lost_at_s = None
            log_event("platform.regained", away_s=away_s)

    def _fail(self, verdict: Verdict, detail: str) -> Failure:
        self.failures_in_row += 1
        self._count("platform_failures", label=verdict.name.lower())
        if self._lost_at_s is None:
            self._lost_at_s = self._clock.monotonic()
            log_event("platform.lost", reason=detail)
        return Failure(verdict, "platform_unavailable", detail)


def _open_connection(curl: pycurl.Curl) -> None:
    """Leave kept connections alone: after a failure they may all be silent."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)


class _Reply(NamedTuple):
    status: int
    body: Any


def _own_write(conflict: Conflict, token: str) -> PlatformObject | None:
    """Return the object if the write that stands there is the one we sent."""
    if conflict.current.value.get("token") == token:
        return conflict.current
    return None
