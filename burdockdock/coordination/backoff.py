"""Retry delays, retry budgets and rate limits."""

import random
from collections.abc import Callable

from burdockdock.clock import Clock


def full_jitter(
    attempt: int, *, base_s: float, cap_s: float, rng: random.Random
) -> float:
    """Return a random delay with an exponentially growing upper bound.

    :param attempt: number of failures so far, from 0.
    :param base_s: upper bound of the first delay in seconds.
    :param cap_s: maximum upper bound in seconds.
    :param rng: source of randomness.
    :returns: the delay in seconds.
    """
    bound_s = min(cap_s, base_s * 2 ** min(attempt, 32))
    return rng.uniform(0.0, bound_s)


class RetryBudget:
    """Limits retries to a share of the calls, which prevents retry storms.

    :param share: retries added by each call.
    :param reserve: maximum balance in retries; also the initial balance.
    """

    def __init__(self, *, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def resize(self, reserve: float) -> None:
        """Change the maximum balance in retries."""
        self._reserve = reserve
        self._balance = min(self._balance, reserve)

    def record_call(self) -> None:
        """Earn a share of one retry for a first attempt."""
        self._balance = min(self._reserve, self._balance + self._share)

    def try_spend(self) -> bool:
        """Spend one retry if the balance allows it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def give_back(self) -> None:
        """Undo the spending of one retry, which was not made."""
        self._balance = min(self._reserve, self._balance + 1.0)


class FleetRetryBudget:
    """This node's share of a retry budget for the whole fleet.

    Each service has a budget of its own, so calls to one service don't fund retries
    of another. Each node limits its balance to the reserve divided by the number of
    nodes, which needs no communication between them.

    :param share: retries added by each call.
    :param reserve: maximum balance in retries for each service across the fleet.
    :param nodes: returns the number of nodes in the fleet.
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
        node_reserve = max(1.0, self._reserve / max(1, self._nodes()))
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(share=self._share, reserve=node_reserve)
            self._budgets[service] = budget
        budget.resize(node_reserve)
        budget.record_call()

    def try_spend(self, service: str) -> bool:
        """Spend one retry if the balance of the service allows it."""
        budget = self._budgets.get(service)
        return budget is not None and budget.try_spend()

    def give_back(self, service: str) -> None:
        """Undo the spending of one retry of a service, which was not made."""
        self._budgets[service].give_back()


class TokenBucket:
    """Limits the rate of events such as handshakes.

    :param rate_per_s: tokens added per second.
    :param burst: maximum number of tokens in the bucket.
    """

    def __init__(self, *, rate_per_s: float, burst: float, clock: Clock) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._refilled_at_s = clock.monotonic()

    def try_take(self, count: float = 1.0) -> bool:
        """Take tokens if the bucket holds enough of them."""
        now_s = self._clock.monotonic()
        added = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at_s = now_s
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
