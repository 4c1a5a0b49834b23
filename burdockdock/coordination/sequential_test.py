"""Sequential comparison of a new version's events with the old one's.

Under the hypothesis that both versions are alike, an event (a failed or a slow
call) comes from the new version with the probability of its share of the calls.
The likelihood ratio against a mixture of higher odds is then a martingale, and it
exceeds ``1 / alpha`` at any time with a probability of at most ``alpha``
(Ville's inequality; A. Wald, Sequential Tests of Statistical Hypotheses, 1945).
The rate of the old version need not be known, and a disturbance that hits both
versions alike says nothing against the new one.
"""

import math
from typing import NamedTuple

_ODDS_RATIOS = (3.0, 10.0, 50.0)
_MIN_BATCH_CALLS = 20
# Calls of the old version alone that are too old to compare with.
_MAX_BATCH_CALLS = 400


class Counts(NamedTuple):
    """Calls and events of one interval.

    :param calls: calls that gave a result.
    :param events: those of them that count against the version.
    """

    calls: int = 0
    events: int = 0


def _sum(first: Counts, second: Counts) -> Counts:
    return Counts(first.calls + second.calls, first.events + second.events)


class ComparisonTest:
    """Accumulates evidence that a new version has more events than the old one."""

    def __init__(self) -> None:
        self._log_ratios = [0.0] * len(_ODDS_RATIOS)
        self._new = Counts()
        self._old = Counts()

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the evidence against the new version."""
        largest = max(self._log_ratios)
        total = sum(math.exp(value - largest) for value in self._log_ratios)
        return largest + math.log(total / len(self._log_ratios))

    def update(self, *, new: Counts, old: Counts) -> None:
        """Add the counts of one interval, observed at the same time.

        Intervals are put together until they hold calls of both versions.
        """
        self._new = _sum(self._new, new)
        self._old = _sum(self._old, old)
        if not self._new.calls and self._old.calls >= _MAX_BATCH_CALLS:
            self._old = Counts()
        enough = self._new.calls + self._old.calls >= _MIN_BATCH_CALLS
        if enough and self._new.calls and self._old.calls:
            self._add(self._new, self._old)
            self._new = self._old = Counts()

    def _add(self, new: Counts, old: Counts) -> None:
        share = new.calls / (new.calls + old.calls)
        for i, odds in enumerate(_ODDS_RATIOS):
            from_new = odds * share / (odds * share + 1 - share)
            self._log_ratios[i] += new.events * math.log(from_new / share)
            self._log_ratios[i] += old.events * math.log((1 - from_new) / (1 - share))

    def rejects(self, *, alpha: float) -> bool:
        """Tell whether the versions are alike only with odds below alpha."""
        return self.log_evidence >= math.log(1 / alpha)


class RateTest:
    """Wald's test of one version's event rate against bounds known beforehand."""

    def __init__(self) -> None:
        self._log_ratio = 0.0

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the evidence that the rate is bad."""
        return self._log_ratio

    def update(
        self, counts: Counts, *, accepted_rate: float, rejected_rate: float
    ) -> None:
        """Add counts; good runs can't save up credit against later faults.

        :param accepted_rate: rate that is still good, between 0 and 1.
        :param rejected_rate: rate that is bad, larger than the accepted one.
        """
        good = counts.calls - counts.events
        step = counts.events * math.log(rejected_rate / accepted_rate)
        step += good * math.log((1 - rejected_rate) / (1 - accepted_rate))
        self._log_ratio = max(0.0, self._log_ratio + step)

    def rejects(self, *, alpha: float) -> bool:
        """Tell whether the evidence reaches ``1 / alpha``."""
        return self._log_ratio >= math.log(1 / alpha)
