"""Detects faults of a new version by comparing its results with the old version's."""

from collections import defaultdict
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from burdockdock.coordination.sequential_test import (
    ComparisonTest,
    Counts,
    RateTest,
)
from burdockdock.rollout.evidence import EvidenceKey, EvidenceRow, bucket_lower_bound_us

# Highest latency that the histogram has to cover: 10 minutes.
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_SLOW_PERCENTILE = 95
_MIN_OLD_LATENCIES = 100
# Up to a tenth above the old version's slow percentile is noise, not a fault.
_SLOW_TOLERANCE = 1.1
_MIN_ACCEPTED_FAILURE_RATE = 0.005
# With fewer calls to the old version, its failure rate is computed as if there were
# this many.
_OLD_CALLS_FLOOR = 200
# A failure rate of up to the first multiple of the old version's is accepted. The
# second multiple of the accepted rate is rejected.
_ACCEPTED_TO_OLD_RATE_RATIO = 3
_REJECTED_TO_ACCEPTED_RATE_RATIO = 8
_MAX_REJECTED_FAILURE_RATE = 0.9
# Consecutive calls to the new version without any to the old one, after which the new
# version is tested by its own rate of slow calls. Without a comparison, a slow machine
# looks like a slow version, so this test rejects only gross slowness. The comparison
# will have found smaller slowdowns by then.
_MAX_UNPAIRED_CALLS = 200
_ACCEPTED_SLOW_RATE = 0.3
_REJECTED_SLOW_RATE = 0.7


class Judgement(NamedTuple):
    """The judge's current conclusion on the new version.

    :param fault: the fault that was found, empty while there is none.
    :param new_calls: calls to the new version that were evaluated.
    """

    fault: str
    new_calls: int


class _Scope(NamedTuple):
    """A combination of route and traffic class that is tested separately."""

    route: str
    traffic_class: str


class _ScopeJudge:
    """The statistical tests of one scope, or of all routes together."""

    def __init__(self) -> None:
        self.failure_comparison = ComparisonTest()
        self.slowness_comparison = ComparisonTest()
        self.failure_rate_test = RateTest()
        self.slow_rate_test = RateTest()
        self._old_latencies = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self._old_totals = Counts()
        self._unpaired_calls = 0

    def update(self, new: EvidenceRow, old: EvidenceRow) -> None:
        """Add the results of both versions from one interval."""
        self._update_failures(new, old)
        self._update_slowness(new, old)
        for bucket, count in old.latencies.items():
            self._old_latencies.record_value(bucket_lower_bound_us(bucket), count)

    def find_fault(self, *, alpha: float) -> str:
        """Return the first fault that a test finds, empty without one.

        :param alpha: false-positive probability, divided equally among the tests.
        """
        tests = {
            "more failures than the old version": self.failure_comparison,
            "too many failures": self.failure_rate_test,
            "slower than the old version": self.slowness_comparison,
            "slower than the old version was": self.slow_rate_test,
        }
        for fault, test in tests.items():
            if test.rejects(alpha=alpha / len(tests)):
                return fault
        return ""

    def _update_failures(self, new: EvidenceRow, old: EvidenceRow) -> None:
        new_counts = Counts(new.calls, new.failures)
        old_counts = Counts(old.calls, old.failures)
        self.failure_comparison.update(new=new_counts, old=old_counts)
        accepted_rate = self._accepted_failure_rate()
        rejected_rate = min(
            _MAX_REJECTED_FAILURE_RATE, _REJECTED_TO_ACCEPTED_RATE_RATIO * accepted_rate
        )
        if rejected_rate > accepted_rate:
            self.failure_rate_test.update(
                new_counts, accepted_rate=accepted_rate, rejected_rate=rejected_rate
            )
        self._old_totals = Counts(
            self._old_totals.calls + old.calls, self._old_totals.events + old.failures
        )

    def _accepted_failure_rate(self) -> float:
        """Return the failure rate accepted, given the old version's results so far.

        The old version's rate is computed with one more failure, so it is never 0.
        """
        calls = max(_OLD_CALLS_FLOOR, self._old_totals.calls)
        old_rate = (self._old_totals.events + 1) / calls
        return max(_MIN_ACCEPTED_FAILURE_RATE, _ACCEPTED_TO_OLD_RATE_RATIO * old_rate)

    def _update_slowness(self, new: EvidenceRow, old: EvidenceRow) -> None:
        threshold_us = self._slow_threshold_us()
        if threshold_us is None:
            return
        new_counts = _slow_counts(new, threshold_us)
        old_counts = _slow_counts(old, threshold_us)
        self.slowness_comparison.update(new=new_counts, old=old_counts)
        self._unpaired_calls = 0 if old.calls else self._unpaired_calls + new.calls
        if self._unpaired_calls > _MAX_UNPAIRED_CALLS:
            self.slow_rate_test.update(
                new_counts,
                accepted_rate=_ACCEPTED_SLOW_RATE,
                rejected_rate=_REJECTED_SLOW_RATE,
            )

    def _slow_threshold_us(self) -> float | None:
        """Return the latency above which a call counts as slow.

        :returns: None while there are too few calls to the old version.
        """
        if self._old_latencies.get_total_count() < _MIN_OLD_LATENCIES:
            return None
        slow_us = self._old_latencies.get_value_at_percentile(_SLOW_PERCENTILE)
        return slow_us * _SLOW_TOLERANCE


