"""Tests of the choice of backend servers."""

import random
from collections import Counter

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.pool import Place, Pool


def _member(node_id: str, **fields: object) -> Member:
    values = {
        "host": "h",
        "port": 1,
        "region": "r",
        "availability_zone": "z1",
        "incarnation": 1,
        "ready": True,
        "service": "desk",
        "service_version": "1",
        "slots": 4,
        **fields,
    }
    return Member(node_id, **values)


class EndpointsTest(testtools.TestCase):
    """Tests of the index of endpoints."""

    def setUp(self) -> None:
        super().setUp()
        own = Member("own", "h", 1, "r", "z1", 1)
        self.table = MembershipTable(own, clock=ManualClock())
        self.weights: dict[str, float] = {}
        self.endpoints = Endpoints(
            self.table, weights_of=lambda _: self.weights, rng=random.Random(1)
        )

    def _ids(self) -> set[str]:
        return {m.node_id for m in self.endpoints.of_service("desk")}

    def test_leaving_unready_and_dead_members_get_no_work(self) -> None:
        for node_id, fields in (
            ("a", {}),
            ("b", {"leaving": True}),
            ("c", {"ready": False}),
            ("d", {"state": MemberState.DEAD}),
            ("e", {"state": MemberState.SUSPECT}),
        ):
            self.table.merge(_member(node_id, **fields))
        self.assertEqual({"a"}, self._ids())

    def test_suspects_are_used_when_no_other_is_left(self) -> None:
        self.table.merge(_member("a"))
        self.table.suspect("a")
        self.assertEqual({"a"}, self._ids())

    def test_version_of_weight_zero_gets_no_call_even_alone(self) -> None:
        self.table.merge(_member("a", service_version="2"))
        self.weights.update({"1": 1.0, "2": 0.0})
        self.assertEqual([], self.endpoints.for_call("desk"))

    def test_calls_follow_the_weights(self) -> None:
        self.table.merge(_member("a"))
        self.table.merge(_member("b", service_version="2"))
        self.weights.update({"1": 0.9, "2": 0.1})
        drawn = [self.endpoints.for_call("desk")[0].node_id for _ in range(5000)]
        self.assertTrue(400 < drawn.count("b") < 600, drawn.count("b"))


