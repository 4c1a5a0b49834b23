"""Client of the platform's object API: reads, conditional updates and watches."""

import asyncio
import random
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.backoff import full_jitter
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform_api.dialect import (
    OWN_DIALECT,
    ApiCall,
    Dialect,
    PlatformObject,
    WatchResult,
)
from burdockdock.platform_api.era import StoreEra
from burdockdock.platform_api.transport import PlatformTransport, Response

MAX_VALUE_BYTES = 1_000_000
_BACKOFF_BASE_S = 0.1
# Also the longest time until a client notices that the platform is back.
_BACKOFF_CAP_S = 2.5
# A watch without a response this long after its wait time has lost its connection.
_WATCH_TIMEOUT_MARGIN_S = 0.5
# Errors that the decoders of a dialect raise on a response of another form.
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class Conflict(NamedTuple):
    """A conditional update that was not applied because the version differs.

    :param current: the object as it is stored now.
    """

    current: PlatformObject

    def __bool__(self) -> bool:
        """Return False: a Conflict is falsy, as a Failure is."""
        return False


class PlatformClient:
    """Calls the platform; every call returns a result or a Failure.

    :param url: base URL of the object API.
    :param name: name of this client, sent with each call.
    :param timeout_s: timeout of one call in seconds.
    :param dialect: request and response format of the object API.
    :param count: increments a counter, given its name and label.
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
        self._name = name
        self._clock = clock
        self._rng = rng or random.Random()
        self._dialect = dialect
        self._transport = PlatformTransport(
            url,
            name=name,
            clock=clock,
            timeout_s=timeout_s,
            count=count,
            era_header=dialect.era_header,
        )

    @property
    def failures_in_row(self) -> int:
        """Number of failed calls since the last that succeeded."""
        return self._transport.failures_in_row

    @property
    def era(self) -> StoreEra:
        """The newest era of the store, which rises when it returns from a copy."""
        return self._transport.era

    def close(self) -> None:
        """Close all connections; cancel first what waits for a response."""
        self._transport.close()

    def new_token(self) -> str:
        """Return a token that is unique to one write."""
        return f"{self._name}:{uuid.uuid4().hex}"

    async def read(self, key: str) -> PlatformObject | Failure:
        """Read an object; if it is missing, return version 0 and an empty value."""
        response = await self._transport.call(
            self._dialect.encode_read(key), label="read"
        )
        if not isinstance(response, Response):
            return response
        if response.status == 404:
            return PlatformObject(key, 0, {}, era=response.era)
        return self._decode_or_fail(lambda: self._decode_object(key, response))

    async def list(self, prefix: str) -> WatchResult | Failure:
        """Read all objects under a prefix, and the revision from which to watch."""
        objects: list[PlatformObject] = []
        page = ""
        revision: int | None = None
        while True:
            call = self._dialect.encode_list(prefix, page)
            result = await self._fetch_objects(
                call, self._dialect.decode_list, prefix, "list"
            )
            if isinstance(result, Failure):
                return result
            objects += result.objects
            page = result.next_page
            # What changes while the pages are read is told by a watch from the first.
            revision = result.revision if revision is None else revision
            if not page:
                return result._replace(objects=objects, revision=revision)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float = 25.0
    ) -> WatchResult | Failure:
        """Wait for changes of objects under a prefix after a revision.

        :param after: revision that the last list or watch returned.
        :param wait_s: seconds for which the platform holds the call if nothing changes.
        """
        return await self._fetch_objects(
            self._dialect.encode_watch(prefix, after, wait_s),
            self._dialect.decode_watch,
            prefix,
            "watch",
            timeout_s=wait_s + _WATCH_TIMEOUT_MARGIN_S,
        )

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Make one conditional update without retries.

        :param expected_version: version to replace, 0 to create the object.
        :returns: the object as written, a Conflict, or a Failure whose verdict says
            whether the write may have taken effect.
        """
        call = self._dialect.encode_write(key, expected_version, value)
        return await self._write(key, call, value, label="write")

    async def write_status(
        self, key: str, *, expected_version: int, status: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Replace the status of an object that another client wrote.

        :param expected_version: current version of the object.
        :returns: same as :meth:`try_update`.
        """
        call = self._dialect.encode_write_status(key, expected_version, status)
        return await self._write(key, call, {}, label="write_status")

    async def update(
        self,
        key: str,
        *,
        expected_version: int,
        value: dict[str, Any],
        retry_timeout_s: float = 10.0,
    ) -> PlatformObject | Conflict | Failure:
        """Make one conditional update and find out whether it took effect.

        The value carries a token that identifies the write. If the response is lost,
        the same update is sent again. It is applied if the first one was not; otherwise
        it conflicts, and the token of the stored object shows whose write it was.

        :param retry_timeout_s: seconds after which no further attempt is made.
        :returns: same as :meth:`try_update`; MAY_HAVE_RUN only if the outcome is still
            unknown when the time is over.
        """
        value_with_token = {**value, "token": value.get("token") or self.new_token()}
        deadline_s = self._clock.monotonic() + retry_timeout_s
        may_have_run = False
        attempt = 0
        while True:
            result = await self.try_update(
                key, expected_version=expected_version, value=value_with_token
            )
            if isinstance(result, Conflict):
                return _find_own_write(result, value_with_token["token"]) or result
            if not isinstance(result, Failure) or result.reason == "too_large":
                return result
            may_have_run |= result.verdict is not Verdict.NOT_RUN
            delay_s = self._retry_delay_s(attempt)
            if self._clock.monotonic() + delay_s >= deadline_s:
                verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
                return result._replace(verdict=verdict)
            await asyncio.sleep(delay_s)
            attempt += 1

    async def delete(self, key: str) -> bool | Failure:
        """Delete an object of any version; succeed if there is none."""
        response = await self._transport.call(
            self._dialect.encode_delete(key), label="delete"
        )
        return True if isinstance(response, Response) else response

    async def pause_after_failure(self) -> None:
        """Wait for the backoff delay that follows from the consecutive failures."""
        await asyncio.sleep(self._retry_delay_s(max(0, self.failures_in_row - 1)))

    def _retry_delay_s(self, attempt: int) -> float:
        return full_jitter(
            attempt, base_s=_BACKOFF_BASE_S, cap_s=_BACKOFF_CAP_S, rng=self._rng
        )

    async def _fetch_objects(
        self,
        call: ApiCall,
        decode: Callable[[str, Any], WatchResult],
        prefix: str,
        label: str,
        *,
        timeout_s: float | None = None,
    ) -> WatchResult | Failure:
        """Make a call that returns the objects under a prefix."""
        response = await self._transport.call(call, label=label, timeout_s=timeout_s)
        if not isinstance(response, Response):
            return response
        return self._decode_or_fail(
            lambda: _with_era(decode(prefix, response.body), response.era)
        )

    async def _write(
        self, key: str, call: ApiCall, value: dict[str, Any], *, label: str
    ) -> PlatformObject | Conflict | Failure:
        if call.body is not None and len(call.body) > MAX_VALUE_BYTES:
            return Failure(Verdict.NOT_RUN, "too_large", f"{len(call.body)} bytes")
        response = await self._transport.call(call, label=label)
        if not isinstance(response, Response):
            return response
        if response.status == 404:
            return Conflict(PlatformObject(key, 0, {}, era=response.era))
        if response.status == 409:
            return await self._read_conflict(key, response)
        return self._decode_or_fail(
            lambda: self._dialect.decode_written(key, response.body, value)._replace(
                era=response.era
            )
        )

    async def _read_conflict(self, key: str, response: Response) -> Conflict | Failure:
        """Return the conflicting object; read it if the response lacks it."""
        try:
            return Conflict(self._decode_object(key, response))
        except _DECODE_ERRORS:
            found = await self.read(key)
        if isinstance(found, Failure):
            return found._replace(verdict=Verdict.NOT_RUN)
        return Conflict(found)

    def _decode_object(self, key: str, response: Response) -> PlatformObject:
        found = self._dialect.decode_object(key, response.body)
        return found._replace(era=response.era)

    def _decode_or_fail(self, decode: Callable[[], Any]) -> Any:
        """Decode a response; return a Failure if its form is unexpected."""
        try:
            return decode()
        except _DECODE_ERRORS as error:
            return self._transport.record_failure(
                Verdict.MAY_HAVE_RUN, f"response has an unexpected form: {error!r}"
            )


def _with_era(result: WatchResult, era: int) -> WatchResult:
    """Return a result that states, as its objects do, the era in which it was read."""
    objects = [found._replace(era=era) for found in result.objects]
    return result._replace(objects=objects, era=era)


def _find_own_write(conflict: Conflict, token: str) -> PlatformObject | None:
    """Return the current object if this write's token shows that it was applied."""
    if conflict.current.value.get("token") == token:
        return conflict.current
    return None
