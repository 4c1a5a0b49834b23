"""Tests of the endpoint index and the load balancer."""

import random
from collections import Counter

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.pool import Locality, Pool


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
    """Tests of the choice of members for a call."""

    def setUp(self) -> None:
        super().setUp()
        own = Member("own", "h", 1, "r", "z1", 1)
        self.table = MembershipTable(own, clock=ManualClock())
        self.weights: dict[str, float] = {}
        self.endpoints = Endpoints(
            self.table, weights_of=lambda _: self.weights, rng=random.Random(1)
        )

    def _ids(self) -> set[str]:
        return {m.node_id for m in self.endpoints.members_of("desk")}

    def test_leaving_unready_and_dead_members_get_no_calls(self) -> None:
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


class ExcludedZonesTest(testtools.TestCase):
    """Tests of availability zones whose members take no calls."""

    def setUp(self) -> None:
        super().setUp()
        own = Member("own", "h", 1, "r", "z1", 1)
        self.table = MembershipTable(own, clock=ManualClock())
        self.weights: dict[str, float] = {}
        self.endpoints = Endpoints(
            self.table, weights_of=lambda _: self.weights, rng=random.Random(1)
        )
        for node_id, zone in (("a", "z1"), ("b", "z2"), ("c", "z2")):
            self.table.merge(_member(node_id, availability_zone=zone))

    def _ids(self) -> set[str]:
        return {m.node_id for m in self.endpoints.for_call("desk")}

    def test_members_come_back_when_the_zone_does(self) -> None:
        self.endpoints.exclude_zones(frozenset({"z2"}))
        self.assertEqual({"a"}, self._ids())
        self.assertEqual({"desk": {"1": 1}}, self.endpoints.counts())
        self.endpoints.exclude_zones(frozenset())
        self.assertEqual({"a", "b", "c"}, self._ids())

    def test_members_that_change_or_join_stay_out(self) -> None:
        # Guards against an update of a member that puts it back in use.
        self.endpoints.exclude_zones(frozenset({"z2"}))
        self.table.merge(_member("b", availability_zone="z2", incarnation=2, slots=9))
        self.table.merge(_member("d", availability_zone="z2"))
        self.assertEqual({"a"}, self._ids())
        self.assertEqual({"1": 4}, self.endpoints.slots("desk"))

    def test_all_zones(self) -> None:
        self.assertFalse(self.endpoints.has_excluded("desk"))
        self.endpoints.exclude_zones(frozenset({"z1", "z2"}))
        self.assertEqual([], list(self.endpoints.for_call("desk")))
        self.assertTrue(self.endpoints.has_excluded("desk"))
        self.assertFalse(self.endpoints.has_excluded("vault"))

    def test_key_selects_a_member_of_another_zone(self) -> None:
        # Guards against repetitions with a key that still reach the zone.
        keys = [f"k{i}" for i in range(50)]
        self.endpoints.exclude_zones(frozenset({"z2"}))
        chosen = {self.endpoints.member_for_key("desk", key).node_id for key in keys}
        self.assertEqual({"a"}, chosen)

    def test_version_with_no_member_elsewhere_takes_no_call(self) -> None:
        self.table.merge(_member("e", service_version="2"))
        self.weights.update({"1": 0.5, "2": 0.5})
        self.endpoints.exclude_zones(frozenset({"z2"}))
        self.table.confirm_dead("a", incarnation=1)
        self.assertEqual({"1": 4, "2": 4}, self.endpoints.slots("desk"))
        self.endpoints.exclude_zones(frozenset({"z1", "z2"}))
        self.assertEqual({}, self.endpoints.slots("desk"))


class IndexTest(testtools.TestCase):
    """Tests that the index matches the membership after any change."""

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
        """Change a random member to a random service, version or state."""
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

    def _assert_index_matches_membership(self) -> None:
        for service in ("desk", "vault"):
            expected = self._expected(service)
            self.assertEqual(
                sorted(expected), sorted(self.endpoints.members_of(service))
            )
            self.assertEqual(sorted(expected), sorted(self.endpoints.for_call(service)))
            slots: Counter[str] = Counter()
            for member in expected:
                slots[member.service_version] += max(1, member.slots)
            self.assertEqual(slots, self.endpoints.slots(service))
            counts = Counter(m.service_version for m in expected)
            self.assertEqual(counts, self.endpoints.counts().get(service, {}))

    def test_index_matches_membership_after_each_change(self) -> None:
        for _ in range(3000):
            self._change_one()
            self._assert_index_matches_membership()

    def test_index_built_from_existing_members_is_the_same(self) -> None:
        for _ in range(300):
            self._change_one()
        self.endpoints = Endpoints(
            self.table, weights_of=lambda _: {}, rng=random.Random(1)
        )
        self._assert_index_matches_membership()

    def test_dead_members_and_empty_services_are_removed(self) -> None:
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
    """Tests of the subset of members that takes a new version's first calls."""

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

    def _new_version_ids(self, *, calls: int = 400, **options: object) -> set[str]:
        """Return the ids of the new version's members that may take the calls."""
        drawn = [self.endpoints.for_call("desk", **options) for _ in range(calls)]
        return {m.node_id for ms in drawn for m in ms if m.service_version == "2"}

    def test_canaries_of_a_small_share_are_loaded_as_with_all_traffic(self) -> None:
        for self.share in (0.01, 0.02, 0.05, 0.1, 0.25):
            count = len(self._new_version_ids())
            self.assertEqual(1 if self.share <= 0.1 else 2, count)
            if self.share >= 0.1:
                self.assertGreaterEqual(self.share / count, 0.7 / 7)
        self.share = 0.5
        self.assertEqual(7, len(self._new_version_ids()))

    def test_each_share_selects_other_canaries(self) -> None:
        seen = set()
        for self.share in (0.01, 0.02, 0.05, 0.1, 0.25):
            seen |= self._new_version_ids()
        self.assertGreaterEqual(len(seen), 3)

    def test_other_members_take_calls_when_all_canaries_are_full(self) -> None:
        self.share = 0.1
        canaries = self._new_version_ids()
        self.assertEqual(1, len(canaries))
        self.assertEqual(7, len(self._new_version_ids(full=frozenset(canaries))))

    def test_canaries_are_selected_again_after_a_member_change(self) -> None:
        self.share = 0.25
        canaries = self._new_version_ids()
        self.assertEqual(2, len(canaries))
        suspected = min(canaries)
        self.table.suspect(suspected)
        others = self._new_version_ids()
        self.assertEqual(2, len(others))
        self.assertNotIn(suspected, others)
        self.assertLess(canaries - {suspected}, others)

    def test_old_version_and_calls_with_keys_use_all_members(self) -> None:
        self.share = 0.1
        members = [self.endpoints.for_call("desk") for _ in range(50)]
        old = [ms for ms in members if ms[0].service_version == "1"]
        self.assertEqual({7}, {len(ms) for ms in old})
        keys = [
            self.endpoints.member_for_key("desk", f"k{i}").node_id for i in range(900)
        ]
        self.assertEqual(7, len({n for n in keys if n.startswith("new")}))


