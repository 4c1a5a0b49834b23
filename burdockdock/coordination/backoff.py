"""Delays and budgets for retries."""

import random
from collections.abc import Callable

from burdockdock.clock import Clock


def full_jitter(
    attempt: int, *, base_s: float, cap_s: float, rng: random.Random
) -> float:
    """Return a random delay below an exponentially growing bound.

    :param attempt: number of failures so far, from 0.
    :param base_s: bound of the first delay in seconds.
    :param cap_s: largest bound in seconds.
    :param rng: source of randomness.
    :returns: the delay in seconds.
    """
    bound_s = min(cap_s, base_s * 2 ** min(attempt, 32))
    return rng.uniform(0.0, bound_s)


class RetryBudget:
    """Allows retries as a share of the calls, so that they can't pile up.

    :param share: retries earned by each call.
    :param reserve: retries that may be saved up, also the number at the start.
    """

    def __init__(self, *, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def resize(self, reserve: float) -> None:
        """Change the number of retries that may be saved up."""
        self._reserve = reserve
        self._balance = min(self._balance, reserve)

    def record_call(self) -> None:
        """Earn a share of one retry for a first attempt."""
        self._balance = min(self._reserve, self._balance + self._share)

    def try_spend(self) -> bool:
        """Spend one retry if the budget holds one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class FleetRetryBudget:
    """This node's part of the retries that a whole fleet may make.

    Each service has its own, so that many calls to one pay for no retries at another.
    What may be saved up is divided by the number of nodes; they need not talk.

    :param share: retries earned by each call.
    :param reserve: retries that the whole fleet may save up for a service.
    :param nodes: returns the number of nodes.
    """

    def __init__(
        self, *, share: float, reserve: float, nodes: Callable[[], int]
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._nodes = nodes
        self._budgets: dict[str, RetryBudget] = {}

    def record_call(self, service: str) -> None:
        """Earn a share of one retry for a first attempt."""
        part = max(1.0, self._reserve / max(1, self._nodes()))
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(share=self._share, reserve=part)
            self._budgets[service] = budget
        budget.resize(part)
        budget.record_call()

    def try_spend(self, service: str) -> bool:
        """Spend one retry if the service's budget holds one."""
        budget = self._budgets.get(service)
        return budget is not None and budget.try_spend()


class TokenBucket:
    """Limits a rate, such as that of handshakes.

    :param rate_per_s: tokens added a second.
    :param burst: the most tokens the bucket holds.
    """

    def __init__(self, *, rate_per_s: float, burst: float, clock: Clock) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled_at_s = clock.monotonic()

    def try_take(self, count: float = 1.0) -> bool:
        """Take tokens if there are enough of them."""
        now_s = self._clock.monotonic()
        earned = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at_s = now_s
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
