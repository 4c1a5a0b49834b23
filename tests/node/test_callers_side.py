"""Tests of the composition of a node's side towards callers."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.node.callers_side import forget_dead
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.balancer import Balancer


class ForgetDeadTest(testtools.TestCase):
    """Tests that no state is kept of nodes that are gone."""

    def test_only_of_the_dead(self) -> None:
        clock = ManualClock()
        own = Member("own", "h", 1, "r", "z", 1)
        table = MembershipTable(own, clock=clock)
        balancer = Balancer(
            availability_zone="z", region="r", clock=clock, rng=random.Random(1)
        )
        table.subscribe(forget_dead(balancer))
        quick, slow = (own._replace(node_id=name) for name in ("quick", "slow"))
        for member, service_s in ((quick, 0.1), (slow, 0.4)):
            table.merge(member)
            balancer.record_load(member.node_id, 0, GateResults(service_s))

        def picks() -> set[Member]:
            return {balancer.pick([quick, slow]) for _ in range(50)}

        table.suspect("slow")
        self.assertEqual({quick}, picks())
        table.confirm_dead("slow", incarnation=1)
        self.assertEqual({quick, slow}, picks())
