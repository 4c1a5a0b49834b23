"""Admission control with a limited number of slots and a short priority queue."""

import asyncio
import functools
import itertools
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict

# Requests past their target are refused once at least this many others per slot can
# still meet theirs, since those are served first.
_ON_TARGET_WAITERS_PER_SLOT = 0.1


class _Waiter(NamedTuple):
    """A queued request, ordered by priority, workspace load and deadline.

    :param priority: traffic class priority; lower values go first.
    :param workspace_load: slots held and requests queued by the workspace when this
        request was queued.
    :param deadline_s: deadline for getting a slot, in monotonic seconds.
    :param sequence: arrival number, which breaks ties.
    :param future: resolves to None when a slot is granted, otherwise to the refusal.
    :param target_s: latest start that meets the target latency, in monotonic seconds.
    :param recheck: returns why the request must not start any more, None if it may.
    :param yields_until_s: until when others of its priority go first, in monotonic
        seconds.
    """

    priority: int
    workspace_load: int
    deadline_s: float
    sequence: int
    workspace: str
    future: "asyncio.Future[Failure | None]"
    target_s: float
    recheck: Callable[[], Failure | None]
    yields_until_s: float


class SlotLimiter:
    """Grants a limited number of slots to queued requests.

    Requests that can still meet their target are served first, then the order is by
    priority, workspace load and deadline; long requests let others of their priority go
    first for a while.

    The workspace with the empty name stands for all requests that have none, such as
    those on public routes. As they come from many callers, it isn't held to the share
    of one: it may fill the queue, where it gives way to others like any workspace with
    more requests, and its load counts as if divided by the workspaces present.

    A workspace is still called ``tenant`` outside the process, hence the reason
    ``tenant_queue_full``.

    :param slots: maximum number of requests that run concurrently.
    """

    def __init__(self, *, slots: int, clock: Clock) -> None:
        self._slots = slots
        self._clock = clock
        self._in_use = 0
        self._waiters: list[_Waiter] = []
        self._sequence = itertools.count()
        self._workspace_in_use: dict[str, int] = {}
        self._workspace_waiting: dict[str, int] = {}

    @property
    def slots(self) -> int:
        """Maximum number of requests that run concurrently."""
        return self._slots

    @property
    def in_use(self) -> int:
        """Number of requests that hold a slot."""
        return self._in_use

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiters)

    def releases_until_slot(self, priority: int) -> int:
        """Return how many slots must be released before a new request gets one.

        This includes the release that frees a slot for the new request itself.

        :param priority: priority of the new request; lower values go first.
        """
        waiting = sum(w.priority <= priority for w in self._waiters)
        free = self._slots - self._in_use
        return max(0, waiting + 1 - free)

    def resize(self, slots: int) -> None:
        """Change the number of slots without revoking any that are in use."""
        self._slots = max(1, slots)
        self._grant_slots()

    async def acquire(
        self,
        *,
        workspace: str,
        deadline_s: float,
        priority: int = 0,
        queue_length: int = 32,
        target_s: float = float("inf"),
        recheck: Callable[[], Failure | None] = lambda: None,
        yields_until_s: float = float("-inf"),
    ) -> Failure | None:
        """Wait for a slot until the deadline.

        Requests that have missed their target are served last, and are refused once
        enough requests wait that can still meet theirs.

        :param deadline_s: deadline for getting a slot, in monotonic seconds.
        :param priority: lower values go first.
        :param queue_length: maximum number of waiting requests; with 0, the request
            gets a free slot at once or is refused.
        :param target_s: latest start that meets the target latency, in monotonic
            seconds.
        :param recheck: returns why the request must not start any more, None if it may;
            called by :meth:`recheck_queue`.
        :param yields_until_s: until when others of the same priority go first, in
            monotonic seconds.
        :returns: None once a slot is held, otherwise the refusal.
        """
        if self._in_use < self._slots and not self._waiters:
            self._occupy_slot(workspace)
            return None
        if not queue_length:
            return Failure(Verdict.NOT_RUN, "queue_full")
        refusal = self._make_queue_room(workspace, queue_length)
        if refusal is not None:
            return refusal
        return await self._wait(
            workspace, deadline_s, priority, target_s, recheck, yields_until_s
        )

    def release(self, workspace: str) -> None:
        """Release a slot that the workspace holds."""
        self._in_use -= 1
        left = self._workspace_in_use.get(workspace, 0) - 1
        if left > 0:
            self._workspace_in_use[workspace] = left
        else:
            self._workspace_in_use.pop(workspace, None)
        self._grant_slots()

    def refuse_waiting(self, refusal: Failure) -> None:
        """Refuse all queued requests."""
        for waiter in list(self._waiters):
            self._refuse(waiter, refusal)

    def recheck_queue(self) -> None:
        """Refuse the queued requests that must not start any more."""
        for waiter in list(self._waiters):
            refusal = waiter.recheck()
            if refusal is not None:
                self._refuse(waiter, refusal)

    def _refuse(self, waiter: _Waiter, refusal: Failure) -> None:
        self._remove_waiter(waiter)
        if not waiter.future.done():
            waiter.future.set_result(refusal)

    def _make_queue_room(self, workspace: str, queue_length: int) -> Failure | None:
        """Make room for one more request in the queue.

        If the queue is full, this may evict a request of another workspace.

        :returns: the refusal if the queue or the workspace's share of it is full.
        """
        waiting = self._workspace_waiting.get(workspace, 0)
        other_workspaces = len(self._workspace_waiting) - (
            workspace in self._workspace_waiting
        )
        has_share = bool(workspace and other_workspaces)
        if has_share and waiting * (other_workspaces + 1) >= queue_length:
            return Failure(Verdict.NOT_RUN, "tenant_queue_full")
        if len(self._waiters) < queue_length or self._evict_waiter(waiting):
            return None
        return Failure(Verdict.NOT_RUN, "queue_full")

    def _evict_waiter(self, own_waiting: int) -> bool:
        """Evict a request of the workspace with the most queued requests.

        The one that comes last by priority, workspace load and deadline is evicted.

        Nothing is evicted unless that workspace has at least two more requests queued
        than the new request's workspace.

        :param own_waiting: queued requests of the new request's workspace.
        :returns: whether a request was evicted.
        """
        busiest = max(
            self._workspace_waiting, key=self._workspace_waiting.get, default=None
        )
        if busiest is None or self._workspace_waiting[busiest] <= own_waiting + 1:
            return False
        last = max(w for w in self._waiters if w.workspace == busiest)
        self._remove_waiter(last)
        if not last.future.done():
            last.future.set_result(Failure(Verdict.NOT_RUN, "tenant_queue_full"))
        return True

    async def _wait(
        self,
        workspace: str,
        deadline_s: float,
        priority: int,
        target_s: float,
        recheck: Callable[[], Failure | None],
        yields_until_s: float,
    ) -> Failure | None:
        future: asyncio.Future[Failure | None]
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(
            priority,
            self._load(workspace),
            deadline_s,
            next(self._sequence),
            workspace,
            future,
            target_s,
            recheck,
            yields_until_s,
        )
        self._waiters.append(waiter)
        self._workspace_waiting[workspace] = (
            self._workspace_waiting.get(workspace, 0) + 1
        )
        try:
            async with asyncio.timeout(deadline_s - self._clock.monotonic()):
                return await future
        except TimeoutError:
            if not _was_granted(future):
                self._remove_waiter(waiter)
                return Failure(Verdict.NOT_RUN, "queue_timeout")
        except asyncio.CancelledError:
            if _was_granted(future):
                self.release(workspace)
            else:
                self._remove_waiter(waiter)
            raise
        return None

    def _load(self, workspace: str) -> int:
        """Return the load of a workspace by which its requests are ordered."""
        load = self._workspace_in_use.get(workspace, 0)
        load += self._workspace_waiting.get(workspace, 0)
        if workspace:
            return load
        others = {*self._workspace_in_use, *self._workspace_waiting, ""}
        return load // len(others)

    def _remove_waiter(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._decrement_waiting(waiter.workspace)

    def _grant_slots(self) -> None:
        while self._waiters and self._in_use < self._slots:
            now_s = self._clock.monotonic()
            waiter = min(self._waiters, key=functools.partial(_order, now_s))
            self._remove_waiter(waiter)
            if waiter.future.done():
                continue
            self._occupy_slot(waiter.workspace)
            waiter.future.set_result(None)
            self._refuse_late(now_s)

    def _refuse_late(self, now_s: float) -> None:
        """Refuse requests past their target if enough others can still meet theirs."""
        late = [w for w in self._waiters if w.target_s < now_s]
        if len(self._waiters) - len(late) < self._slots * _ON_TARGET_WAITERS_PER_SLOT:
            return
        for waiter in late:
            self._remove_waiter(waiter)
            if not waiter.future.done():
                waiter.future.set_result(Failure(Verdict.NOT_RUN, "too_late_to_wait"))

    def _occupy_slot(self, workspace: str) -> None:
        self._in_use += 1
        self._workspace_in_use[workspace] = self._workspace_in_use.get(workspace, 0) + 1

    def _decrement_waiting(self, workspace: str) -> None:
        left = self._workspace_waiting.get(workspace, 0) - 1
        if left > 0:
            self._workspace_waiting[workspace] = left
        else:
            self._workspace_waiting.pop(workspace, None)


def _order(now_s: float, waiter: _Waiter) -> tuple[bool, int, bool, _Waiter]:
    yields = now_s < waiter.yields_until_s
    return waiter.target_s < now_s, waiter.priority, yields, waiter


def _was_granted(future: "asyncio.Future[Failure | None]") -> bool:
    return future.done() and not future.cancelled() and future.result() is None
