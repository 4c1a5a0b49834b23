"""Which gates a candidate hears from, so that it knows whether a cut parts it."""

import math
from collections.abc import Collection
from typing import NamedTuple

from burdockdock.clock import Clock

# A gate of a service in a rollout sends its results, or an empty message, more often.
MAX_SILENCE_S = 1.0
# Before a gate was heard from, it may have been cut off, and calls that began then may
# still end.
_SETTLE_S = 3.0


class _Heard(NamedTuple):
    """When a gate was last heard from, and from when on its results count."""

    last_s: float
    counts_from_s: float


class GateContact:
    """When the gates of one service were heard from."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: dict[str, _Heard] = {}

    def hear(self, node_id: str) -> None:
        """Record that a message of a gate has arrived."""
        now_s = self._clock.monotonic()
        known = self._heard.get(node_id)
        if known is None or now_s - known.last_s > MAX_SILENCE_S:
            self._heard[node_id] = _Heard(now_s, now_s + _SETTLE_S)
        else:
            self._heard[node_id] = known._replace(last_s=now_s)

    def counts(self, node_id: str) -> bool:
        """Return whether a gate was heard from without a long silence of late."""
        known = self._heard.get(node_id)
        return known is not None and self._clock.monotonic() >= known.counts_from_s

    def reached_until_s(
        self, node_ids: Collection[str], *, settled: bool = False
    ) -> float:
        """Return the latest time at which more than half of the gates were in touch.

        :param node_ids: ids of all gates of the service, also of those held for dead.
        :param settled: whether only gates are taken into account whose results count.
        :returns: monotonic seconds; negative infinity if that was never so, and if
            only one gate is known: a node that nobody reaches knows only its own.
        """
        if len(node_ids) < 2:
            return -math.inf
        heard = [i for i in node_ids if not settled or self.counts(i)]
        last_s = [self._heard[i].last_s for i in heard if i in self._heard]
        last_s.sort(reverse=True)
        middle = len(node_ids) // 2
        return last_s[middle] if middle < len(last_s) else -math.inf
