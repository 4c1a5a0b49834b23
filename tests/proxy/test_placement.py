"""A load of unequal backend servers, placed by expected finish and naively."""

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
from burdockdock.proxy.balancer import LARGE_ANSWERS, Balancer

_SLOTS = 9
_SPEEDS = (0.5, 1.0, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0, 1.0, 1.5)
_WORK_S = 0.22
_TARGET_S = 0.6
_CALLS = 6000


def _members(count: int = len(_SPEEDS)) -> list[Member]:
    return [
        Member(f"n{i}", "h", i, "r", f"z{i % 3}", 1, ready=True, slots=_SLOTS)
        for i in range(count)
    ]


class _Replay:
    """One service under a steady load, with a queue at each member.

    :param pick: chooses a member for a call.
    :param free_slots: members asked for a free slot before the call waits.
    """

    def __init__(self, balancer: Balancer, pick: Callable, free_slots: int) -> None:
        self.clock = balancer._clock
        self.balancer = balancer
        self.pick = pick
        self.free_slots = free_slots
        self.rng = random.Random(5)
        self.members = _members()
        self.free_at = {m.node_id: [0.0] * _SLOTS for m in self.members}
        self.ends: list[tuple[float, str]] = []
        self.running: Counter[str] = Counter()

    def on_target(self, *, calls_per_s: float) -> float:
        """Return the share of calls that end within their target."""
        in_time = 0
        for _ in range(_CALLS):
            self.clock.advance(self.rng.expovariate(calls_per_s))
            self._end_calls()
            in_time += self._run_call() <= _TARGET_S
        return in_time / _CALLS

    def _run_call(self) -> float:
        now_s = self.clock.monotonic()
        asked: frozenset[str] = frozenset()
        member = self.pick(self.members, asked)
        for _ in range(self.free_slots):
            if self.free_at[member.node_id][0] <= now_s:
                break
            self._tell(member)
            asked |= {member.node_id}
            member = self.pick(self.members, asked)
        start_s = max(now_s, heapq.heappop(self.free_at[member.node_id]))
        speed = _SPEEDS[self.members.index(member)]
        end_s = start_s + _WORK_S * self.rng.uniform(0.5, 1.5) / speed
        heapq.heappush(self.free_at[member.node_id], end_s)
        heapq.heappush(self.ends, (end_s, member.node_id))
        self.running[member.node_id] += 1
        return end_s - now_s

    def _end_calls(self) -> None:
        while self.ends and self.ends[0][0] <= self.clock.monotonic():
            _, node_id = heapq.heappop(self.ends)
            self.running[node_id] -= 1
            # One of many callers' nodes hears of one call in a few.
            if self.rng.random() < 0.3:
                self._tell(self.members[int(node_id[1:])])

    def _tell(self, member: Member) -> None:
        service_s = _WORK_S / _SPEEDS[self.members.index(member)]
        calls = self.running[member.node_id]
        self.balancer.tell_load(member.node_id, calls, GateResults(service_s))


def _balancer(clock: ManualClock) -> Balancer:
    return Balancer(
        availability_zone="z0", region="r", clock=clock, rng=random.Random(3)
    )


