"""Least and largest values that a configuration may set.

What an operator writes by hand is checked against narrow bounds, which catch slips. A
node that applies a version that was accepted elsewhere refuses only what it can't do.
"""

from typing import NamedTuple

LOWEST_PRIORITY = 9
MAX_RETRIES = 5
MAX_COLD_PER_S = 1_000_000
MAX_COLD_START_MS = 3_600_000
MAX_RATE_PER_S = 1e9
# Fits into the 32 bits that a message between nodes has for the time left.
MAX_TIMEOUT_MS = (1 << 31) - 1


class Bounds(NamedTuple):
    """Least and largest value, both allowed."""

    low: int
    high: int


class ConfigBounds(NamedTuple):
    """Bounds of the values in a whole configuration.

    :param policy: bounds of each policy setting, by name.
    :param target_latency_ms: bounds of a route's target latency.
    """

    policy: dict[str, Bounds]
    target_latency_ms: Bounds


# In the unit of each name. 0 is no limit, and the largest values are far above any use.
CALLER_LIMIT_BOUNDS = {
    "max_header_bytes": Bounds(0, 1 << 30),
    "max_body_bytes": Bounds(0, 1 << 60),
    "header_timeout_ms": Bounds(0, 1 << 40),
    "idle_timeout_ms": Bounds(0, 1 << 40),
}


def _config_bounds(max_timeout_ms: int) -> ConfigBounds:
    policy = {
        "timeout_ms": Bounds(1, max_timeout_ms),
        "retries": Bounds(0, MAX_RETRIES),
        "queue_length": Bounds(0, 10_000),
    }
    return ConfigBounds(policy, Bounds(0, max_timeout_ms))


OPERATOR_BOUNDS = _config_bounds(600_000)
NODE_BOUNDS = _config_bounds(MAX_TIMEOUT_MS)
