"""Decides whether a call may arrive at a backend server once more, and charges it."""

from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.verdict import Failure
from burdockdock.proxy.attempts import has_arrived


class ArrivalCharges:
    """The arrivals of one call, of which each beyond the first is charged.

    An attempt that fails without an arrival, such as one refused by a gate, costs the
    backend servers nothing. Its charge pays for the next attempt.

    :param service: service whose backend servers the call is sent to.
    """

    def __init__(self, service: str, *, budget: FleetRetryBudget) -> None:
        self._service = service
        self._budget = budget
        self._has_arrived = False
        self._is_paid = False

    def may_arrive(self) -> bool:
        """Return whether the next attempt may be made; charge it if needed."""
        if self._has_arrived and not self._is_paid:
            self._is_paid = self._budget.try_spend(self._service)
        return self._is_paid or not self._has_arrived

    def record_failure(self, failure: Failure) -> None:
        """Record how an attempt failed."""
        if has_arrived(failure):
            self._has_arrived = True
            self._is_paid = False

    def end(self) -> None:
        """Give back a charge that no arrival used, once no more attempts are made."""
        if self._is_paid:
            self._is_paid = False
            self._budget.give_back(self._service)
