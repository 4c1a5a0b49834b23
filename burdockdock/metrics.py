"""Counters, and latency histograms for each workspace and class."""

from collections import defaultdict
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_MAX_SERIES = 512
_OVERFLOW = "other"


class LatencyKey(NamedTuple):
    """The labels of one latency histogram."""

    stage: str
    workspace: str
    traffic_class: str


class QuantileRow(TypedDict):
    """The quantiles of one histogram as they are shown to operators.

    ``tenant`` is the outer name of the workspace, here and as a Prometheus label.
    """

    stage: str
    tenant: str
    traffic_class: str
    count: int
    quantiles_ms: dict[str, float]


class Metrics:
    """All counters and histograms of one process.

    The number of histograms is bounded: labels beyond the bound are counted
    under the workspace ``other``, so that callers can't fill the memory.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, str], int] = defaultdict(int)
        self._histograms: dict[LatencyKey, HdrHistogram] = {}

    def count(self, name: str, *, label: str = "", by: int = 1) -> None:
        """Add to a counter."""
        self._counters[name, label] += by

    def counter(self, name: str, *, label: str = "") -> int:
        """Return a counter's value, 0 if it was never counted."""
        return self._counters.get((name, label), 0)

    def record_latency(
        self, stage: str, seconds_s: float, *, workspace: str, traffic_class: str
    ) -> None:
        """Record one latency.

        :param stage: which part of a call was timed.
        :param seconds_s: the latency in seconds.
        """
        key = LatencyKey(stage, workspace, traffic_class)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._add_histogram(key)
        value_us = int(seconds_s * 1_000_000)
        histogram.record_value(min(max(value_us, _LOWEST_US), _HIGHEST_US))

    def quantiles(self) -> list[QuantileRow]:
        """Return the quantiles of every histogram, in milliseconds."""
        return [
            QuantileRow(
                stage=key.stage,
                tenant=key.workspace,
                traffic_class=key.traffic_class,
                count=histogram.get_total_count(),
                quantiles_ms={
                    str(q): histogram.get_value_at_percentile(q * 100) / 1000
                    for q in _QUANTILES
                },
            )
            for key, histogram in sorted(self._histograms.items())
        ]

    def prometheus_text(self) -> str:
        """Return everything in the Prometheus text format."""
        lines: list[str] = []
        for (name, label), value in sorted(self._counters.items()):
            labels = f'{{kind="{_escape(label)}"}}' if label else ""
            lines.append(f"burdockdock_{name}_total{labels} {value}")
        for row in self.quantiles():
            lines += _summary_lines(row)
        return "\n".join(lines) + "\n"

    def _add_histogram(self, key: LatencyKey) -> HdrHistogram:
        """Return the histogram for new labels, or the one for overflow."""
        if len(self._histograms) >= _MAX_SERIES:
            key = key._replace(workspace=_OVERFLOW)
        if key not in self._histograms:
            self._histograms[key] = HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
        return self._histograms[key]


def _summary_lines(row: QuantileRow) -> list[str]:
    labels = (
        f'stage="{_escape(row["stage"])}",tenant="{_escape(row["tenant"])}",'
        f'class="{_escape(row["traffic_class"])}"'
    )
    name = "burdockdock_latency_seconds"
    lines = [
        f'{name}{{{labels},quantile="{q}"}} {value_ms / 1000:.6f}'
        for q, value_ms in row["quantiles_ms"].items()
    ]
    return [*lines, f"{name}_count{{{labels}}} {row['count']}"]


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
