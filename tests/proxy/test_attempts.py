"""Tests of which nodes a call tries after one that refused it."""

import testtools

from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import CallRequest
from burdockdock.proxy.attempts import (
    AttemptFailure,
    RetryState,
    has_arrived,
    initial_state,
)
from burdockdock.proxy.call import Call

_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 1000, False, "POST", "/", ())
_EVACUATED = Failure(Verdict.NOT_RUN, "zone_evacuated")
_FULL = Failure(Verdict.NOT_RUN, "queue_full")


def _member(node_id: str, zone: str) -> Member:
    return Member(node_id, "h", 1, "r", zone, 1, ready=True, service="work")


class EvacuatedZoneTest(testtools.TestCase):
    """Tests of calls that a gate in an evacuated zone refused."""

    def setUp(self) -> None:
        super().setUp()
        self.members = [_member(f"a{i}", "z1") for i in range(9)]
        self.members += [_member("b", "z2"), _member("c", "z3")]
        self.state = initial_state(Call(_REQUEST, 9.0, 1), asks=True)

    def _ids(self, state: RetryState) -> set[str]:
        return {m.node_id for m in state.choose_from(self.members)}

    def test_refusal_costs_no_retry_and_no_charge(self) -> None:
        self.assertFalse(has_arrived(_EVACUATED))
        state = self.state.after(AttemptFailure("a0", _EVACUATED, zone="z1"))
        self.assertEqual(self.state.retries_left, state.retries_left)

    def test_whole_zone_is_left_out(self) -> None:
        # Guards against a call that uses up its attempts in one evacuated zone.
        state = self.state.after(AttemptFailure("a0", _EVACUATED, zone="z1"))
        self.assertEqual({"b", "c"}, self._ids(state))
        state = state.after(AttemptFailure("b", _EVACUATED, zone="z2"))
        self.assertEqual({"c"}, self._ids(state))
        state = state.after(AttemptFailure("c", _EVACUATED, zone="z3"))
        self.assertEqual(set(), self._ids(state))

    def test_call_queues_at_a_full_node_rather_than_ask_one_that_refused(self) -> None:
        # Guards against a refused call while one node would let it wait.
        self.members = [_member("a0", "z1"), _member("b", "z2")]
        state = self.state.after(
            AttemptFailure("a0", Failure(Verdict.NOT_RUN, "backend_leaving"), zone="z1")
        )
        state = state.after(AttemptFailure("b", _FULL, zone="z2"))
        self.assertEqual({"b"}, self._ids(state))

    def test_members_are_not_copied_before_a_refusal(self) -> None:
        self.assertIs(self.members, self.state.choose_from(self.members))
        state = self.state.after(AttemptFailure("b", _FULL, zone="z2"))
        self.assertIs(self.members, state.choose_from(self.members))
