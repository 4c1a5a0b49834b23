"""Limits for callers' connections: the section ``limits`` of the configuration."""

from burdockdock.configuration.bounds import CALLER_LIMIT_BOUNDS
from burdockdock.configuration.model import CallerLimits, Problem
from burdockdock.coordination.whole_numbers import parse_whole_number


def parse_caller_limits(
    section: str, pairs: dict[str, str], problems: list[Problem]
) -> CallerLimits:
    """Parse the section; add what is wrong with it to the problems."""
    values = {}
    for key, text in pairs.items():
        if key not in CALLER_LIMIT_BOUNDS:
            problems.append(Problem(section, key, "unknown key"))
            continue
        low, high = CALLER_LIMIT_BOUNDS[key]
        values[key] = parse_whole_number(text, low - 1)
        if not low <= values[key] <= high:
            message = f"give a whole number from {low} to {high}, not {text!r}"
            problems.append(Problem(section, key, message))
    return CallerLimits(**values)