class IndexTest(testtools.TestCase):
    """Tests that the index says the same as the membership after any change."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        own = Member("own", "h", 1, "r", "z1", 1)
        self.table = MembershipTable(own, clock=self.clock, tombstone_s=900.0)
        self.endpoints = Endpoints(
            self.table, weights_of=lambda _: {}, rng=random.Random(1)
        )
        self.rng = random.Random(9)
        self.incarnations: Counter[str] = Counter()

    def _change_one(self) -> None:
        """Change a member at random, to any service, version and state."""
        node_id = f"n{self.rng.randrange(30)}"
        action = self.rng.randrange(4)
        if action == 0:
            self.table.suspect(node_id)
            return
        if action == 1:
            known = self.table.get(node_id)
            incarnation = known.incarnation if known is not None else 0
            self.table.confirm_dead(node_id, incarnation=incarnation)
            return
        self.incarnations[node_id] += 1
        update = _member(
            node_id,
            incarnation=self.incarnations[node_id],
            availability_zone=self.rng.choice(("z1", "z2")),
            service=self.rng.choice(("desk", "desk", "vault", "")),
            service_version=self.rng.choice("123"),
            ready=self.rng.random() < 0.8,
            leaving=self.rng.random() < 0.2,
            slots=self.rng.randrange(5),
        )
        self.table.merge(update)

    def _expected(self, service: str) -> list[Member]:
        members = [m for m in self.table if m.service == service]
        alive = [m for m in members if m.takes_work]
        suspects = [m for m in members if m.state is MemberState.SUSPECT]
        return alive or [m for m in suspects if m.ready and not m.leaving]

    def _check(self) -> None:
        for service in ("desk", "vault"):
            expected = self._expected(service)
            self.assertEqual(
                sorted(expected), sorted(self.endpoints.of_service(service))
            )
            self.assertEqual(sorted(expected), sorted(self.endpoints.for_call(service)))
            slots: Counter[str] = Counter()
            for member in expected:
                slots[member.service_version] += max(1, member.slots)
            self.assertEqual(slots, self.endpoints.slots(service))
            counts = Counter(m.service_version for m in expected)
            self.assertEqual(counts, self.endpoints.counts().get(service, {}))

    def test_it_follows_each_change(self) -> None:
        for _ in range(3000):
            self._change_one()
            self._check()

    def test_one_built_late_knows_the_same(self) -> None:
        for _ in range(300):
            self._change_one()
        self.endpoints = Endpoints(
            self.table, weights_of=lambda _: {}, rng=random.Random(1)
        )
        self._check()

    def test_services_and_members_that_are_gone_leave_nothing(self) -> None:
        for i in range(50):
            self.table.merge(_member(f"n{i}", service=f"s{i}", service_version=str(i)))
        self.assertEqual(50, len(self.endpoints.counts()))
        for i in range(50):
            self.table.suspect(f"n{i}")
            self.table.confirm_dead(f"n{i}", incarnation=1)
        self.assertEqual({}, self.endpoints.counts())
        self.clock.advance(1000)
        self.assertEqual(50, self.table.remove_expired())
        self.table.merge(_member("n0", service="s0", incarnation=2))
        self.assertEqual({"s0": {"1": 1}}, self.endpoints.counts())


class CanaryTest(testtools.TestCase):
    """Tests of the few backend servers that take a new version's first calls."""

    def setUp(self) -> None:
        super().setUp()
        own = Member("own", "h", 1, "r", "z1", 1)
        self.table = MembershipTable(own, clock=ManualClock())
        for i in range(7):
            self.table.merge(_member(f"old-{i}"))
            self.table.merge(_member(f"new-{i}", service_version="2"))
        self.share = 0.0
        self.endpoints = Endpoints(
            self.table,
            weights_of=lambda _: {"1": 1.0 - self.share, "2": self.share},
            rng=random.Random(1),
            new_version_of=lambda _: "2",
        )

    def _new_ids(self, *, calls: int = 400, **options: object) -> set[str]:
        """Return the members of the new version that may take some of the calls."""
        drawn = [self.endpoints.for_call("desk", **options) for _ in range(calls)]
        return {m.node_id for ms in drawn for m in ms if m.service_version == "2"}

    def test_a_small_share_loads_its_members_as_the_whole_would(self) -> None:
        for self.share in (0.01, 0.02, 0.05, 0.1, 0.25):
            count = len(self._new_ids())
            self.assertEqual(1 if self.share <= 0.1 else 2, count)
            if self.share >= 0.1:
                self.assertGreaterEqual(self.share / count, 0.7 / 7)
        self.share = 0.5
        self.assertEqual(7, len(self._new_ids()))

    def test_other_members_stand_for_the_version_at_each_share(self) -> None:
        seen = set()
        for self.share in (0.01, 0.02, 0.05, 0.1, 0.25):
            seen |= self._new_ids()
        self.assertGreaterEqual(len(seen), 3)

    def test_a_call_without_room_there_goes_to_the_others(self) -> None:
        self.share = 0.1
        first = self._new_ids()
        self.assertEqual(1, len(first))
        self.assertEqual(7, len(self._new_ids(full=frozenset(first))))

    def test_the_few_are_found_anew_when_members_change(self) -> None:
        self.share = 0.25
        few = self._new_ids()
        self.assertEqual(2, len(few))
        gone = min(few)
        self.table.suspect(gone)
        others = self._new_ids()
        self.assertEqual(2, len(others))
        self.assertNotIn(gone, others)
        self.assertLess(few - {gone}, others)

    def test_the_old_version_and_callers_keys_are_spread_as_before(self) -> None:
        self.share = 0.1
        members = [self.endpoints.for_call("desk") for _ in range(50)]
        old = [ms for ms in members if ms[0].service_version == "1"]
        self.assertEqual({7}, {len(ms) for ms in old})
        keys = [
            self.endpoints.member_for_key("desk", f"k{i}").node_id for i in range(900)
        ]
        self.assertEqual(7, len({n for n in keys if n.startswith("new")}))