class BalancerTest(testtools.TestCase):
    """Tests of the load balancer."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.balancer = Balancer(
            availability_zone="z1", region="r", clock=self.clock, rng=random.Random(2)
        )
        self.near = [_member(f"near-{i}") for i in range(2)]
        self.far = [_member(f"far-{i}", availability_zone="z2") for i in range(2)]

    def test_own_zone_is_preferred_until_it_is_loaded(self) -> None:
        members = self.near + self.far
        chosen = []
        for _ in range(14):
            choice = self.balancer.pick(members)
            self.balancer.started(choice.node_id)
            chosen.append(choice.availability_zone)
        self.assertEqual(["z1"] * 6, chosen[:6])
        self.assertIn("z2", chosen)

    def test_failing_member_is_ejected_temporarily(self) -> None:
        members = [*self.near, *self.far]
        for _ in range(5):
            self.balancer.started("near-0")
            self.balancer.finished("near-0", failed=True)
        picks = {self.balancer.pick(members).node_id for _ in range(50)}
        self.assertNotIn("near-0", picks)
        self.clock.advance(3)
        picks = {self.balancer.pick(members).node_id for _ in range(50)}
        self.assertIn("near-0", picks)

    def test_ejection_never_leaves_a_service_without_members(self) -> None:
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

    def test_ejected_members_are_left_out_of_a_sample_up_to_half_the_pool(self) -> None:
        members = [_member(f"m-{i}") for i in range(64)]
        pool = Pool(Locality("", "z1", "r"), members)
        for ejected, left_out in ((26, True), (32, True), (33, False)):
            self._fail(*members[:ejected])
            failed = {m.node_id for m in members[:ejected]}
            picks = {self.balancer.pick(pool).node_id for _ in range(600)}
            self.assertEqual(left_out, not picks & failed, ejected)
            self.assertGreater(len(picks), 20)
            self.clock.advance(60)

    def test_one_pick_reads_the_clock_once(self) -> None:
        pool = Pool(Locality("", "z1", "r"), [_member(f"m-{i}") for i in range(64)])
        reads = []
        read_clock = self.clock.monotonic
        self.clock.monotonic = lambda: reads.append(1) or read_clock()
        for _ in range(10):
            self.balancer.pick(pool)
        self.assertEqual(10, len(reads))

    def test_reports_and_failures_of_a_departed_member_are_dropped(self) -> None:
        slow, fast = self.near
        self.balancer.record_gate_state(fast.node_id, 0, GateResults(0.1))
        self.balancer.record_gate_state(slow.node_id, 0, GateResults(0.4))
        self._fail(slow)
        self.assertEqual({fast}, self._picks())
        self.balancer.forget(slow.node_id)
        self.assertEqual({slow, fast}, self._picks())

    def test_late_report_of_a_departed_member_is_dropped(
        self,
    ) -> None:
        slow, fast = self.near
        self.balancer.record_gate_state(fast.node_id, 0, GateResults(0.1))
        self.balancer.started(slow.node_id)
        self.balancer.forget(slow.node_id)
        self.balancer.record_gate_state(slow.node_id, 0, GateResults(0.4))
        self.assertEqual({fast}, self._picks())
        self.balancer.finished(slow.node_id, failed=False)
        self.assertEqual({slow, fast}, self._picks())

    def test_reports_of_a_member_that_returned_are_kept(self) -> None:
        slow, fast = self.near
        self.balancer.record_gate_state(fast.node_id, 0, GateResults(0.1))
        self.balancer.started(slow.node_id)
        self.balancer.forget(slow.node_id)
        self.balancer.started(slow.node_id)
        self.balancer.record_gate_state(slow.node_id, 0, GateResults(0.4))
        for _ in range(2):
            self.balancer.finished(slow.node_id, failed=False)
        self.assertEqual({fast}, self._picks())

    def _picks(self) -> set[Member]:
        return {self.balancer.pick(self.near) for _ in range(50)}
