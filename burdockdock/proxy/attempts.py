"""What may still be tried for a call after a failed attempt."""

from typing import NamedTuple

from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.peer_link import PeerLink
from burdockdock.proxy.remote_call import RemoteCall

# Reason of a refusal that the backend server itself made; all other refusals as not
# run come from nodes, before anything reached a backend server.
BACKEND_REFUSED = "backend_refused"
# Nodes asked for a free slot before the call waits for one.
FREE_SLOT_TRIES = 3
# Other nodes asked after one that refused or is gone.
MAX_MOVES = 4
_FULL = "queue_full"
# Refusals of calls that waited in vain: they don't wait again elsewhere.
_WAITED_REASONS = frozenset({"too_late_to_wait", "queue_timeout"})
_FREE_SLOT_TRIES_AFTER_WAIT = 2


class Attempt(NamedTuple):
    """A call as it was sent to one node, in monotonic seconds."""

    member: Member
    link: PeerLink
    remote: RemoteCall
    started_s: float


class AttemptFailure(NamedTuple):
    """A failed attempt and the node that it went to, empty without one."""

    node_id: str
    failure: Failure


class Tried(NamedTuple):
    """What may still be tried for a call.

    While slots are free somewhere, asking a few nodes for one costs far less time
    than waiting at the first; only then the call waits where it ends soonest.

    :param retries_left: backend servers that may still be sent the request.
    :param moves_left: nodes that may still be asked after refusals by nodes.
    :param free_slots_left: nodes that may still be asked for a free slot.
    :param node_ids: nodes not to be tried again.
    :param full_ids: nodes that had no free slot.
    :param may_not_wait: the call waited in vain or has no time to wait, and takes a
        free slot only.
    """

    retries_left: int
    moves_left: int
    free_slots_left: int
    node_ids: frozenset[str] = frozenset()
    full_ids: frozenset[str] = frozenset()
    may_not_wait: bool = False

    @property
    def excluded(self) -> frozenset[str]:
        """Nodes that are not asked now."""
        return self.node_ids | self.full_ids

    def after(self, outcome: AttemptFailure) -> "Tried | None":
        """Return what is left after an attempt, None for nothing."""
        node_id = outcome.node_id
        if outcome.failure.reason == _FULL and self.free_slots_left:
            return self._after_full(node_id)
        if outcome.failure.reason in _WAITED_REASONS:
            return self._after_wait(node_id)
        node_ids = self.node_ids | {node_id}
        if is_refused_by_node(outcome.failure):
            if not self.moves_left or node_id in self.node_ids:
                return None
            return self._replace(moves_left=self.moves_left - 1, node_ids=node_ids)
        if not self.retries_left:
            return None
        return self._replace(retries_left=self.retries_left - 1, node_ids=node_ids)

    def _after_wait(self, node_id: str) -> "Tried | None":
        """Ask a few more nodes for a free slot after a wait in vain."""
        if self.may_not_wait:
            return None
        return self._replace(
            free_slots_left=_FREE_SLOT_TRIES_AFTER_WAIT,
            full_ids=frozenset({node_id}),
            may_not_wait=True,
        )

    def _after_full(self, node_id: str) -> "Tried | None":
        """Ask another node, or let the call wait when all that were asked are full."""
        left = self.free_slots_left - 1
        if not left or node_id in self.full_ids:
            if self.may_not_wait:
                return None
            return self._replace(free_slots_left=0, full_ids=frozenset())
        return self._replace(free_slots_left=left, full_ids=self.full_ids | {node_id})


def is_refused_by_node(failure: Failure) -> bool:
    """Tell whether the request never came as far as a backend server."""
    return failure.verdict is Verdict.NOT_RUN and failure.reason != BACKEND_REFUSED
