"""The work that a gate still has to do for the requests that it runs and has queued."""

import itertools
from typing import NamedTuple

from burdockdock.clock import Clock

# A request that ran longer than it was expected to goes on for a while.
_MIN_SHARE = 0.1


class _Running(NamedTuple):
    cost_s: float
    started_s: float


class RemainingWork:
    """Sums up expected costs less the time that requests have run."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count()
        self._queued: dict[int, float] = {}
        self._queued_s = 0.0
        self._running: dict[int, _Running] = {}

    def add(self, cost_s: float) -> int:
        """Add a request that waits for a slot.

        :param cost_s: the seconds for which it is expected to hold the slot.
        :returns: its number.
        """
        number = next(self._numbers)
        self._queued[number] = cost_s
        self._queued_s += cost_s
        return number

    def start(self, number: int) -> None:
        """Note that a request got its slot."""
        cost_s = self._unqueue(number)
        self._running[number] = _Running(cost_s, self._clock.monotonic())

    def end(self, number: int) -> None:
        """Remove a request that ended, or that was refused."""
        if number in self._queued:
            self._unqueue(number)
        self._running.pop(number, None)

    def total_s(self) -> float:
        """Return the expected seconds of a slot that all requests still need."""
        now_s = self._clock.monotonic()
        running_s = sum(
            max(cost_s * _MIN_SHARE, cost_s - (now_s - started_s))
            for cost_s, started_s in self._running.values()
        )
        return running_s + self._queued_s

    def _unqueue(self, number: int) -> float:
        cost_s = self._queued.pop(number)
        # Differences of floats add up; an empty queue is the point to drop them.
        self._queued_s = self._queued_s - cost_s if self._queued else 0.0
        return cost_s