class BalancerTest(testtools.TestCase):
    """Tests of the balancer."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.balancer = Balancer(
            availability_zone="z1", region="r", clock=self.clock, rng=random.Random(2)
        )
        self.near = [_member(f"near-{i}") for i in range(2)]
        self.far = [_member(f"far-{i}", availability_zone="z2") for i in range(2)]

    def test_own_zone_first_and_spill_over_by_load(self) -> None:
        members = self.near + self.far
        chosen = []
        for _ in range(14):
            choice = self.balancer.pick(members)
            self.balancer.started(choice.node_id)
            chosen.append(choice.availability_zone)
        self.assertEqual(["z1"] * 6, chosen[:6])
        self.assertIn("z2", chosen)

    def test_failing_member_is_ejected_for_a_while(self) -> None:
        members = [*self.near, *self.far]
        for _ in range(5):
            self.balancer.started("near-0")
            self.balancer.finished("near-0", failed=True)
        picks = {self.balancer.pick(members).node_id for _ in range(50)}
        self.assertNotIn("near-0", picks)
        self.clock.advance(3)
        picks = {self.balancer.pick(members).node_id for _ in range(50)}
        self.assertIn("near-0", picks)

    def test_bad_minute_never_empties_a_service(self) -> None:
        for member in self.near:
            for _ in range(5):
                self.balancer.started(member.node_id)
                self.balancer.finished(member.node_id, failed=True)
        self.assertIsNotNone(self.balancer.pick(self.near))

    def _fail(self, *members: Member) -> None:
        for member in members:
            for _ in range(5):
                self.balancer.started(member.node_id)
                self.balancer.finished(member.node_id, failed=True)

    def test_a_sample_leaves_out_the_ejected_up_to_half_of_all(self) -> None:
        members = [_member(f"m-{i}") for i in range(64)]
        pool = Pool(Place("", "z1", "r"), members)
        for ejected, are_left_out in ((26, True), (32, True), (33, False)):
            self._fail(*members[:ejected])
            failed = {m.node_id for m in members[:ejected]}
            picks = {self.balancer.pick(pool).node_id for _ in range(600)}
            self.assertEqual(are_left_out, not picks & failed, ejected)
            self.assertGreater(len(picks), 20)
            self.clock.advance(60)

    def test_one_pick_reads_the_clock_once(self) -> None:
        pool = Pool(Place("", "z1", "r"), [_member(f"m-{i}") for i in range(64)])
        reads = []
        read = self.clock.monotonic
        self.clock.monotonic = lambda: reads.append(1) or read()
        for _ in range(10):
            self.balancer.pick(pool)
        self.assertEqual(10, len(reads))

    def test_what_a_member_that_is_gone_told_is_forgotten(self) -> None:
        slow, quick = self.near
        self.balancer.record_load(quick.node_id, 0, GateResults(0.1))
        self.balancer.record_load(slow.node_id, 0, GateResults(0.4))
        self._fail(slow)
        self.assertEqual({quick}, self._picks())
        self.balancer.forget(slow.node_id)
        self.assertEqual({slow, quick}, self._picks())

    def test_what_a_late_answer_tells_is_forgotten_with_it(self) -> None:
        slow, quick = self.near
        self.balancer.record_load(quick.node_id, 0, GateResults(0.1))
        self.balancer.started(slow.node_id)
        self.balancer.forget(slow.node_id)
        self.balancer.record_load(slow.node_id, 0, GateResults(0.4))
        self.assertEqual({quick}, self._picks())
        self.balancer.finished(slow.node_id, failed=False)
        self.assertEqual({slow, quick}, self._picks())

    def test_a_member_that_came_back_is_remembered(self) -> None:
        slow, quick = self.near
        self.balancer.record_load(quick.node_id, 0, GateResults(0.1))
        self.balancer.started(slow.node_id)
        self.balancer.forget(slow.node_id)
        self.balancer.started(slow.node_id)
        self.balancer.record_load(slow.node_id, 0, GateResults(0.4))
        for _ in range(2):
            self.balancer.finished(slow.node_id, failed=False)
        self.assertEqual({quick}, self._picks())

    def _picks(self) -> set[Member]:
        return {self.balancer.pick(self.near) for _ in range(50)}
