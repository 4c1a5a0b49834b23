"""Shared test helpers: async tests, waiting for conditions, and a fake platform."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import settings
from tornado.curl_httpclient import CurlAsyncHTTPClient

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform_api import Conflict, PlatformObject, WatchResult
from burdockdock.platform_api.era import StoreEra
from tests import streams

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=80)
settings.load_profile("fixed")

# Timeout of waits, long enough that only a failing test reaches it.
PATIENCE_S = 60.0
UNAVAILABLE = Failure(Verdict.MAY_HAVE_RUN, "platform_unavailable", "simulated outage")


def async_test(
    function: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Wrap a coroutine function as a test that closes the connections it opened."""

    async def run_and_close(*args: Any) -> None:
        try:
            await function(*args)
        finally:
            await streams.close_all()
            # The client that all requests of this event loop share.
            CurlAsyncHTTPClient().close()

    @functools.wraps(function)
    def run(*args: Any) -> None:
        asyncio.run(run_and_close(*args))

    return run


async def eventually(
    condition: Callable[[], Any], *, patience_s: float = PATIENCE_S
) -> Any:
    """Poll a condition until it is truthy.

    :param patience_s: timeout in seconds, which only a failing test reaches.
    :returns: the truthy result of the condition.
    """
    async with asyncio.timeout(patience_s):
        while not (result := condition()):
            await asyncio.sleep(0.01)
    return result


class FakePlatform:
    """Versioned objects in memory, with faults injected into chosen writes.

    :param faults: fault of a write by its number, counted from 1: ``lost_before`` drops
        the write, ``lost_after`` only its response.
    """

    def __init__(self, faults: dict[int, str] | None = None) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.faults = faults or {}
        self.down = False
        self.writes = 0
        self.reads = 0
        self._revision = 0
        self._tokens = 0
        self.era = StoreEra(count=lambda name: None)

    def new_token(self) -> str:
        """Return a token that is unique to one write."""
        self._tokens += 1
        return f"token-{self._tokens}"

    async def read(self, key: str) -> PlatformObject | Failure:
        """Read an object; its version is 0 if it does not exist."""
        self.reads += 1
        if self.down:
            return UNAVAILABLE
        found = self.objects.get(key, PlatformObject(key, 0, {}))
        return found._replace(era=self.era.newest)

    async def list(self, prefix: str) -> WatchResult | Failure:
        """Read all objects under a prefix."""
        if self.down:
            return UNAVAILABLE
        found = [o for key, o in self.objects.items() if key.startswith(prefix)]
        return WatchResult(self._revision, found)

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Make one conditional update, subject to the fault for its number."""
        self.writes += 1
        fault = self.faults.get(self.writes, "")
        if self.down or fault == "lost_before":
            return UNAVAILABLE
        current = self.objects.get(key, PlatformObject(key, 0, {}))
        if current.version != expected_version:
            return Conflict(current)
        self._revision += 1
        self.objects[key] = PlatformObject(key, self._revision, value)
        return UNAVAILABLE if fault == "lost_after" else self.objects[key]

    async def update(
        self,
        key: str,
        *,
        expected_version: int,
        value: dict[str, Any],
        retry_timeout_s: float = 10.0,
    ) -> PlatformObject | Conflict | Failure:
        """Try an update up to twice, as the real client retries lost writes."""
        value_with_token = {**value, "token": value.get("token") or self.new_token()}
        for _ in range(2):
            result = await self.try_update(
                key, expected_version=expected_version, value=value_with_token
            )
            if isinstance(result, Conflict):
                is_own_write = (
                    result.current.value.get("token") == value_with_token["token"]
                )
                return result.current if is_own_write else result
            if result:
                return result
        return result

    async def delete(self, key: str) -> bool:
        """Delete an object."""
        self.objects.pop(key, None)
        return True
