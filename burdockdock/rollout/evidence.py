"""Results of calls at the gates, collected for the judge of a rollout."""

import math
from collections import defaultdict
from typing import NamedTuple

from burdockdock.gate.model import CallResult
from burdockdock.protocol import Message

_BUCKETS_PER_OCTAVE = 8


class EvidenceKey(NamedTuple):
    """What results are told apart by."""

    route: str
    traffic_class: str
    version: str


class EvidenceRow(NamedTuple):
    """Results of one interval.

    :param calls: calls that gave a result, shed ones left out.
    :param latencies: calls by latency bucket; those of a cold backend server are
        left out.
    """

    calls: int
    failures: int
    latencies: dict[int, int]


class EvidenceCollector:
    """Collects the results at one gate until they are sent."""

    def __init__(self) -> None:
        self._calls: dict[EvidenceKey, int] = defaultdict(int)
        self._failures: dict[EvidenceKey, int] = defaultdict(int)
        self._latencies: dict[EvidenceKey, dict[int, int]] = defaultdict(dict)

    def add(self, result: CallResult, *, version: str, cold: bool) -> None:
        """Add one result.

        :param cold: whether the backend server started only lately.
        """
        if result.shed:
            return
        key = EvidenceKey(result.route, result.traffic_class, version)
        self._calls[key] += 1
        if result.failed:
            self._failures[key] += 1
        elif not cold:
            buckets = self._latencies[key]
            bucket = latency_bucket(result.duration_s)
            buckets[bucket] = buckets.get(bucket, 0) + 1

    def take(self) -> dict[EvidenceKey, EvidenceRow]:
        """Return what was collected, and start anew."""
        rows = {
            key: EvidenceRow(calls, self._failures[key], self._latencies[key])
            for key, calls in self._calls.items()
        }
        self._calls.clear()
        self._failures.clear()
        self._latencies = defaultdict(dict)
        return rows


def latency_bucket(seconds_s: float) -> int:
    """Return the bucket of a latency, each 9 percent wider than the last."""
    microseconds = max(1.0, seconds_s * 1_000_000)
    return int(_BUCKETS_PER_OCTAVE * math.log2(microseconds))


def bucket_lower_bound_us(bucket: int) -> int:
    """Return the lower bound of a bucket in microseconds."""
    return max(1, int(2 ** (bucket / _BUCKETS_PER_OCTAVE)))


def pack_rows(rows: dict[EvidenceKey, EvidenceRow]) -> list[dict[str, object]]:
    """Return rows as a message's field."""
    return [
        {
            "route": key.route,
            "trafficClass": key.traffic_class,
            "serviceVersion": key.version,
            "calls": row.calls,
            "failures": row.failures,
            "latencies": [
                {"bucket": bucket, "count": count}
                for bucket, count in row.latencies.items()
            ],
        }
        for key, row in rows.items()
    ]


def unpack_rows(packed: Message) -> dict[EvidenceKey, EvidenceRow]:
    """Read rows out of a message."""
    return {
        EvidenceKey(row.route, row.trafficClass, row.serviceVersion): EvidenceRow(
            row.calls,
            row.failures,
            {entry.bucket: entry.count for entry in row.latencies},
        )
        for row in packed
    }
