"""Results of gates that wait until this node is known to have reached the others."""

from collections.abc import Collection
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.rollout.contact import MAX_SILENCE_S, GateContact
from burdockdock.rollout.evidence import EvidenceKey, EvidenceRow

Rows = dict[EvidenceKey, EvidenceRow]


class _Batch(NamedTuple):
    """The rows of one message, and when it arrived."""

    arrived_s: float
    rows: Rows


class EvidenceQueue:
    """Holds results back until more than half of the gates were heard from after them.

    Behind a cut, calls fail that a backend server makes to others, and only few gates
    are heard from. Such results say nothing about a version and are dropped.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._contact = GateContact(clock)
        self._batches: list[_Batch] = []

    def put(self, node_id: str, rows: Rows) -> None:
        """Add the results of a gate; none at all still say that it is in touch."""
        self._contact.hear(node_id)
        if rows and self._contact.counts(node_id):
            self._batches.append(_Batch(self._clock.monotonic(), rows))

    def take(self, gate_ids: Collection[str]) -> list[Rows]:
        """Return the results that count, and drop those that waited too long.

        :param gate_ids: ids of all gates of the service, also of those held for dead.
        """
        reached_until_s = self._contact.reached_until_s(gate_ids, settled=True)
        oldest_s = self._clock.monotonic() - MAX_SILENCE_S
        taken = [b.rows for b in self._batches if b.arrived_s <= reached_until_s]
        self._batches = [
            b
            for b in self._batches
            if b.arrived_s > reached_until_s and b.arrived_s >= oldest_s
        ]
        return taken

    def in_contact(self, gate_ids: Collection[str]) -> bool:
        """Return whether more than half of the gates are in touch with this node."""
        silent_s = self._clock.monotonic() - self._contact.reached_until_s(gate_ids)
        return silent_s <= MAX_SILENCE_S
