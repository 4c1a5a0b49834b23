"""Queue of the peers from which a node fetches missing state."""

import asyncio
import contextlib
import math
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.coordination.backoff import full_jitter
from burdockdock.overlay.datagrams import Address

# The next peer is asked in parallel once a fetch has received nothing for
# _STALLED_AFTER_S, or has not completed after _SLOW_AFTER_S.
_STALLED_AFTER_S = 0.3
_SLOW_AFTER_S = 1.0
_MAX_ACTIVE_FETCHES = 3
_MAX_QUEUED_SOURCES = 16
_BACKOFF_BASE_S = 0.2
_BACKOFF_CAP_S = 2.0


class Source(NamedTuple):
    """A peer that may have state that this node lacks.

    :param cause: what triggered the fetch, for the logs.
    :param is_needed: returns whether this node still needs the fetch.
    :param run_to_completion: whether a running fetch continues when it is no longer
        needed, for example because it also sends state to the peer.
    """

    address: Address
    cause: str
    is_needed: Callable[[], bool]
    run_to_completion: bool = False


class FetchQueue:
    """Fetches from one peer at a time, and from further peers while one stalls.

    Several peers often offer the same state. Fetches that are no longer needed after
    another one has completed are dropped.

    :param fetch: exchanges state with a source; must not raise.
    :param received_bytes: returns the number of bytes received so far by the fetch from
        an address.
    :param find_source: returns another source while an advertised version is missing
        on this node, None if nothing is missing.
    """

    def __init__(
        self,
        *,
        fetch: Callable[[Source], Awaitable[object]],
        received_bytes: Callable[[Address], int],
        find_source: Callable[[], Source | None],
        rng: random.Random,
    ) -> None:
        self._fetch = fetch
        self._received_bytes = received_bytes
        self._find_source = find_source
        self._rng = rng
        self._queued: OrderedDict[Address, Source] = OrderedDict()
        self._active: dict[Address, tuple[Source, asyncio.Future[object]]] = {}
        self._runner: asyncio.Task[None] | None = None
        self._source_added = asyncio.Event()
        self._closed = False

    def add(self, source: Source) -> None:
        """Queue a source ahead of the others, unless a fetch from it is active."""
        if self._closed or source.address in self._active:
            return
        self._source_added.set()
        self._queued[source.address] = source
        self._queued.move_to_end(source.address)
        if len(self._queued) > _MAX_QUEUED_SOURCES:
            self._queued.popitem(last=False)
        if self._runner is None or self._runner.done():
            self._runner = asyncio.create_task(self._run())

    def close(self) -> None:
        """Cancel all active fetches and drop the queued sources."""
        self._closed = True
        self._queued.clear()
        if self._runner is not None:
            self._runner.cancel()
        for _, task in self._active.values():
            task.cancel()

    async def _run(self) -> None:
        """Fetch until no source is queued or active and nothing is missing."""
        idle_rounds = 0
        while True:
            source = self._next_needed()
            if source is not None and len(self._active) < _MAX_ACTIVE_FETCHES:
                await self._fetch_until_stalled(source)
            elif self._active:
                self._requeue(source)
                await self._wait_for_any(timeout_s=_STALLED_AFTER_S)
            else:
                await self._back_off(idle_rounds)
                idle_rounds += 1
                if not self._queued and not self._queue_found_source():
                    return
            self._cancel_unneeded()

    def _queue_found_source(self) -> bool:
        """Queue a source found by this node; return whether there was one."""
        source = self._find_source()
        if source is not None:
            self._queued[source.address] = source
        return source is not None

    def _next_needed(self) -> Source | None:
        while self._queued:
            _, source = self._queued.popitem()
            if source.address not in self._active and source.is_needed():
                return source
        return None

    def _requeue(self, source: Source | None) -> None:
        if source is not None:
            self._queued[source.address] = source

    async def _fetch_until_stalled(self, source: Source) -> None:
        """Start a fetch; return when it ends, stalls or proves to be slow."""
        address = source.address
        task = asyncio.ensure_future(self._fetch(source))
        self._active[address] = (source, task)
        task.add_done_callback(lambda _: self._active.pop(address, None))
        received_bytes = -1
        for _ in range(math.ceil(_SLOW_AFTER_S / _STALLED_AFTER_S)):
            if task.done() or received_bytes == self._received_bytes(address):
                return
            received_bytes = self._received_bytes(address)
            await asyncio.wait({task}, timeout=_STALLED_AFTER_S)

    async def _wait_for_any(self, *, timeout_s: float) -> None:
        tasks = [task for _, task in self._active.values()]
        await asyncio.wait(
            tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )

    async def _back_off(self, idle_rounds: int) -> None:
        """Wait before asking an arbitrary peer, which may not have the state either.

        Adding a source ends the wait.
        """
        if self._find_source() is None:
            return
        self._source_added.clear()
        delay_s = full_jitter(
            idle_rounds,
            base_s=_BACKOFF_BASE_S,
            cap_s=_BACKOFF_CAP_S,
            rng=self._rng,
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._source_added.wait()

    def _cancel_unneeded(self) -> None:
        """Cancel fetches whose state has arrived from another peer."""
        for source, task in list(self._active.values()):
            if not source.run_to_completion and not source.is_needed():
                task.cancel()
