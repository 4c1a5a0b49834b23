"""Tests of placement where a zone crossing has a cost.

Loads of three availability zones are replayed in virtual time with the cost and without
it, which is the earlier choice.
"""

import random
import statistics
from collections import Counter

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.attempts import AttemptFailure, RetryState
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.placement import Candidate, CrossingTerms, Reason, choose
from tests.proxy.zone_replay import Figures, Load, Replay

_COST = 0.1
_TERMS = CrossingTerms(cost_s=0.4, time_left_s=0.6)


def _member(name: str, zone: str = "z0") -> Member:
    return Member(name, "h", 1, "r", zone, 1, ready=True, service="work", slots=3)


def _choose(
    home_s: float | None, elsewhere_s: float | None, terms: CrossingTerms = _TERMS
) -> Reason:
    def candidates(name: str, duration_s: float | None) -> list[Candidate]:
        if duration_s is None:
            return []
        return [Candidate(_member(name), duration_s, 0.0, 0.0)]

    choice = choose(
        candidates("home", home_s),
        candidates("elsewhere", elsewhere_s),
        terms=terms,
        uniform=lambda: 0.5,
    )
    return choice.reason


class ChoiceTest(testtools.TestCase):
    """Tests of the reasons to stay and to cross."""

    def test_call_stays_where_its_zone_serves_it_in_time(self) -> None:
        self.assertEqual(Reason.HOME_IN_TIME, _choose(0.45, 0.1))

    def test_call_crosses_for_a_gain_above_the_cost(self) -> None:
        terms = CrossingTerms(cost_s=0.4, time_left_s=10.0)
        self.assertEqual(Reason.HOME_IN_TIME, _choose(0.45, 0.1, terms))
        self.assertEqual(Reason.CROSSING_GAINS, _choose(0.55, 0.1, terms))

    def test_call_that_is_late_at_home_crosses_to_spare_capacity(self) -> None:
        terms = CrossingTerms(cost_s=3.0, time_left_s=0.6)
        self.assertEqual(Reason.HOME_LATE, _choose(0.55, 0.2, terms))
        self.assertEqual(Reason.NOWHERE_IN_TIME, _choose(0.55, 0.4, terms))

    def test_absurd_cost_keeps_late_calls_at_home(self) -> None:
        terms = CrossingTerms(cost_s=4_000.0, time_left_s=0.6)
        self.assertEqual(Reason.CROSSING_TOO_DEAR, _choose(5.0, 0.1, terms))

    def test_zone_without_members_uses_the_others(self) -> None:
        self.assertEqual(Reason.ONLY_ELSEWHERE, _choose(None, 0.2))
        self.assertEqual(Reason.ONLY_HOME, _choose(9.0, None))


