"""Decides which further attempts a call may make after a failed one."""

from collections.abc import Sequence
from typing import NamedTuple

from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import KEY_REVOKED, Failure, Verdict
from burdockdock.gate.model import KEPT_CONNECTION_ENDED, ZONE_EVACUATED
from burdockdock.proxy.authentication import (
    CONFIGURATION_BEHIND,
    UNKNOWN_KEY,
    WORKSPACE_CHANGED,
)
from burdockdock.proxy.call import Call
from burdockdock.proxy.free_slots import (
    MAX_CROSSING_ASKS,
    MAX_FREE_SLOT_ATTEMPTS,
    MAX_FREE_SLOT_ATTEMPTS_AFTER_WAIT,
    QUEUE_FULL,
)
from burdockdock.proxy.local_link import LocalLink
from burdockdock.proxy.peer_link import PeerLink
from burdockdock.proxy.remote_call import RemoteCall

# Reason of a refusal by the backend server itself. Any other failure with the verdict
# NOT_RUN counts as a refusal by a node.
BACKEND_REFUSED = "backend_refused"
# Refusals by backend servers, which a request has reached though it didn't run.
_REFUSALS_BY_BACKENDS = frozenset({BACKEND_REFUSED, "other_instance"})
NO_BACKEND_SERVER = "no_backend_server"
# Other nodes that are tried after nodes that refused the call or are unreachable.
MAX_FAILOVERS = 4
# Refusals of calls that queued and got no slot; these don't queue again elsewhere.
_REASONS_AFTER_WAIT = frozenset({"too_late_to_wait", "queue_timeout"})
# Refusals that no other node would take back: nothing is left to try.
_FINAL_REASONS = frozenset(
    {NO_BACKEND_SERVER, KEY_REVOKED, UNKNOWN_KEY, WORKSPACE_CHANGED}
    | {CONFIGURATION_BEHIND}
)
# Gates at which a call may find the queue full before it is refused.
_MAX_QUEUEING_ATTEMPTS = 2


class Attempt(NamedTuple):
    """A call that was sent to one node.

    :param started_s: when it was sent, in monotonic seconds.
    """

    member: Member
    link: PeerLink | LocalLink
    remote: RemoteCall
    started_s: float


class AttemptFailure(NamedTuple):
    """A failed attempt.

    :param node_id: the node that it was sent to, empty if there was no such node.
    :param crossed: whether it paid for a zone crossing.
    :param zone: availability zone of that node.
    """

    node_id: str
    failure: Failure
    crossed: bool = False
    zone: str = ""


