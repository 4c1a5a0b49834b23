"""Admission to a fixed number of slots with a short queue by deadline."""

import asyncio
import itertools
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict

# Requests waiting in time, for each slot, that take up what would be left for others.
_ENOUGH_IN_TIME = 0.1


class _Waiter(NamedTuple):
    """A queued request; ordered by class, workspace's use, then deadline.

    :param target_s: when it must start for an answer of full value.
    """

    priority: int
    workspace_load: int
    deadline_s: float
    sequence: int
    workspace: str
    future: "asyncio.Future[Failure | None]"
    target_s: float


class SlotLimiter:
    """Hands out a number of slots, first to the workspace that holds the fewest.

    The reason ``tenant_queue_full`` keeps the outer name of a workspace.

    :param slots: requests that may run at a time.
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
        """Requests that may run at a time."""
        return self._slots

    @property
    def in_use(self) -> int:
        """Requests that hold a slot."""
        return self._in_use

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiters)

    def ahead_of(self, priority: int) -> int:
        """Return how many releases a new request of a priority would wait for."""
        waiting = sum(w.priority <= priority for w in self._waiters)
        free = self._slots - self._in_use
        return max(0, waiting + 1 - free)

    def resize(self, slots: int) -> None:
        """Change the number of slots; those in use are never taken away."""
        self._slots = max(1, slots)
        self._hand_out()

    async def acquire(
        self,
        *,
        workspace: str,
        deadline_s: float,
        priority: int = 0,
        queue_length: int = 32,
        target_s: float = float("inf"),
    ) -> Failure | None:
        """Wait for a slot until the deadline.

        Requests that can't start by their target any more go last, and are refused
        once enough others wait that still can.

        :param priority: lower goes first.
        :param queue_length: requests that may wait at a time; 0 to take a free slot
            or none.
        :param deadline_s: monotonic seconds.
        :param target_s: when it must start for an answer of full value, in monotonic
            seconds.
        :returns: None with a slot held, else the refusal.
        """
        if self._in_use < self._slots and not self._waiters:
            self._take(workspace)
            return None
        if not queue_length:
            return Failure(Verdict.NOT_RUN, "queue_full")
        refusal = self._refuse_queueing(workspace, queue_length)
        if refusal is not None:
            return refusal
        return await self._wait(workspace, deadline_s, priority, target_s)

    def release(self, workspace: str) -> None:
        """Give a slot back."""
        self._in_use -= 1
        left = self._workspace_in_use.get(workspace, 0) - 1
        if left > 0:
            self._workspace_in_use[workspace] = left
        else:
            self._workspace_in_use.pop(workspace, None)
        self._hand_out()

    def _refuse_queueing(self, workspace: str, queue_length: int) -> Failure | None:
        """Refuse when the queue is full or the workspace has its share of it."""
        waiting = self._workspace_waiting.get(workspace, 0)
        others = len(self._workspace_waiting) - (workspace in self._workspace_waiting)
        if others and waiting * (others + 1) >= queue_length:
            return Failure(Verdict.NOT_RUN, "tenant_queue_full")
        if len(self._waiters) < queue_length or self._make_room(waiting):
            return None
        return Failure(Verdict.NOT_RUN, "queue_full")

    def _make_room(self, waiting: int) -> bool:
        """Refuse the last request of the workspace that waits most, if that is fair.

        :param waiting: requests of the arriving request's workspace that wait.
        """
        most = max(
            self._workspace_waiting, key=self._workspace_waiting.get, default=None
        )
        if most is None or self._workspace_waiting[most] <= waiting + 1:
            return False
        last = max(w for w in self._waiters if w.workspace == most)
        self._forget(last)
        if not last.future.done():
            last.future.set_result(Failure(Verdict.NOT_RUN, "tenant_queue_full"))
        return True

    async def _wait(
        self, workspace: str, deadline_s: float, priority: int, target_s: float
    ) -> Failure | None:
        future: asyncio.Future[Failure | None]
        future = asyncio.get_running_loop().create_future()
        load = self._workspace_in_use.get(workspace, 0) + self._workspace_waiting.get(
            workspace, 0
        )
        waiter = _Waiter(
            priority,
            load,
            deadline_s,
            next(self._sequence),
            workspace,
            future,
            target_s,
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
                self._forget(waiter)
                return Failure(Verdict.NOT_RUN, "queue_timeout")
        except asyncio.CancelledError:
            if _was_granted(future):
                self.release(workspace)
            else:
                self._forget(waiter)
            raise
        return None

    def _forget(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._leave_queue(waiter.workspace)

    def _hand_out(self) -> None:
        while self._waiters and self._in_use < self._slots:
            now_s = self._clock.monotonic()
            waiter = min(self._waiters, key=lambda w: (w.target_s < now_s, w))
            self._forget(waiter)
            if waiter.future.done():
                continue
            self._take(waiter.workspace)
            waiter.future.set_result(None)
            self._refuse_late(now_s)

    def _refuse_late(self, now_s: float) -> None:
        """Refuse those past their target when enough others wait that are not."""
        late = [w for w in self._waiters if w.target_s < now_s]
        if len(self._waiters) - len(late) < self._slots * _ENOUGH_IN_TIME:
            return
        for waiter in late:
            self._forget(waiter)
            if not waiter.future.done():
                waiter.future.set_result(Failure(Verdict.NOT_RUN, "too_late_to_wait"))

    def _take(self, workspace: str) -> None:
        self._in_use += 1
        self._workspace_in_use[workspace] = self._workspace_in_use.get(workspace, 0) + 1

    def _leave_queue(self, workspace: str) -> None:
        left = self._workspace_waiting.get(workspace, 0) - 1
        if left > 0:
            self._workspace_waiting[workspace] = left
        else:
            self._workspace_waiting.pop(workspace, None)


def _was_granted(future: "asyncio.Future[Failure | None]") -> bool:
    return future.done() and not future.cancelled() and future.result() is None
