"""Call results collected at the gates, as evidence for the judge of a rollout."""

import math
from collections import defaultdict
from typing import NamedTuple

from burdockdock.gate.model import CallResult
from burdockdock.protocol import Message

_BUCKETS_PER_OCTAVE = 8


class EvidenceKey(NamedTuple):
    """The dimensions by which results are aggregated."""

    route: str
    traffic_class: str
    version: str


class EvidenceRow(NamedTuple):
    """Aggregated results of one interval.

    :param calls: calls that returned a result, except those shed.
    :param failures: calls that failed.
    :param latencies: number of successful calls by latency bucket, except those to a
        cold backend server.
    """

    calls: int
    failures: int
    latencies: dict[int, int]


class EvidenceCollector:
    """Aggregates the results at one gate until they are sent."""

    def __init__(self) -> None:
        self._calls: dict[EvidenceKey, int] = defaultdict(int)
        self._failures: dict[EvidenceKey, int] = defaultdict(int)
        self._latencies: dict[EvidenceKey, dict[int, int]] = defaultdict(dict)

    def add(self, result: CallResult, *, version: str, cold: bool) -> None:
        """Add one result.

        A cold backend server that doesn't answer may be slow, or may have got more than
        it takes; neither is a fault of its version.

        :param cold: whether the backend server is warming up and still slow.
        """
        if result.shed or (cold and not result.answered):
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
        """Return the collected results and clear the collector."""
        rows = {
            key: EvidenceRow(calls, self._failures[key], self._latencies[key])
            for key, calls in self._calls.items()
        }
        self._calls.clear()
        self._failures.clear()
        self._latencies = defaultdict(dict)
        return rows


def latency_bucket(latency_s: float) -> int:
    """Return the bucket of a latency; each bucket is 9 percent wider than the last."""
    microseconds = max(1.0, latency_s * 1_000_000)
    return int(_BUCKETS_PER_OCTAVE * math.log2(microseconds))


def bucket_lower_bound_us(bucket: int) -> int:
    """Return the lower bound of a latency bucket, in microseconds."""
    return max(1, int(2 ** (bucket / _BUCKETS_PER_OCTAVE)))


def pack_rows(rows: dict[EvidenceKey, EvidenceRow]) -> list[dict[str, object]]:
    """Convert rows to the value of a message field."""
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
    """Convert the value of a message field to rows."""
    return {
        EvidenceKey(row.route, row.trafficClass, row.serviceVersion): EvidenceRow(
            row.calls,
            row.failures,
            {entry.bucket: entry.count for entry in row.latencies},
        )
        for row in packed
    }