class RetryState(NamedTuple):
    """The attempts that a call has left.

    While some node has a free slot, asking a few nodes for one costs far less time
    than queueing at the first. Only when all of them are full does the call queue, at
    the node where it is expected to end first.

    :param retries_left: further backend servers that the request may be sent to.
    :param failovers_left: further nodes that may be tried after refusals by nodes.
    :param free_slot_attempts_left: further nodes that may be asked for a free slot.
    :param failed_ids: nodes that failed or refused the call.
    :param full_ids: nodes that had no free slot.
    :param free_slot_attempts_after_wait: nodes that may be asked for a free slot after
        the call queued and got none.
    :param queueing_attempts_left: further nodes whose queue may turn out to be full.
    :param again_id: node to which the next attempt is sent once more, on a connection
        of its own; empty for any node.
    :param repeated_ids: nodes to which the call was sent once more for that reason.
    :param may_have_run: whether an attempt may have run the call.
    :param closed_zones: availability zones that nodes said to be evacuated.
    :param zone_first: whether zone crossings have a cost. The call then asks its own
        zone and others apart, and may queue at a gate that it found full, so that a
        full gate doesn't send it to another zone.
    :param crossing_asks_left: with ``zone_first``, further nodes of other zones that
        may be asked for a free slot.
    :param must_not_wait: the call already queued and got no slot, or has no time to
        queue, so that it only runs where a slot is free.
    """

    retries_left: int
    failovers_left: int
    free_slot_attempts_left: int
    failed_ids: frozenset[str] = frozenset()
    full_ids: frozenset[str] = frozenset()
    must_not_wait: bool = False
    free_slot_attempts_after_wait: int = MAX_FREE_SLOT_ATTEMPTS_AFTER_WAIT
    queueing_attempts_left: int = _MAX_QUEUEING_ATTEMPTS
    again_id: str = ""
    repeated_ids: frozenset[str] = frozenset()
    may_have_run: bool = False
    closed_zones: frozenset[str] = frozenset()
    zone_first: bool = False
    crossing_asks_left: int = 0

    @property
    def excluded(self) -> frozenset[str]:
        """Nodes that the next attempt avoids."""
        return self.failed_ids if self.zone_first else self.failed_ids | self.full_ids

    def may_wait_at(self, node_id: str, *, crossed: bool) -> bool:
        """Return whether the next attempt may queue at a node."""
        if not self.zone_first:
            return not self.free_slot_attempts_left
        asks_left = self.crossing_asks_left if crossed else self.free_slot_attempts_left
        return not asks_left or node_id in self.full_ids

    def choose_from(self, members: Sequence[Member]) -> Sequence[Member]:
        """Return the members that the next attempt may choose from.

        If one node reports its zone as evacuated, the zone's other nodes are skipped. A
        node without a free slot is asked again rather than one that refused the call.
        """
        if self.closed_zones:
            members = [
                m for m in members if m.availability_zone not in self.closed_zones
            ]
        if not self.failed_ids or len(self.excluded) < len(members):
            return members
        return [m for m in members if m.node_id not in self.failed_ids] or members

    def after(self, outcome: AttemptFailure) -> "RetryState | None":
        """Return the state after a failed attempt, None if no attempt is left."""
        if outcome.failure.verdict is not Verdict.NOT_RUN:
            return self._replace(may_have_run=True)._next(outcome)
        return self._next(outcome)

    def _next(self, outcome: AttemptFailure) -> "RetryState | None":
        node_id = outcome.node_id
        is_dead = outcome.failure.reason == KEPT_CONNECTION_ENDED
        if is_dead and node_id not in self.repeated_ids:
            return self._after_dead_connection(node_id)
        return self._replace(again_id="")._after_other(outcome)

    def _after_dead_connection(self, node_id: str) -> "RetryState":
        """Send the call to the same backend server, which is no further one."""
        return self._replace(
            again_id=node_id, repeated_ids=self.repeated_ids | {node_id}
        )

    def _after_other(self, outcome: AttemptFailure) -> "RetryState | None":
        node_id = outcome.node_id
        if outcome.failure.reason == QUEUE_FULL and not self.may_wait_at(
            node_id, crossed=outcome.crossed
        ):
            if self.zone_first:
                return self._after_full_in_zone(outcome)
            return self._after_full(node_id)
        if outcome.failure.reason in _REASONS_AFTER_WAIT:
            return self._after_wait(node_id)
        if outcome.failure.reason == QUEUE_FULL:
            return self._after_full_queue(node_id)
        if outcome.failure.reason == ZONE_EVACUATED:
            closed_zones = self.closed_zones | {outcome.zone}
            return self._replace(closed_zones=closed_zones)._after_refusal(node_id)
        if is_refused_by_node(outcome.failure):
            return self._after_refusal(node_id)
        if not self.retries_left:
            return None
        return self._replace(
            retries_left=self.retries_left - 1, failed_ids=self.failed_ids | {node_id}
        )

    def _after_refusal(self, node_id: str) -> "RetryState | None":
        """Try another node, which costs no retry."""
        if not self.failovers_left or node_id in self.failed_ids:
            return None
        return self._replace(
            failovers_left=self.failovers_left - 1,
            failed_ids=self.failed_ids | {node_id},
        )

    def _after_wait(self, node_id: str) -> "RetryState | None":
        """Allow a few more attempts at a free slot after queueing without success."""
        if self.must_not_wait or not self.free_slot_attempts_after_wait:
            return None
        return self._replace(
            free_slot_attempts_left=self.free_slot_attempts_after_wait,
            full_ids=frozenset({node_id}),
            must_not_wait=True,
            zone_first=False,
        )

    def _after_full_queue(self, node_id: str) -> "RetryState | None":
        """Queue at another node unless enough queues were full."""
        left = self.queueing_attempts_left - 1
        if not left or not self.failovers_left or node_id in self.failed_ids:
            return None
        return self._replace(
            queueing_attempts_left=left,
            failovers_left=self.failovers_left - 1,
            failed_ids=self.failed_ids | {node_id},
        )

    def _after_full_in_zone(self, outcome: AttemptFailure) -> "RetryState":
        """Note a full gate, whose queue the call may still choose."""
        state = self._replace(full_ids=self.full_ids | {outcome.node_id})
        if outcome.crossed:
            return state._replace(crossing_asks_left=self.crossing_asks_left - 1)
        left = self.free_slot_attempts_left - 1
        return state._replace(free_slot_attempts_left=left)

    def _after_full(self, node_id: str) -> "RetryState | None":
        """Ask another node, or let the call queue if all that were asked are full."""
        left = self.free_slot_attempts_left - 1
        if not left or node_id in self.full_ids:
            if self.must_not_wait:
                return None
            return self._replace(free_slot_attempts_left=0, full_ids=frozenset())
        return self._replace(
            free_slot_attempts_left=left, full_ids=self.full_ids | {node_id}
        )


def initial_state(call: Call, *, asks: bool, zone_first: bool = False) -> RetryState:
    """Return the attempts that a call has.

    A call with a large answer queues for a near backend server rather than look for
    a free slot at a distant one.

    :param asks: whether asking nodes for a free slot is worth its messages.
    :param zone_first: whether zone crossings have a cost.
    """
    asks_first = not call.may_wait or (asks and not call.large_answer)
    return RetryState(
        call.retries,
        MAX_FAILOVERS,
        MAX_FREE_SLOT_ATTEMPTS if asks_first else 0,
        must_not_wait=not call.may_wait,
        free_slot_attempts_after_wait=MAX_FREE_SLOT_ATTEMPTS_AFTER_WAIT if asks else 0,
        zone_first=zone_first and call.may_wait,
        crossing_asks_left=MAX_CROSSING_ASKS,
    )


def has_arrived(failure: Failure) -> bool:
    """Return whether a request may have reached a backend server."""
    may_have_run = failure.verdict is not Verdict.NOT_RUN
    return may_have_run or failure.reason in _REFUSALS_BY_BACKENDS


def is_final(failure: Failure) -> bool:
    """Return whether no further attempt can change a failure."""
    return failure.reason in _FINAL_REASONS


def is_refused_by_node(failure: Failure) -> bool:
    """Return whether a node refused the call before it reached a backend server."""
    return not has_arrived(failure)
