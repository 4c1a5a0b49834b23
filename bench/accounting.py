"""Processor time and memory of processes, as the operating system counts them."""

import os
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """What one process has used."""

    cpu_s: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Return what a running process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return Usage(cpu_s, int(fields[21]) * os.sysconf("SC_PAGESIZE"))


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Line(NamedTuple):
    """A straight line fitted to measurements.

    :param worst_error: largest distance of a point from the line, as a share of the
        point.
    """

    intercept: float
    slope: float
    worst_error: float

    def at(self, x: float) -> float:
        """Return the line's value."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    errors = [abs(intercept + slope * x - y) / abs(y) if y else 0.0 for x, y in points]
    return Line(intercept, slope, max(errors))
