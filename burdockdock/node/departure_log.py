"""Keeps on the platform which backend servers left, for the node's next process."""

import asyncio
import random

from burdockdock.coordination.backoff import full_jitter
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.node.announcements import BackendWatch
from burdockdock.node.departures import Departures
from burdockdock.platform_api.client import Conflict, PlatformClient, PlatformObject

_KEY_PREFIX = "departures/"
# Part of the second for which a backend server waits for its acknowledgement.
_SAVE_WAIT_S = 0.5
# Departures that a store lost are written again by all nodes within this time.
_MAX_SAVE_AGAIN_DELAY_S = 1.0
_RETRY_BASE_S = 0.5
_RETRY_CAP_S = 8.0


class DepartureLog:
    """Reads a node's departures at its start and writes each later one.

    :param watch: is told the departures of the process before.
    """

    def __init__(
        self,
        platform: PlatformClient,
        *,
        node_id: str,
        departures: Departures,
        watch: BackendWatch,
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._key = _KEY_PREFIX + node_id
        self._departures = departures
        self._watch = watch
        self._rng = rng
        self._version = 0
        self._changed = asyncio.Event()
        self._saved = asyncio.Event()
        self._saved.set()

    def request_save(self) -> None:
        """Write the departures soon."""
        self._saved.clear()
        self._changed.set()

    def save_again(self) -> None:
        """Write the departures again soon, if there are any: the store lost them."""
        if self._departures.to_value()["departures"]:
            delay_s = self._rng.uniform(0, _MAX_SAVE_AGAIN_DELAY_S)
            asyncio.get_running_loop().call_later(delay_s, self.request_save)

    async def wait_saved(self) -> None:
        """Wait until all departures are written, but no longer than half a second.

        An acknowledgement that came too late would be worth nothing to the instance.
        """
        try:
            async with asyncio.timeout(_SAVE_WAIT_S):
                await self._saved.wait()
        except TimeoutError:
            log_event("backend.departure_not_saved", waited_s=_SAVE_WAIT_S)

    async def run(self) -> None:
        """Read the departures, then write each change; runs until cancelled."""
        await self._load()
        while True:
            await self._changed.wait()
            await self._save()

    async def _load(self) -> None:
        attempt = 0
        while isinstance(found := await self._platform.read(self._key), Failure):
            self._watch.history_unreadable()
            await self._pause(attempt)
            attempt += 1
        self._take(found)
        self._watch.history_known()

    async def _save(self) -> None:
        attempt = 0
        while True:
            self._changed.clear()
            result = await self._platform.update(
                self._key,
                expected_version=self._version,
                value=self._departures.to_value(),
            )
            if isinstance(result, PlatformObject):
                break
            if isinstance(result, Conflict):
                self._take(result.current)
                continue
            log_event("backend.departure_write_failed", reason=result.reason)
            await self._pause(attempt)
            attempt += 1
        self._version = result.version
        if not self._changed.is_set():
            self._saved.set()

    def _take(self, found: PlatformObject) -> None:
        self._version = found.version
        self._departures.merge_value(found.value)

    async def _pause(self, attempt: int) -> None:
        delay_s = full_jitter(
            attempt, base_s=_RETRY_BASE_S, cap_s=_RETRY_CAP_S, rng=self._rng
        )
        await asyncio.sleep(delay_s)
