"""Counters, and latency histograms per workspace and traffic class."""

from collections import defaultdict
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_MAX_HISTOGRAMS = 512
# Of each counter. Labels may be names of workspaces, which come and go.
_MAX_LABELS = 512
_OVERFLOW_LABEL = "other"


class LatencyKey(NamedTuple):
    """Labels of one latency histogram."""

    stage: str
    workspace: str
    traffic_class: str


class QuantileRow(TypedDict):
    """Quantiles of one histogram, as shown to operators.

    A workspace is called ``tenant`` here and in the Prometheus labels, because these
    names are public.
    """

    stage: str
    tenant: str
    traffic_class: str
    count: int
    quantiles_ms: dict[str, float]


class Metrics:
    """All counters and histograms of one process.

    The numbers of histograms, and of labels of each counter, are limited, so that
    callers can't exhaust the memory. What is beyond the limits is recorded for the
    workspace, or the label, ``other``.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, str], int] = {}
        self._label_counts: dict[str, int] = defaultdict(int)
        self._histograms: dict[LatencyKey, HdrHistogram] = {}

    def count(self, name: str, *, label: str = "", by: int = 1) -> None:
        """Add to a counter."""
        key = name, label
        if key not in self._counters:
            key = self._add_counter(name, label)
        self._counters[key] += by

    def counter(self, name: str, *, label: str = "") -> int:
        """Return the value of a counter; 0 if it was never incremented."""
        return self._counters.get((name, label), 0)

    def record_latency(
        self, stage: str, latency_s: float, *, workspace: str, traffic_class: str
    ) -> None:
        """Record one latency.

        :param stage: part of a call that was timed.
        :param latency_s: latency in seconds.
        """
        key = LatencyKey(stage, workspace, traffic_class)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._add_histogram(key)
        value_us = int(latency_s * 1_000_000)
        histogram.record_value(min(max(value_us, _MIN_LATENCY_US), _MAX_LATENCY_US))

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
        """Return all counters and histograms in the Prometheus text format."""
        lines: list[str] = []
        for (name, label), value in sorted(self._counters.items()):
            labels = f'{{kind="{_escape(label)}"}}' if label else ""
            lines.append(f"burdockdock_{name}_total{labels} {value}")
        for row in self.quantiles():
            lines += _summary_lines(row)
        return "\n".join(lines) + "\n"

    def _add_counter(self, name: str, label: str) -> tuple[str, str]:
        """Add a counter for a new label, or the overflow counter at the limit."""
        if self._label_counts[name] >= _MAX_LABELS:
            label = _OVERFLOW_LABEL
        if (name, label) not in self._counters:
            self._label_counts[name] += 1
            self._counters[name, label] = 0
        return name, label

    def _add_histogram(self, key: LatencyKey) -> HdrHistogram:
        """Return a histogram for new labels, or the overflow histogram at the limit."""
        if len(self._histograms) >= _MAX_HISTOGRAMS:
            key = key._replace(workspace=_OVERFLOW_LABEL)
        if key not in self._histograms:
            self._histograms[key] = HdrHistogram(
                _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
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
