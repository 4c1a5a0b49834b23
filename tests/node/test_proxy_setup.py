"""Tests of the construction of the proxy of a node."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.node.proxy_setup import forget_dead_nodes
from burdockdock.protocol.calls import GateResults
from burdockdock.proxy.balancer import Balancer


class ForgetDeadNodesTest(testtools.TestCase):
    """Tests that the balancer drops its state of dead nodes."""

    def test_forgets_dead_but_not_suspected_nodes(self) -> None:
        clock = ManualClock()
        own = Member("own", "h", 1, "r", "z", 1)
        table = MembershipTable(own, clock=clock)
        balancer = Balancer(
            availability_zone="z", region="r", clock=clock, rng=random.Random(1)
        )
        table.subscribe(forget_dead_nodes(balancer))
        quick, slow = (own._replace(node_id=name) for name in ("quick", "slow"))
        for member, service_s in ((quick, 0.1), (slow, 0.4)):
            table.merge(member)
            balancer.record_gate_state(member.node_id, 0, GateResults(service_s))

        def picks() -> set[Member]:
            return {balancer.pick([quick, slow]) for _ in range(50)}

        table.suspect("slow")
        self.assertEqual({quick}, picks())
        table.confirm_dead("slow", incarnation=1)
        self.assertEqual({quick, slow}, picks())
