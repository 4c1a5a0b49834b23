"""What the tests share: coroutines as tests, waiting, and a fake platform."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import settings

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform_api import Conflict, PlatformObject, WatchResult
from tests import streams

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=80)
settings.load_profile("fixed")

PATIENCE_S = 60.0
UNAVAILABLE = Failure(Verdict.MAY_HAVE_RUN, "platform_unavailable", "cut")


def async_test(
    function: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Run a coroutine function as a test, and close the streams it opened."""

    async def run_and_close(*args: Any) -> None:
        try:
            await function(*args)
        finally:
            await streams.close_all()

    @functools.wraps(function)
    def run(*args: Any) -> None:
        asyncio.run(run_and_close(*args))

    return run


async def eventually(
    condition: Callable[[], Any], *, patience_s: float = PATIENCE_S
) -> Any:
    """Wait until a condition holds; its patience only bounds a failing test."""
    async with asyncio.timeout(patience_s):
        while not (result := condition()):
            await asyncio.sleep(0.01)
    return result


class FakePlatform:
    """Objects with versions in memory, with a script of faults by write number.

    :param faults: ``lost_before`` drops a write, ``lost_after`` only its answer.
    """

    def __init__(self, faults: dict[int, str] | None = None) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.faults = faults or {}
        self.down = False
        self.writes = 0
        self.reads = 0
        self._revision = 0
        self._tokens = 0

    def new_token(self) -> str:
        """Return a token that no other write carries."""
        self._tokens += 1
        return f"token-{self._tokens}"

    async def read(self, key: str) -> PlatformObject | Failure:
        """Read an object."""
        self.reads += 1
        if self.down:
            return UNAVAILABLE
        return self.objects.get(key, PlatformObject(key, 0, {}))

    async def list(self, prefix: str) -> WatchResult | Failure:
        """Read all objects under a prefix."""
        if self.down:
            return UNAVAILABLE
        found = [o for key, o in self.objects.items() if key.startswith(prefix)]
        return WatchResult(self._revision, found)

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Make one conditional update, with the fault that is due."""
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
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Write twice at most, as the real client repeats a lost write."""
        marked = {**value, "token": value.get("token") or self.new_token()}
        for _ in range(2):
            result = await self.try_update(
                key, expected_version=expected_version, value=marked
            )
            if isinstance(result, Conflict):
                own = result.current.value.get("token") == marked["token"]
                return result.current if own else result
            if result:
                return result
        return result

    async def delete(self, key: str) -> bool:
        """Delete an object."""
        self.objects.pop(key, None)
        return True