class PlacementTest(testtools.TestCase):
    """Tests of where calls go."""

    def _replay(self, *, naive: bool, calls_per_s: float) -> float:
        balancer = _balancer(ManualClock())
        rng = random.Random(7)

        def pick(members: list[Member], asked: frozenset[str]) -> Member:
            if naive:
                return rng.choice(members)
            return balancer.pick(members, excluded=asked)

        replay = _Replay(balancer, pick, 0 if naive else 3)
        return replay.on_target(calls_per_s=calls_per_s)

    def test_more_calls_end_on_target_than_at_random(self) -> None:
        for calls_per_s, least in ((200.0, 0.95), (340.0, 0.9)):
            ours = self._replay(naive=False, calls_per_s=calls_per_s)
            naive = self._replay(naive=True, calls_per_s=calls_per_s)
            self.assertGreater(ours, least, calls_per_s)
            self.assertGreater(ours, naive + 0.1, calls_per_s)

    def test_the_faster_of_two_equals_gets_the_call(self) -> None:
        balancer = _balancer(ManualClock())
        slow, fast = _members(4)[0], _members(4)[3]
        balancer.tell_load(slow.node_id, 2, GateResults(0.4))
        balancer.tell_load(fast.node_id, 2, GateResults(0.2))
        for _ in range(20):
            self.assertEqual(fast, balancer.pick([slow, fast]))

    def test_one_that_fails_part_of_its_calls_gets_fewer(self) -> None:
        balancer = _balancer(ManualClock())
        bad, good = _members(4)[0], _members(4)[3]
        balancer.tell_load(bad.node_id, 1, GateResults(0.2, 0.45))
        balancer.tell_load(good.node_id, 5, GateResults(0.2))
        for _ in range(20):
            self.assertEqual(good, balancer.pick([bad, good]))

    def test_a_large_answer_comes_from_near_unless_that_takes_much_longer(self) -> None:
        balancer = _balancer(ManualClock())
        near, far = _members(2)
        far_results = GateResults(0.18)
        balancer.tell_load(far.node_id, 0, far_results)
        for load, expected in ((0, near), (_SLOTS * 2, near), (_SLOTS * 6, far)):
            balancer.tell_load(near.node_id, load, GateResults(0.18))
            found = balancer.pick([near, far], distances=LARGE_ANSWERS)
            self.assertEqual(expected, found, load)


class TriedTest(testtools.TestCase):
    """Tests of what is tried after a failed attempt."""

    def _after(self, tried: RetryState, node_id: str, verdict: Verdict, reason: str):
        return tried.after(AttemptFailure(node_id, Failure(verdict, reason)))

    def test_free_slots_are_asked_for_before_a_call_waits(self) -> None:
        tried = RetryState(1, 4, 3)
        for node_id in ("a", "b"):
            tried = self._after(tried, node_id, Verdict.NOT_RUN, "queue_full")
        self.assertEqual(
            ({"a", "b"}, 1), (tried.excluded, tried.free_slot_attempts_left)
        )
        tried = self._after(tried, "c", Verdict.NOT_RUN, "queue_full")
        self.assertEqual(
            (set(), 0), (set(tried.excluded), tried.free_slot_attempts_left)
        )
        self.assertEqual(1, tried.retries_left)

    def test_nodes_that_refuse_do_not_use_up_backend_servers(self) -> None:
        tried = RetryState(1, 2, 0)
        tried = self._after(tried, "a", Verdict.NOT_RUN, "peer_unreachable")
        tried = self._after(tried, "b", Verdict.NOT_RUN, "draining")
        self.assertEqual((1, 0), (tried.retries_left, tried.failovers_left))
        self.assertIsNone(self._after(tried, "c", Verdict.NOT_RUN, "draining"))

    def test_a_call_that_waited_in_vain_takes_a_free_slot_or_ends(self) -> None:
        tried = RetryState(1, 4, 0)
        tried = self._after(tried, "a", Verdict.NOT_RUN, "too_late_to_wait")
        self.assertEqual(
            ({"a"}, 2), (set(tried.excluded), tried.free_slot_attempts_left)
        )
        tried = self._after(tried, "b", Verdict.NOT_RUN, "queue_full")
        self.assertEqual(1, tried.free_slot_attempts_left)
        self.assertIsNone(self._after(tried, "c", Verdict.NOT_RUN, "queue_full"))

    def test_each_backend_server_that_was_sent_it_counts(self) -> None:
        tried = RetryState(1, 4, 3)
        tried = self._after(tried, "a", Verdict.NOT_RUN, "backend_refused")
        self.assertEqual(0, tried.retries_left)
        for verdict in (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN):
            self.assertIsNone(self._after(tried, "b", verdict, "backend_refused"))
