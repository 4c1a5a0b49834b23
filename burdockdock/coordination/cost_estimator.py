"""Estimates of what a request costs: the seconds for which it holds a slot.

Requests of one route cost very different amounts of work. Method, size of the body and
workspace say more, as far as enough requests were seen that have them in common.
"""

from typing import NamedTuple

from burdockdock.clock import Clock

# A mean counts its latest requests most: about this many of them.
_MAX_WEIGHT = 30.0
# A more specific mean with this weight counts as much as the more general one.
_PRIOR_WEIGHT = 5.0
_HALF_LIFE_S = 300.0
# Skips the exponentiation for means updated within this time.
_NEGLIGIBLE_AGE_S = 1.0
_MAX_KINDS = 8192
_MIN_SIZE_BITS = 10


class RequestKind(NamedTuple):
    """What is known of a request before it runs.

    :param size_class: class of the body's size, from :func:`size_class`.
    """

    route: str
    method: str
    size_class: int
    workspace: str


class _Mean(NamedTuple):
    mean_s: float
    weight: float
    updated_at_s: float


_Key = tuple[str, ...] | tuple[str, str, int] | tuple[str, str, int, str]


class CostEstimator:
    """Moving means by route, by its method and size, and by workspace as well.

    A specific mean of few requests counts little against the more general one, so that
    what doesn't predict the cost changes the estimate little. Old means lose weight.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._means: dict[_Key, _Mean] = {}

    def __len__(self) -> int:
        return len(self._means)

    def record(self, kind: RequestKind, cost_s: float) -> None:
        """Record the cost of a request that ended."""
        now_s = self._clock.monotonic()
        for key in _keys(kind):
            mean = self._means.pop(key, None)
            weight = 0.0 if mean is None else _faded_weight(mean, now_s)
            weight = min(_MAX_WEIGHT, weight + 1.0)
            previous_s = cost_s if mean is None else mean.mean_s
            mean_s = previous_s + (cost_s - previous_s) / weight
            self._means[key] = _Mean(mean_s, weight, now_s)
        while len(self._means) > _MAX_KINDS:
            del self._means[next(iter(self._means))]

    def estimate_s(self, kind: RequestKind) -> float:
        """Return the expected cost of a request, 0 while its route is unknown."""
        now_s = self._clock.monotonic()
        route_key, *specific_keys = _keys(kind)
        mean = self._means.get(route_key)
        if mean is None:
            return 0.0
        estimate_s = mean.mean_s
        for key in specific_keys:
            mean = self._means.get(key)
            if mean is None:
                break
            weight = _faded_weight(mean, now_s)
            share = weight / (weight + _PRIOR_WEIGHT)
            estimate_s += share * (mean.mean_s - estimate_s)
        return estimate_s


def size_class(body_bytes: int) -> int:
    """Return the class of a body's size: 0 for none, -1 for an unknown size.

    Class 1 spans 1 to 2047 bytes. Bodies of each later class differ in size by less
    than a factor of four.
    """
    if body_bytes <= 0:
        return 0 if body_bytes == 0 else -1
    return 1 + max(0, body_bytes.bit_length() - _MIN_SIZE_BITS) // 2


def _keys(kind: RequestKind) -> tuple[_Key, _Key, _Key]:
    """Return the keys of a request's means, the most general first."""
    route, method, size, workspace = kind
    return (route,), (route, method, size), (route, method, size, workspace)


def _faded_weight(mean: _Mean, now_s: float) -> float:
    age_s = now_s - mean.updated_at_s
    if age_s < _NEGLIGIBLE_AGE_S:
        return mean.weight
    return mean.weight * 0.5 ** (age_s / _HALF_LIFE_S)
