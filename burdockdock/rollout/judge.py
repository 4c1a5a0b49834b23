"""Judging a new version by its results beside the old one's."""

from collections import defaultdict
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from burdockdock.coordination.sequential_test import (
    ComparisonTest,
    Counts,
    RateTest,
)
from burdockdock.rollout.evidence import EvidenceKey, EvidenceRow, bucket_value_us

_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_SLOW_PERCENTILE = 95
_SLOW_SHARE = 1 - _SLOW_PERCENTILE / 100
_MIN_REFERENCE_CALLS = 100
# A tenth slower than the old version's slow calls is noise, not a fault.
_SLOW_TOLERANCE = 1.1
_MIN_ACCEPTED_FAILURES = 0.01
_MIN_REJECTED_FAILURES = 0.1


class Judgement(NamedTuple):
    """What the results say of the new version.

    :param fault: why it is bad, empty while nothing speaks against it.
    :param new_calls: calls of the new version that were judged.
    """

    fault: str
    new_calls: int


class _Scope(NamedTuple):
    """What is judged on its own."""

    route: str
    traffic_class: str


class _ScopeJudge:
    """The tests of one route and class."""

    def __init__(self) -> None:
        self.failures = ComparisonTest()
        self.slowness = ComparisonTest()
        self.failure_rate = RateTest(
            accepted_rate=_MIN_ACCEPTED_FAILURES, rejected_rate=_MIN_REJECTED_FAILURES
        )
        self.slow_rate = RateTest(
            accepted_rate=3 * _SLOW_SHARE, rejected_rate=8 * _SLOW_SHARE
        )
        self._reference = HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT_DIGITS)
        self._old = Counts()

    def update(self, new: EvidenceRow, old: EvidenceRow) -> None:
        """Take in one interval's results of both versions."""
        self._update_failures(new, old)
        self._update_slowness(new, old)
        for bucket, count in old.latencies.items():
            self._reference.record_value(bucket_value_us(bucket), count)

    def _update_failures(self, new: EvidenceRow, old: EvidenceRow) -> None:
        new_counts = Counts(new.calls, new.failures)
        old_counts = Counts(old.calls, old.failures)
        self.failures.update(new=new_counts, old=old_counts)
        if not self._old.events:
            # Against an old version that fails as well, only the comparison counts.
            self.failure_rate.update(new_counts)
        self._old = Counts(self._old.calls + old.calls, self._old.events + old.failures)

    def _update_slowness(self, new: EvidenceRow, old: EvidenceRow) -> None:
        limit_us = self._slow_limit_us()
        if limit_us is None:
            return
        new_counts = _slow_counts(new, limit_us)
        old_counts = _slow_counts(old, limit_us)
        self.slowness.update(new=new_counts, old=old_counts)
        if not old_counts.calls:
            self.slow_rate.update(new_counts)

    def _slow_limit_us(self) -> float | None:
        """Return the latency that few calls of the old version exceeded so far."""
        if self._reference.get_total_count() < _MIN_REFERENCE_CALLS:
            return None
        slow_us = self._reference.get_value_at_percentile(_SLOW_PERCENTILE)
        return slow_us * _SLOW_TOLERANCE


class Judge:
    """Judges one rollout.

    :param alpha: probability of calling a good version bad.
    """

    def __init__(
        self, *, from_version: str, to_version: str, alpha: float = 1e-4
    ) -> None:
        self._from_version = from_version
        self._to_version = to_version
        self._alpha = alpha
        self._scopes: dict[_Scope, _ScopeJudge] = defaultdict(_ScopeJudge)
        self._new_calls = 0

    def update(self, rows: dict[EvidenceKey, EvidenceRow]) -> None:
        """Take in the results of one interval from all gates."""
        for scope in {_Scope(key.route, key.traffic_class) for key in rows}:
            new = rows.get(EvidenceKey(*scope, self._to_version), _NOTHING)
            old = rows.get(EvidenceKey(*scope, self._from_version), _NOTHING)
            self._new_calls += new.calls
            self._scopes[scope].update(new, old)

    def judgement(self) -> Judgement:
        """Return what all results so far say."""
        return Judgement(self._find_fault(), self._new_calls)

    def _find_fault(self) -> str:
        # Every test of every scope has its share of the error probability.
        alpha = self._alpha / max(1, 4 * len(self._scopes))
        for scope, judge in self._scopes.items():
            place = f"on route {scope.route}, class {scope.traffic_class}"
            if judge.failures.rejects(alpha=alpha):
                return f"more failures than the old version {place}"
            if judge.failure_rate.rejects(alpha=alpha):
                return f"too many failures {place}"
            if judge.slowness.rejects(alpha=alpha):
                return f"slower than the old version {place}"
            if judge.slow_rate.rejects(alpha=alpha):
                return f"slower than the old version was {place}"
        return ""


def merge_rows(
    parts: list[dict[EvidenceKey, EvidenceRow]],
) -> dict[EvidenceKey, EvidenceRow]:
    """Add up the rows of several gates."""
    merged: dict[EvidenceKey, EvidenceRow] = {}
    for rows in parts:
        for key, row in rows.items():
            merged[key] = _add(merged.get(key, _NOTHING), row)
    return merged


_NOTHING = EvidenceRow(0, 0, {})


def _add(first: EvidenceRow, second: EvidenceRow) -> EvidenceRow:
    latencies = dict(first.latencies)
    for bucket, count in second.latencies.items():
        latencies[bucket] = latencies.get(bucket, 0) + count
    return EvidenceRow(
        first.calls + second.calls, first.failures + second.failures, latencies
    )


def _slow_counts(row: EvidenceRow, limit_us: float) -> Counts:
    calls = sum(row.latencies.values())
    slow = sum(
        count
        for bucket, count in row.latencies.items()
        if bucket_value_us(bucket) > limit_us
    )
    return Counts(calls, slow)
