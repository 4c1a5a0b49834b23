"""Which peers are asked for what this node lacks, and when the next one is."""

import asyncio
import contextlib
import math
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.coordination.backoff import full_jitter
from burdockdock.overlay.datagrams import Address

# A peer that brought nothing for this long is not waited for alone, nor one that has
# not brought all after the longer time.
_STALLED_S = 0.3
_SLOW_S = 1.0
_MOST_ACTIVE = 3
_MOST_QUEUED = 16
_NEXT_ROUND_BASE_S = 0.2
_NEXT_ROUND_CAP_S = 2.0


class Source(NamedTuple):
    """A peer that may have what this node lacks.

    :param cause: what told of it, for the logs.
    :param is_wanted: tells whether this node still lacks it.
    :param to_its_end: whether a fetch that began goes on though nothing lacks any more,
        such as one that tells the peer something too.
    """

    address: Address
    cause: str
    is_wanted: Callable[[], bool]
    to_its_end: bool = False


class FetchQueue:
    """Asks one peer after the other, and the next beside one that stalls.

    What a fetch brings is often what the others would have brought too; those are
    dropped then.

    :param fetch: exchanges state with a source, and raises nothing.
    :param received_bytes: returns the bytes that the fetch from an address brought.
    :param find_source: returns another source while this node lacks something that
        it has heard of, None when it lacks nothing.
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
        self._added = asyncio.Event()
        self._closed = False

    def add(self, source: Source) -> None:
        """Queue a source, the newest first; one that is being asked stays so."""
        if self._closed or source.address in self._active:
            return
        self._added.set()
        self._queued[source.address] = source
        self._queued.move_to_end(source.address)
        if len(self._queued) > _MOST_QUEUED:
            self._queued.popitem(last=False)
        if self._runner is None or self._runner.done():
            self._runner = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop the fetches that are under way."""
        self._closed = True
        self._queued.clear()
        if self._runner is not None:
            self._runner.cancel()
        for _, task in self._active.values():
            task.cancel()

    async def _run(self) -> None:
        """Ask until nothing is queued, under way or lacking."""
        fruitless = 0
        while True:
            source = self._next_wanted()
            if source is not None and len(self._active) < _MOST_ACTIVE:
                await self._ask(source)
            elif self._active:
                self._put_back(source)
                await self._wait_for_any(timeout_s=_STALLED_S)
            else:
                await self._pause(fruitless)
                fruitless += 1
                if not self._queued and not self._queue_another():
                    return
            self._drop_unwanted()

    def _queue_another(self) -> bool:
        """Queue somebody to ask while this node lacks something."""
        source = self._find_source()
        if source is not None:
            self._queued[source.address] = source
        return source is not None

    def _next_wanted(self) -> Source | None:
        while self._queued:
            _, source = self._queued.popitem()
            if source.address not in self._active and source.is_wanted():
                return source
        return None

    def _put_back(self, source: Source | None) -> None:
        if source is not None:
            self._queued[source.address] = source

    async def _ask(self, source: Source) -> None:
        """Ask a source; return at its end, or when it stalls."""
        address = source.address
        task = asyncio.ensure_future(self._fetch(source))
        self._active[address] = (source, task)
        task.add_done_callback(lambda _: self._active.pop(address, None))
        received = -1
        for _ in range(math.ceil(_SLOW_S / _STALLED_S)):
            if task.done() or received == self._received_bytes(address):
                return
            received = self._received_bytes(address)
            await asyncio.wait({task}, timeout=_STALLED_S)

    async def _wait_for_any(self, *, timeout_s: float) -> None:
        tasks = [task for _, task in self._active.values()]
        await asyncio.wait(
            tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )

    async def _pause(self, fruitless: int) -> None:
        """Wait before somebody is asked who may know no more than the others.

        A source that is added ends the wait.
        """
        if self._find_source() is None:
            return
        self._added.clear()
        pause_s = full_jitter(
            fruitless,
            base_s=_NEXT_ROUND_BASE_S,
            cap_s=_NEXT_ROUND_CAP_S,
            rng=self._rng,
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._added.wait()

    def _drop_unwanted(self) -> None:
        """End the fetches of what another one has brought."""
        for source, task in list(self._active.values()):
            if not source.to_its_end and not source.is_wanted():
                task.cancel()