class Judge:
    """Evaluates the results of one rollout's versions.

    :param alpha: false-positive probability: that of reporting a fault of a good
        version.
    """

    def __init__(
        self, *, from_version: str, to_version: str, alpha: float = 1e-4
    ) -> None:
        self._from_version = from_version
        self._to_version = to_version
        self._alpha = alpha
        self._scopes: dict[_Scope, _ScopeJudge] = defaultdict(_ScopeJudge)
        self._all_routes = _ScopeJudge()
        self._new_calls = 0

    def update(self, rows: dict[EvidenceKey, EvidenceRow]) -> None:
        """Add the results of one interval from all gates."""
        total_new = total_old = _EMPTY_ROW
        for scope in {_Scope(key.route, key.traffic_class) for key in rows}:
            new = rows.get(EvidenceKey(*scope, self._to_version), _EMPTY_ROW)
            old = rows.get(EvidenceKey(*scope, self._from_version), _EMPTY_ROW)
            self._scopes[scope].update(new, old)
            total_new = _add(total_new, new)
            total_old = _add(total_old, old)
        # The version of a call is chosen by weight alone, so both versions serve the
        # same mix of calls and can be compared over all routes together.
        self._all_routes.update(total_new, total_old)
        self._new_calls += total_new.calls

    def judgement(self) -> Judgement:
        """Return the conclusion from all results so far."""
        return Judgement(self._find_fault(), self._new_calls)

    def _find_fault(self) -> str:
        """Return the first fault found, empty without one.

        Half of the false-positive probability goes to the tests over all routes, the
        other half is divided among the scopes.
        """
        fault = self._all_routes.find_fault(alpha=self._alpha / 2)
        if fault:
            return f"{fault} on all routes"
        alpha = self._alpha / 2 / max(1, len(self._scopes))
        for scope, judge in self._scopes.items():
            fault = judge.find_fault(alpha=alpha)
            if fault:
                return f"{fault} on route {scope.route}, class {scope.traffic_class}"
        return ""


def merge_rows(
    parts: list[dict[EvidenceKey, EvidenceRow]],
) -> dict[EvidenceKey, EvidenceRow]:
    """Merge the rows of several gates by adding up their counts."""
    merged: dict[EvidenceKey, EvidenceRow] = {}
    for rows in parts:
        for key, row in rows.items():
            merged[key] = _add(merged.get(key, _EMPTY_ROW), row)
    return merged


_EMPTY_ROW = EvidenceRow(0, 0, {})


def _add(first: EvidenceRow, second: EvidenceRow) -> EvidenceRow:
    latencies = dict(first.latencies)
    for bucket, count in second.latencies.items():
        latencies[bucket] = latencies.get(bucket, 0) + count
    return EvidenceRow(
        first.calls + second.calls, first.failures + second.failures, latencies
    )


def _slow_counts(row: EvidenceRow, threshold_us: float) -> Counts:
    calls = sum(row.latencies.values())
    slow = sum(
        count
        for bucket, count in row.latencies.items()
        if bucket_lower_bound_us(bucket) > threshold_us
    )
    return Counts(calls, slow)
