"""Model of a gate with its backend server, in virtual time and without a network."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.work_tracker import (
    ExpectedWork,
    WorkTracker,
    yields_until_s,
)
from burdockdock.protocol.calls import CallRequest, GateResults

SLOTS = 3
_QUEUE_LENGTH = 32
_SMOOTHING_FACTOR = 0.1


class GateSettings(Protocol):
    """What a gate needs of the replay.

    :param reports_work: whether gates report their remaining work.
    :param tells_long: whether gates treat long requests in their own way.
    """

    clock: ManualClock
    reports_work: bool
    tells_long: bool

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        ...


class GateAttempt(NamedTuple):
    """An attempt at a gate."""

    done: Callable[[Failure | None], None]
    service_s: float
    request: CallRequest
    deadline_s: float
    target_s: float


class ModelledGate:
    """A modelled gate with its backend server."""

    def __init__(self, replay: GateSettings, member: Member, mean_s: float) -> None:
        self.replay = replay
        self.member = member
        self.mean_s = mean_s
        self.learned_s = mean_s
        self.running = 0
        self.queue: deque[GateAttempt] = deque()
        self.work = WorkTracker(clock=replay.clock)
        self.expected: dict[GateAttempt, ExpectedWork] = {}
        self.yields_until_s: dict[GateAttempt, float] = {}

    def results(self) -> GateResults:
        """Return what the gate reports."""
        remaining_s = self.work.remaining_s() if self.replay.reports_work else 0.0
        return GateResults(self.learned_s, 0.0, remaining_s)

    @property
    def load(self) -> int:
        """Calls running and queued."""
        return self.running + len(self.queue)

    def arrive(self, attempt: GateAttempt, *, may_wait: bool) -> None:
        """Run, queue or refuse an attempt."""
        now_s = self.replay.clock.monotonic()
        work = self.work.add(attempt.request)
        self.expected[attempt] = work
        if self.running < SLOTS:
            self._start(attempt)
            return
        if not may_wait or len(self.queue) >= _QUEUE_LENGTH:
            self._refuse(attempt, "queue_full")
            return
        wait_s = (len(self.queue) + 1) * self.learned_s / SLOTS
        if now_s + wait_s + 1.2 * self.learned_s > attempt.deadline_s:
            self._refuse(attempt, "too_little_time")
            return
        self.yields_until_s[attempt] = yields_until_s(
            work,
            now_s=now_s,
            latest_start_s=attempt.deadline_s - 1.2 * self.learned_s,
            target_s=attempt.target_s - self.learned_s,
        )
        self.queue.append(attempt)

    def _refuse(self, attempt: GateAttempt, reason: str) -> None:
        self.work.end(self.expected.pop(attempt))
        attempt.done(Failure(Verdict.NOT_RUN, reason))

    def _order(self, attempt: GateAttempt) -> tuple[bool, bool]:
        """Return what goes before the order of arrival."""
        now_s = self.replay.clock.monotonic()
        yields = self.replay.tells_long and now_s < self.yields_until_s[attempt]
        return attempt.target_s <= now_s + self.learned_s, yields

    def _start(self, attempt: GateAttempt) -> None:
        self.running += 1
        self.work.start(self.expected[attempt])
        service_s = attempt.service_s * self.mean_s
        self.replay.after(service_s, lambda: self._end(attempt, service_s))

    def _end(self, attempt: GateAttempt, service_s: float) -> None:
        self.learned_s += _SMOOTHING_FACTOR * (service_s - self.learned_s)
        self.work.record(attempt.request, service_s)
        attempt.done(None)
        self.work.end(self.expected.pop(attempt))
        self.running -= 1
        now_s = self.replay.clock.monotonic()
        while self.queue and self.running < SLOTS:
            chosen = min(self.queue, key=self._order)
            self.queue.remove(chosen)
            del self.yields_until_s[chosen]
            if now_s + 1.2 * self.learned_s > chosen.deadline_s:
                self._refuse(chosen, "queue_timeout")
                continue
            self._start(chosen)
