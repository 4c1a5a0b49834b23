"""Gives the arrivals of a sequence their behaviours, and remembers which got which."""

from collections import deque

from burdockdock.standin.faulty_behaviour import Behaviour
from burdockdock.standin.ledger import Ledger
from tests.fuzz.sequences import Sequence


class GivenBehaviours:
    """The behaviours of one sequence at a time, in the order of arrivals."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._left: deque[Behaviour] = deque()
        self.given: dict[int, Behaviour] = {}

    def start(self, sequence: Sequence) -> None:
        """Give the behaviours of a sequence from now on."""
        self._left = deque(step.behaviour for step in sequence)
        self.given = {}

    def next(self) -> Behaviour:
        """Return the behaviour for the next arrival; there may be more than steps."""
        behaviour = self._left.popleft() if self._left else Behaviour()
        self.given[self._ledger.arrivals + 1] = behaviour
        return behaviour