class StateTest(testtools.TestCase):
    """Tests of what the balancer knows when a crossing has a cost."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.balancer = Balancer(
            node_id="caller",
            availability_zone="z0",
            region="r",
            clock=self.clock,
            rng=random.Random(1),
        )

    def _picked(self, members: list[Member], **options: object) -> Member:
        choice = self.balancer.pick_by_zone(members, terms=_TERMS, **options)
        return choice.candidate.member

    def test_all_members_of_the_zone_are_compared(self) -> None:
        # Guards against a sample that misses the only free member of the zone.
        home = [_member(f"h{i}") for i in range(15)]
        others = [_member(f"e{i}", f"z{1 + i % 2}") for i in range(30)]
        for member in home:
            self.balancer.record_gate_state(member.node_id, 9, GateResults(0.2))
        self.balancer.record_gate_state("h7", 0, GateResults(0.2))
        for _ in range(50):
            self.assertEqual("h7", self._picked(home + others).node_id)

    def test_own_calls_count_before_any_report(self) -> None:
        # Guards against a herd: calls that start at once go to different members.
        home = [_member(f"h{i}") for i in range(12)]
        counts: Counter[str] = Counter()
        for _ in range(36):
            member = self._picked(home)
            self.balancer.started(member.node_id)
            counts[member.node_id] += 1
        self.assertEqual(({3}, 12), (set(counts.values()), len(counts)))

    def test_refused_attempt_is_not_taken_for_a_running_one(self) -> None:
        # The gate's number of calls doesn't include an attempt that it refused; taking
        # it off at the attempt's end made full gates look as if they had a free slot.
        members = [_member("full"), _member("free")]
        self.balancer.started("full")
        self.balancer.record_gate_state("full", 3, GateResults(0.2), refused=True)
        self.balancer.finished("full", failed=False)
        self.balancer.record_gate_state("free", 2, GateResults(0.2))
        for _ in range(50):
            self.assertEqual("free", self._picked(members).node_id)

    def test_failed_members_are_avoided_while_there_are_others(self) -> None:
        members = [_member("a"), _member("b", "z1")]
        excluded = frozenset({"a"})
        self.assertEqual("b", self._picked(members, excluded=excluded).node_id)
        excluded = frozenset({"a", "b"})
        self.assertEqual("a", self._picked(members, excluded=excluded).node_id)

    def test_ejected_members_of_the_zone_are_avoided(self) -> None:
        members = [_member("bad"), _member("good"), _member("other", "z1")]
        for _ in range(5):
            self.balancer.started("bad")
            self.balancer.finished("bad", failed=True)
        for _ in range(50):
            self.assertEqual("good", self._picked(members).node_id)

    def test_places_that_members_left_are_forgotten(self) -> None:
        # Guards against an entry for each zone and service that a member ever had.
        for member in (
            _member("a"),
            _member("a", "z1"),
            _member("a", "z1")._replace(service="other"),
            _member("b", "z1")._replace(service="other"),
            _member("b", "z2"),
        ):
            self._picked([member])
            self.balancer.record_gate_state(member.node_id, 3, GateResults(0.2))
        known = {("other", "z1"), ("work", "z2")}
        self.assertEqual(known, set(self.balancer._zone_loads._loads))


class ZoneFirstAttemptsTest(testtools.TestCase):
    """Tests of the attempts of a call whose zone crossing has a cost."""

    def _after_full(self, state: RetryState, node_id: str, *, crossed: bool = False):
        failure = Failure(Verdict.NOT_RUN, "queue_full")
        return state.after(AttemptFailure(node_id, failure, crossed))

    def test_full_gates_stay_candidates_for_queueing(self) -> None:
        # Guards against calls that leave a zone because its gates are full, though they
        # would get a slot there shortly.
        state = RetryState(1, 4, 3, zone_first=True, crossing_asks_left=2)
        state = self._after_full(state, "h1")
        self.assertEqual(frozenset(), state.excluded)
        self.assertTrue(state.may_wait_at("h1", crossed=False))
        self.assertFalse(state.may_wait_at("h2", crossed=False))

    def test_zones_are_asked_apart(self) -> None:
        state = RetryState(1, 4, 2, zone_first=True, crossing_asks_left=1)
        state = self._after_full(state, "e1", crossed=True)
        self.assertTrue(state.may_wait_at("e2", crossed=True))
        self.assertFalse(state.may_wait_at("h1", crossed=False))
        for node_id in ("h1", "h2"):
            state = self._after_full(state, node_id)
        self.assertTrue(state.may_wait_at("h3", crossed=False))

    def test_call_ends_after_two_full_queues(self) -> None:
        state = RetryState(1, 4, 0, zone_first=True)
        state = self._after_full(state, "h1")
        self.assertEqual({"h1"}, state.excluded)
        self.assertIsNone(self._after_full(state, "h2"))

    def test_call_that_queued_in_vain_only_takes_free_slots(self) -> None:
        state = RetryState(1, 4, 0, zone_first=True)
        failure = Failure(Verdict.NOT_RUN, "too_late_to_wait")
        state = state.after(AttemptFailure("h1", failure))
        self.assertEqual({"h1"}, state.excluded)
        for node_id in ("h2", "e1"):
            self.assertIsNotNone(state)
            self.assertFalse(state.may_wait_at(node_id, crossed=node_id == "e1"))
            state = self._after_full(state, node_id)
        self.assertIsNone(state)


class ReplayTest(testtools.TestCase):
    """Replays loads with the cost of a crossing and without it."""

    def _replay(self, load: Load) -> tuple[Figures, Figures]:
        """Return the figures of the earlier choice and of the choice by cost."""
        before, after = (
            Replay(load, zone_cost=zone_cost).run() for zone_cost in (0.0, _COST)
        )
        return before, after

    def test_uneven_demand_below_capacity_stays_in_its_zones(self) -> None:
        before, after = self._replay(Load(0.7, duration_s=12.0))
        self.assertGreater(before.crossing, 0.3)
        self.assertLess(after.crossing, 0.02)
        self.assertEqual((1.0, 1.0), (before.in_time, after.in_time))
        self.assertLess(after.attempts, before.attempts)

    def test_at_capacity_only_the_surplus_of_the_busiest_zone_crosses(self) -> None:
        before, after = self._replay(Load(1.0, duration_s=8.0))
        self.assertGreater(before.crossing, 0.5)
        self.assertLess(after.crossing, 0.09)
        self.assertLess(after.p99_s, before.p99_s)
        self.assertGreater(after.in_time, before.in_time - 0.01)

    def test_overload_doesnt_send_calls_back_and_forth(self) -> None:
        before, after = self._replay(Load(1.3, duration_s=6.0))
        self.assertLess(after.crossing, 0.1)
        self.assertLess(after.crossing_attempts, before.crossing_attempts * 0.5)
        self.assertGreater(after.in_time, before.in_time - 0.01)

    def test_peak_of_one_zone_uses_the_others(self) -> None:
        # Two thirds of the calls in one zone: 1.4 times what it can serve.
        load = Load(0.7, demands=(400.0, 100.0, 100.0), duration_s=6.0)
        _, after = self._replay(load)
        self.assertGreater(after.crossing, 0.15)
        self.assertLess(after.crossing, 0.3)
        self.assertGreater(after.in_time, 0.99)

    def test_zone_without_backend_servers_is_served_by_the_others(self) -> None:
        load = Load(0.7, servers=(0, 12, 12), demands=(1.0, 1.0, 1.0), duration_s=4.0)
        _, after = self._replay(load)
        self.assertGreater(after.in_time, 0.99)


class RemainingWorkTest(testtools.TestCase):
    """Replays heavy-tailed loads with reports of remaining work and of calls only."""

    def _replay(self, load: Load) -> tuple[Figures, Figures]:
        """Return the figures by numbers of calls and by remaining work."""
        by_calls = Replay(load, zone_cost=_COST, reports_work=False).run()
        return by_calls, Replay(load, zone_cost=_COST).run()

    def test_calls_avoid_servers_with_long_requests(self) -> None:
        # One call of 25 costs seven times as much as the others of its route.
        load = Load(0.85, heavy_share=0.04, duration_s=12.0)
        by_calls, by_work = self._replay(load)
        self.assertGreater(by_work.in_time, by_calls.in_time)
        self.assertLess(by_work.crossing, by_calls.crossing)

    def test_uneven_demand_at_capacity(self) -> None:
        by_calls, by_work = self._replay(Load(1.0, duration_s=12.0))
        self.assertGreater(by_work.in_time, by_calls.in_time)
        self.assertLess(by_work.p50_s, by_calls.p50_s)

    def test_report_of_work_decides_between_equal_numbers_of_calls(self) -> None:
        balancer = Balancer(
            node_id="caller",
            availability_zone="z0",
            region="r",
            clock=ManualClock(),
            rng=random.Random(1),
        )
        members = [_member("long"), _member("short")]
        balancer.record_gate_state("long", 4, GateResults(0.2, 0.0, 2.4))
        balancer.record_gate_state("short", 4, GateResults(0.2, 0.0, 0.5))
        for _ in range(20):
            choice = balancer.pick_by_zone(members, terms=_TERMS)
            self.assertEqual("short", choice.candidate.member.node_id)
            self.assertEqual("short", balancer.pick(members).node_id)

    def test_own_calls_since_the_report_are_added(self) -> None:
        balancer = Balancer(
            node_id="caller",
            availability_zone="z0",
            region="r",
            clock=ManualClock(),
            rng=random.Random(1),
        )
        members = [_member("a"), _member("b")]
        for member in members:
            balancer.record_gate_state(member.node_id, 3, GateResults(0.2, 0.0, 0.4))
        for _ in range(2):
            balancer.started("a")
        choice = balancer.pick_by_zone(members, terms=_TERMS)
        self.assertEqual("b", choice.candidate.member.node_id)


class LongRequestsTest(testtools.TestCase):
    """Replays heavy-tailed loads with and without regard to long requests."""

    def test_short_requests_are_blocked_less(self) -> None:
        load = Load(0.85, heavy_share=0.04, duration_s=12.0, timeout_s=4.0)
        before, after = (self._means(load, tells_long=t) for t in (False, True))
        self.assertLess(after.short_p99_s, before.short_p99_s * 0.9)
        self.assertGreater(after.short_in_time, before.short_in_time)
        # Guards against long requests that starve behind short ones.
        self.assertLess(after.long_p99_s, load.timeout_s * 0.8)

    def _means(self, load: Load, *, tells_long: bool) -> Figures:
        """Return the means over seeds, as one has only some 200 long requests."""
        figures = [
            Replay(load, zone_cost=_COST, seed=seed, tells_long=tells_long).run()
            for seed in (1, 2, 3)
        ]
        columns = zip(*figures, strict=True)
        return Figures(*(statistics.mean(column) for column in columns))
