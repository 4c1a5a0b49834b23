"""Tests of broadcast trees, retry delays, retry budgets and token buckets."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.backoff import (
    FleetRetryBudget,
    RetryBudget,
    TokenBucket,
    full_jitter,
)
from burdockdock.coordination.tree import children, entry_nodes, rank


class TreeTest(testtools.TestCase):
    """Tests of broadcasts to 300 nodes in three availability zones."""

    def setUp(self) -> None:
        super().setUp()
        self.zones = [[f"n{z}-{i}" for i in range(100)] for z in range(3)]

    def _reached(self, salts: tuple[str, ...], dead: set[str]) -> tuple[set[str], int]:
        """Simulate a broadcast from one node.

        :returns: the reached nodes and the largest number of hops.
        """
        origin = self.zones[0][0]
        orders = {
            salt: [sorted(zone, key=lambda n: rank(n, salt)) for zone in self.zones]
            for salt in salts
        }
        reached = {origin: 0}
        queue = [origin]
        while queue:
            node_id = queue.pop(0)
            targets = []
            for salt in salts:
                if node_id == origin:
                    targets += entry_nodes(orders[salt])
                order = next(order for order in orders[salt] if node_id in order)
                targets += children(order, order.index(node_id))
            for target in targets:
                if target not in reached and target not in dead:
                    reached[target] = reached[node_id] + 1
                    queue.append(target)
        return set(reached), max(reached.values())

    def test_broadcast_reaches_all_nodes_in_few_hops(self) -> None:
        reached, depth = self._reached(("first",), set())
        self.assertEqual(300, len(reached))
        self.assertLessEqual(depth, 4)

    def test_second_tree_reaches_nodes_below_dead_members(self) -> None:
        all_nodes = [node_id for zone in self.zones for node_id in zone]
        dead = set(random.Random(5).sample(all_nodes[1:], 30))
        reached_by_one, _ = self._reached(("first",), dead)
        reached_by_two, _ = self._reached(("first", "second"), dead)
        self.assertLess(len(reached_by_one), 270)
        self.assertGreaterEqual(len(reached_by_two), 267)


class BackoffTest(testtools.TestCase):
    """Tests of retry delays, retry budgets and token buckets."""

    def test_jitter_stays_below_its_bound(self) -> None:
        rng = random.Random(1)
        for attempt in range(50):
            delay_s = full_jitter(attempt, base_s=0.1, cap_s=5, rng=rng)
            self.assertTrue(0 <= delay_s <= min(5, 0.1 * 2**attempt))

    def test_retries_stay_a_share_of_the_calls(self) -> None:
        budget = RetryBudget(share=0.1, reserve=5)
        spent = 0
        for _ in range(1000):
            budget.record_call()
            spent += budget.try_spend()
        self.assertLessEqual(spent, 105)

    def test_fleet_keeps_one_budget_without_communication(self) -> None:
        for nodes in (3, 13, 40):
            share, reserve = 0.1, 40.0
            fleet = [
                FleetRetryBudget(share=share, reserve=reserve, nodes=lambda n=nodes: n)
                for _ in range(nodes)
            ]
            calls, spent = 10 * nodes, 0
            for budget in fleet * 10:
                budget.record_call("desk")
                spent += budget.try_spend("desk") + budget.try_spend("desk")
            self.assertLessEqual(spent, calls * share + max(reserve, nodes))

    def test_calls_to_one_service_fund_no_retries_of_another(self) -> None:
        budget = FleetRetryBudget(share=0.1, reserve=3.0, nodes=lambda: 1)
        for _ in range(1000):
            budget.record_call("desk")
        budget.record_call("vault")
        self.assertEqual(3, sum(budget.try_spend("vault") for _ in range(50)))
        self.assertFalse(budget.try_spend("never called"))

    def test_bucket_refills_with_time(self) -> None:
        clock = ManualClock()
        bucket = TokenBucket(rate_per_s=10, burst=2, clock=clock)
        self.assertEqual([True, True, False], [bucket.try_take() for _ in range(3)])
        clock.advance(0.1)
        self.assertTrue(bucket.try_take())
