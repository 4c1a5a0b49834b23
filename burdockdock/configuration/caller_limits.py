"""Limits for callers' connections: the section ``limits`` of the configuration."""

from burdockdock.configuration.model import CallerLimits, Problem
from burdockdock.coordination.whole_numbers import parse_whole_number

# Least and largest value of each, in the unit of its name. 0 is no limit, and the
# largest values are far above any use.
_BOUNDS = {
    "max_header_bytes": (0, 1 << 30),
    "max_body_bytes": (0, 1 << 60),
    "header_timeout_ms": (0, 1 << 40),
    "idle_timeout_ms": (0, 1 << 40),
}


def parse_caller_limits(
    section: str, pairs: dict[str, str], problems: list[Problem]
) -> CallerLimits:
    """Parse the section; add what is wrong with it to the problems."""
    values = {}
    for key, text in pairs.items():
        if key not in _BOUNDS:
            problems.append(Problem(section, key, "unknown key"))
            continue
        low, high = _BOUNDS[key]
        values[key] = parse_whole_number(text, low - 1)
        if not low <= values[key] <= high:
            message = f"give a whole number from {low} to {high}, not {text!r}"
            problems.append(Problem(section, key, message))
    return CallerLimits(**values)
