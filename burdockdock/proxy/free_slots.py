"""Estimates whether it is worth asking other gates for a free slot before queueing.

While a service is saturated, nearly every gate that is asked refuses. Each attempt
then costs both nodes processor time that the calls need, and delays the refusal.
"""

from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict

# Reason of a gate without a free slot, or with a full queue if the call may wait.
QUEUE_FULL = "queue_full"
# Gates that are asked for a free slot before the call queues at one of them.
MAX_FREE_SLOT_ATTEMPTS = 3
# Gates that are asked after the call has queued and got no slot.
MAX_FREE_SLOT_ATTEMPTS_AFTER_WAIT = 2
# Gates of other zones that are asked where a zone crossing has a cost. The request's
# bytes cross with each of them.
MAX_CROSSING_ASKS = 2
_MIN_WORTHWHILE_ODDS = 0.15
_SMOOTHING_FACTOR = 0.2
# Without new answers the odds rise again, so that free slots are found soon.
_HALF_LIFE_S = 1.0


class _Odds(NamedTuple):
    share_free: float
    updated_at_s: float


class FreeSlotOdds:
    """Moving share of the gates of each service that had a free slot when asked."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._odds: dict[str, _Odds] = {}

    def record(self, service: str, *, found: bool) -> None:
        """Record whether a gate that was asked had a free slot."""
        share = self._share_free(service)
        share += _SMOOTHING_FACTOR * (float(found) - share)
        self._odds[service] = _Odds(share, self._clock.monotonic())

    def record_result(self, service: str, result: object) -> None:
        """Record the result of an attempt that asked a gate for a free slot.

        Refusals for another reason don't tell whether it had one.
        """
        is_refused = isinstance(result, Failure) and result.verdict is Verdict.NOT_RUN
        if not is_refused or result.reason == QUEUE_FULL:
            self.record(service, found=not is_refused)

    def is_worth_asking(self, service: str) -> bool:
        """Return whether gates are likely enough to have a free slot."""
        return self._share_free(service) >= _MIN_WORTHWHILE_ODDS

    def _share_free(self, service: str) -> float:
        odds = self._odds.get(service)
        if odds is None:
            return 1.0
        age_s = self._clock.monotonic() - odds.updated_at_s
        return 1.0 - (1.0 - odds.share_free) * 0.5 ** (age_s / _HALF_LIFE_S)
