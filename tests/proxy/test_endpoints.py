"""Tests of the choice of backend servers."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.endpoints import Endpoints


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
