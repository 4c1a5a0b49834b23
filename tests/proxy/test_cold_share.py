"""Tests of what one node sends to cold members."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.cold_share import ColdShares, share_interval_s
from burdockdock.proxy.placement import CrossingTerms

_RATE_PER_S = 8.0
_NODES = 20


def _member(node_id: str, *, cold: bool = False) -> Member:
    return Member(
        node_id, "h", 1, "r", "z", 1, ready=True, service="work", slots=4, cold=cold
    )


class ColdShareTest(testtools.TestCase):
    """Tests of the share, and of the choice that follows from it."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.rates = {"work": _RATE_PER_S}
        self.shares = self._shares(1)

    def _shares(self, seed: int) -> ColdShares:
        return ColdShares(
            clock=self.clock,
            rng=random.Random(seed),
            rate_of=lambda service: self.rates.get(service, 0.0),
            nodes=lambda: _NODES,
        )

    def test_interval_is_that_of_an_equal_share(self) -> None:
        self.assertEqual(2.5, share_interval_s(_RATE_PER_S, _NODES))
        self.assertEqual(0.125, share_interval_s(_RATE_PER_S, 0))

    def test_cold_member_gets_no_more_than_the_share(self) -> None:
        cold, warm = _member("c", cold=True), _member("w")
        sent = 0
        for _ in range(10_000):
            self.clock.advance(0.01)
            if cold in self.shares.within_share([cold, warm]):
                self.shares.sent(cold)
                sent += 1
        self.assertAlmostEqual(100.0 * _RATE_PER_S / _NODES, sent, delta=2)

    def test_nodes_do_not_begin_together(self) -> None:
        # Guards against one call of each node at the moment when a member turns cold.
        cold, warm = _member("c", cold=True), _member("w")
        starting = sum(
            cold in self._shares(seed).within_share([cold, warm]) for seed in range(100)
        )
        self.assertLess(starting, 5)

    def test_all_members_cold(self) -> None:
        # Guards against refused calls while the gates still have room.
        members = [_member("c", cold=True), _member("d", cold=True)]
        self.assertEqual(members, self.shares.within_share(members))

    def test_warm_members_and_services_without_a_rate_are_not_limited(self) -> None:
        warm = [_member("v"), _member("w")]
        self.assertIs(warm, self.shares.within_share(warm))
        self.rates.clear()
        members = [_member("c", cold=True), _member("w")]
        for _ in range(5):
            self.assertEqual(members, self.shares.within_share(members))
            self.shares.sent(members[0])

    def test_member_that_refused_is_left_out_for_a_moment(self) -> None:
        # Guards against a gate that refuses, looks idle and so gets the most calls.
        members = [_member("v"), _member("w")]
        self.shares.refused("v")
        self.assertEqual(members[1:], self.shares.within_share(members))
        self.assertEqual(members[:1], self.shares.within_share(members[:1]))
        self.clock.advance(0.3)
        self.assertEqual(members, self.shares.within_share(members))
        self.assertIs(members, self.shares.within_share(members))

    def test_balancer_sends_the_rest_to_warm_members(self) -> None:
        balancer = Balancer(
            availability_zone="z",
            region="r",
            clock=self.clock,
            rng=random.Random(1),
            cold_shares=self.shares,
        )
        members = [_member("c", cold=True), _member("w")]
        terms = CrossingTerms(0.1, 1.0)
        for pick in (
            lambda: balancer.pick(members),
            lambda: balancer.pick_by_zone(members, terms=terms).candidate.member,
        ):
            chosen = []
            for _ in range(2000):
                self.clock.advance(0.01)
                chosen.append(pick().node_id)
            self.assertLessEqual(chosen.count("c"), 20.0 * _RATE_PER_S / _NODES + 1)
            self.assertGreater(chosen.count("c"), 3)
