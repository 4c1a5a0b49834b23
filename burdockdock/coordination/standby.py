"""Decides when a node does the work of others that have fallen silent.

Those who do the work say so at short intervals. A standby starts when it has heard none
of them for a while, the first by rank before the others, and stops when they are back.
That work is done twice meanwhile must be harmless. No I/O.
"""

from collections.abc import Set
from typing import NamedTuple

from burdockdock.clock import Clock

# Who was silent for longer is forgotten.
_MEMORY_S = 10.0


class StandbyTiming(NamedTuple):
    """Timing of standbys, in seconds.

    :param silence_s: silence after which the first standbys start.
    :param step_s: further silence after which the next ones start.
    :param standbys_per_step: how many start together; one of them may be lost as well.
    :param min_work_s: how long a standby works at least.
    """

    silence_s: float = 0.8
    step_s: float = 0.15
    standbys_per_step: int = 3
    min_work_s: float = 3.0


class Standby:
    """Whether this node works in place of others that are silent."""

    def __init__(self, *, clock: Clock, timing: StandbyTiming | None = None) -> None:
        self._clock = clock
        self._timing = timing or StandbyTiming()
        self._heard_s: dict[str, float] = {}
        self._counted_from_s = clock.monotonic()
        self._active_since_s: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether this node does the work."""
        return self._active_since_s is not None

    @property
    def silence_s(self) -> float:
        """Seconds since somebody who does the work was last heard."""
        last_s = max(self._heard_s.values(), default=0.0)
        return self._clock.monotonic() - max(self._counted_from_s, last_s)

    def note_heard(self, node_id: str) -> None:
        """Note that a node said that it does the work."""
        now_s = self._clock.monotonic()
        self._heard_s[node_id] = now_s
        for known, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > _MEMORY_S:
                del self._heard_s[known]

    def restart(self) -> None:
        """Count the silence from now on: this node itself may have been stopped."""
        self._counted_from_s = self._clock.monotonic()

    def wait_s(self, position: int) -> float:
        """Return how much longer the silence has to last until this node starts.

        :param position: rank of this node among the standbys, from 0.
        """
        steps = position // self._timing.standbys_per_step
        return self._timing.silence_s + steps * self._timing.step_s - self.silence_s

    def update(self, holders: Set[str], position: int | None) -> bool:
        """Start or stop to do the work.

        :param holders: node ids of those whose work it is.
        :param position: rank of this node among the standbys, None if it is none.
        :returns: whether this node started or stopped.
        """
        if self._active_since_s is None:
            if position is None or self.wait_s(position) > 0:
                return False
            self._active_since_s = self._clock.monotonic()
            return True
        if position is not None and not self._may_stop(holders):
            return False
        self._active_since_s = None
        return True

    def _may_stop(self, holders: Set[str]) -> bool:
        """Return whether one of those whose work it is was heard lately."""
        now_s = self._clock.monotonic()
        if now_s - self._active_since_s < self._timing.min_work_s:
            return False
        heard_from_s = now_s - self._timing.silence_s
        return any(self._heard_s.get(key, 0.0) > heard_from_s for key in holders)
