"""Resource usage of processes as Linux accounts for it, and statistics on samples."""

import os
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """Resource usage of one process.

    :param cpu_s: user and system CPU time since its start.
    :param resident_bytes: resident set size.
    """

    cpu_s: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Return the resource usage of a running process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return Usage(cpu_s, int(fields[21]) * os.sysconf("SC_PAGESIZE"))


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of the values.

    :param share: share of the values that lie below it, such as 0.99.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class LinearFit(NamedTuple):
    """A straight line fitted to measurements.

    :param worst_error: largest deviation of the line from a measured value, as a share
        of that value.
    """

    intercept: float
    slope: float
    worst_error: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line to (x, y) points by least squares."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    variation = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variation
    intercept = mean_y - slope * mean_x
    errors = [abs(intercept + slope * x - y) / abs(y) if y else 0.0 for x, y in points]
    return LinearFit(intercept, slope, max(errors))
