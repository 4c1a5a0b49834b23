"""Sequential statistical tests of the event rate of a new version.

An event is a failed or a slow call. Under the null hypothesis that both versions have
the same event rate, an event comes from the new version with a probability equal to
that version's share of the calls. The likelihood ratio against a mixture of higher odds
is then a martingale, and the probability that it ever exceeds ``1 / alpha`` is at most
``alpha`` (Ville's inequality; A. Wald, Sequential Tests of Statistical Hypotheses,
1945). The event rate of the old version need not be known, and a disturbance that
affects both versions equally adds no evidence against the new one.
"""

import math
from typing import NamedTuple

_ODDS_RATIOS = (3.0, 10.0, 50.0)
_MIN_BATCH_CALLS = 20
# A batch with this many calls of the old version and none of the new one is discarded,
# because its calls are too old to compare with.
_MAX_OLD_ONLY_CALLS = 400


class Counts(NamedTuple):
    """Calls and events of one interval.

    :param calls: number of calls with a result.
    :param events: number of these calls that failed or were slow.
    """

    calls: int = 0
    events: int = 0


def _add_counts(first: Counts, second: Counts) -> Counts:
    return Counts(first.calls + second.calls, first.events + second.events)


class ComparisonTest:
    """Accumulates evidence that a new version has more events than the old one."""

    def __init__(self) -> None:
        self._log_ratios = [0.0] * len(_ODDS_RATIOS)
        self._new = Counts()
        self._old = Counts()

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the mixture likelihood ratio against the new version."""
        largest = max(self._log_ratios)
        total = sum(math.exp(value - largest) for value in self._log_ratios)
        return largest + math.log(total / len(self._log_ratios))

    def update(self, *, new: Counts, old: Counts) -> None:
        """Add the counts of both versions for the same interval.

        Intervals are combined into a batch until it has enough calls, with some of
        both versions.
        """
        self._new = _add_counts(self._new, new)
        self._old = _add_counts(self._old, old)
        if not self._new.calls and self._old.calls >= _MAX_OLD_ONLY_CALLS:
            self._old = Counts()
        enough = self._new.calls + self._old.calls >= _MIN_BATCH_CALLS
        if enough and self._new.calls and self._old.calls:
            self._apply_batch(self._new, self._old)
            self._new = self._old = Counts()

    def _apply_batch(self, new: Counts, old: Counts) -> None:
        share = new.calls / (new.calls + old.calls)
        for i, odds in enumerate(_ODDS_RATIOS):
            new_probability = odds * share / (odds * share + 1 - share)
            self._log_ratios[i] += new.events * math.log(new_probability / share)
            self._log_ratios[i] += old.events * math.log(
                (1 - new_probability) / (1 - share)
            )

    def rejects(self, *, alpha: float) -> bool:
        """Return whether equal event rates are rejected at significance level alpha."""
        return self.log_evidence >= math.log(1 / alpha)


class RateTest:
    """Wald's sequential test of one version's event rate against known bounds."""

    def __init__(self) -> None:
        self._log_ratio = 0.0

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the likelihood ratio for the rejected rate."""
        return self._log_ratio

    def update(
        self, counts: Counts, *, accepted_rate: float, rejected_rate: float
    ) -> None:
        """Add the counts of one interval.

        The log likelihood ratio is kept from falling below 0, so that a long period
        without faults can't offset later ones.

        :param accepted_rate: acceptable event rate, between 0 and 1.
        :param rejected_rate: unacceptable event rate, larger than the accepted one.
        """
        non_events = counts.calls - counts.events
        log_ratio_change = counts.events * math.log(rejected_rate / accepted_rate)
        log_ratio_change += non_events * math.log(
            (1 - rejected_rate) / (1 - accepted_rate)
        )
        self._log_ratio = max(0.0, self._log_ratio + log_ratio_change)

    def rejects(self, *, alpha: float) -> bool:
        """Return whether the likelihood ratio reaches ``1 / alpha``."""
        return self._log_ratio >= math.log(1 / alpha)
