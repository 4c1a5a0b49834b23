"""Tests of load balancing over backend servers of unequal speed.

A simulation compares the balancer with a random choice of members.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.attempts import AttemptFailure, RetryState
from burdockdock.proxy.balancer import LARGE_ANSWER_PENALTIES, Balancer

_SLOTS = 9
_RELATIVE_SPEEDS = (0.5, 1.0, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0, 1.0, 1.5)
_MEAN_WORK_S = 0.22
_TARGET_LATENCY_S = 0.6
_CALL_COUNT = 6000


def _members(count: int = len(_RELATIVE_SPEEDS)) -> list[Member]:
    return [
        Member(f"n{i}", "h", i, "r", f"z{i % 3}", 1, ready=True, slots=_SLOTS)
        for i in range(count)
    ]


class _Simulation:
    """A simulated service under a steady load, with a queue at each member.

    :param pick: chooses a member for a call.
    :param free_slot_tries: members to try for a free slot before the call queues.
    """

    def __init__(
        self, balancer: Balancer, pick: Callable, free_slot_tries: int
    ) -> None:
        self.clock = balancer._clock
        self.balancer = balancer
        self.pick = pick
        self.free_slot_tries = free_slot_tries
        self.rng = random.Random(5)
        self.members = _members()
        self.free_at_s = {m.node_id: [0.0] * _SLOTS for m in self.members}
        self.ends: list[tuple[float, str]] = []
        self.running: Counter[str] = Counter()

    def share_on_target(self, *, calls_per_s: float) -> float:
        """Return the share of calls that end within the latency target."""
        on_target_count = 0
        for _ in range(_CALL_COUNT):
            self.clock.advance(self.rng.expovariate(calls_per_s))
            self._finish_calls()
            on_target_count += self._run_call() <= _TARGET_LATENCY_S
        return on_target_count / _CALL_COUNT

    def _run_call(self) -> float:
        now_s = self.clock.monotonic()
        tried_ids: frozenset[str] = frozenset()
        member = self.pick(self.members, tried_ids)
        for _ in range(self.free_slot_tries):
            if self.free_at_s[member.node_id][0] <= now_s:
                break
            self._report_load(member)
            tried_ids |= {member.node_id}
            member = self.pick(self.members, tried_ids)
        start_s = max(now_s, heapq.heappop(self.free_at_s[member.node_id]))
        speed = _RELATIVE_SPEEDS[self.members.index(member)]
        end_s = start_s + _MEAN_WORK_S * self.rng.uniform(0.5, 1.5) / speed
        heapq.heappush(self.free_at_s[member.node_id], end_s)
        heapq.heappush(self.ends, (end_s, member.node_id))
        self.running[member.node_id] += 1
        return end_s - now_s

    def _finish_calls(self) -> None:
        while self.ends and self.ends[0][0] <= self.clock.monotonic():
            _, node_id = heapq.heappop(self.ends)
            self.running[node_id] -= 1
            # One of many calling nodes receives only some of the answers.
            if self.rng.random() < 0.3:
                self._report_load(self.members[int(node_id[1:])])

    def _report_load(self, member: Member) -> None:
        service_s = _MEAN_WORK_S / _RELATIVE_SPEEDS[self.members.index(member)]
        calls = self.running[member.node_id]
        self.balancer.record_gate_state(member.node_id, calls, GateResults(service_s))


def _balancer(clock: ManualClock) -> Balancer:
    return Balancer(
        availability_zone="z0", region="r", clock=clock, rng=random.Random(3)
    )


class PlacementTest(testtools.TestCase):
    """Tests of the choice of a member for a call."""

    def _share_on_target(self, *, at_random: bool, calls_per_s: float) -> float:
        balancer = _balancer(ManualClock())
        rng = random.Random(7)

        def pick(members: list[Member], tried_ids: frozenset[str]) -> Member:
            if at_random:
                return rng.choice(members)
            return balancer.pick(members, excluded=tried_ids)

        simulation = _Simulation(balancer, pick, 0 if at_random else 3)
        return simulation.share_on_target(calls_per_s=calls_per_s)

    def test_more_calls_meet_target_than_with_random_choice(self) -> None:
        for calls_per_s, minimum in ((200.0, 0.95), (340.0, 0.9)):
            balanced = self._share_on_target(at_random=False, calls_per_s=calls_per_s)
            random_choice = self._share_on_target(
                at_random=True, calls_per_s=calls_per_s
            )
            self.assertGreater(balanced, minimum, calls_per_s)
            self.assertGreater(balanced, random_choice + 0.1, calls_per_s)

    def test_faster_of_two_equally_loaded_members_is_picked(self) -> None:
        balancer = _balancer(ManualClock())
        slow, fast = _members(4)[0], _members(4)[3]
        balancer.record_gate_state(slow.node_id, 2, GateResults(0.4))
        balancer.record_gate_state(fast.node_id, 2, GateResults(0.2))
        for _ in range(20):
            self.assertEqual(fast, balancer.pick([slow, fast]))

    def test_member_with_failing_calls_is_avoided(self) -> None:
        balancer = _balancer(ManualClock())
        bad, good = _members(4)[0], _members(4)[3]
        balancer.record_gate_state(bad.node_id, 1, GateResults(0.2, 0.45))
        balancer.record_gate_state(good.node_id, 5, GateResults(0.2))
        for _ in range(20):
            self.assertEqual(good, balancer.pick([bad, good]))

    def test_large_answer_comes_from_own_zone_unless_it_is_overloaded(self) -> None:
        balancer = _balancer(ManualClock())
        near, far = _members(2)
        far_results = GateResults(0.18)
        balancer.record_gate_state(far.node_id, 0, far_results)
        for load, expected in ((0, near), (_SLOTS * 2, near), (_SLOTS * 6, far)):
            balancer.record_gate_state(near.node_id, load, GateResults(0.18))
            found = balancer.pick([near, far], penalties=LARGE_ANSWER_PENALTIES)
            self.assertEqual(expected, found, load)


class RetryStateTest(testtools.TestCase):
    """Tests of the attempts that are left after a failed attempt."""

    def _after(self, state: RetryState, node_id: str, verdict: Verdict, reason: str):
        return state.after(AttemptFailure(node_id, Failure(verdict, reason)))

    def test_other_nodes_are_tried_for_a_free_slot_before_a_call_queues(self) -> None:
        state = RetryState(1, 4, 3)
        for node_id in ("a", "b"):
            state = self._after(state, node_id, Verdict.NOT_RUN, "queue_full")
        self.assertEqual(
            ({"a", "b"}, 1), (state.excluded, state.free_slot_attempts_left)
        )
        state = self._after(state, "c", Verdict.NOT_RUN, "queue_full")
        self.assertEqual(
            (set(), 0), (set(state.excluded), state.free_slot_attempts_left)
        )
        self.assertEqual(1, state.retries_left)

    def test_refusals_by_nodes_use_up_failovers_not_retries(self) -> None:
        state = RetryState(1, 2, 0)
        state = self._after(state, "a", Verdict.NOT_RUN, "peer_unreachable")
        state = self._after(state, "b", Verdict.NOT_RUN, "draining")
        self.assertEqual((1, 0), (state.retries_left, state.failovers_left))
        self.assertIsNone(self._after(state, "c", Verdict.NOT_RUN, "draining"))

    def test_call_that_timed_out_in_a_queue_takes_a_free_slot_or_fails(self) -> None:
        state = RetryState(1, 4, 0)
        state = self._after(state, "a", Verdict.NOT_RUN, "too_late_to_wait")
        self.assertEqual(
            ({"a"}, 2), (set(state.excluded), state.free_slot_attempts_left)
        )
        state = self._after(state, "b", Verdict.NOT_RUN, "queue_full")
        self.assertEqual(1, state.free_slot_attempts_left)
        self.assertIsNone(self._after(state, "c", Verdict.NOT_RUN, "queue_full"))

    def test_each_attempt_at_a_backend_server_uses_up_a_retry(self) -> None:
        state = RetryState(1, 4, 3)
        state = self._after(state, "a", Verdict.NOT_RUN, "backend_refused")
        self.assertEqual(0, state.retries_left)
        for verdict in (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN):
            self.assertIsNone(self._after(state, "b", verdict, "backend_refused"))
