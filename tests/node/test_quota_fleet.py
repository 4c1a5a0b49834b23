"""Quotas over 83 nodes in virtual time: never above the bound, 0.95 of the quota.

``python -m tests.node.quota_scenarios`` runs longer, with more seeds and faults.
"""

import testtools

from tests.node.quota_scenarios import (
    Outcome,
    kills,
    no_faults,
    run_scenario,
    zone_cut_off,
)

_LEAST_ADMITTED = 0.95


class QuotaFleetTest(testtools.TestCase):
    """Tests with 86 workspaces of skewed size, one at 6 times its usual load."""

    def _assert_within_bound(self, outcome: Outcome) -> None:
        self.assertLessEqual(outcome.tolerance_used, 1, outcome)

    def test_nodes_are_killed_and_come_back(self) -> None:
        """Guards against refusals within the quotas, and against two grantors."""
        outcome = run_scenario(kills, seed=4, duration_s=10.0, burst_s=1.0)
        self._assert_within_bound(outcome)
        self.assertGreaterEqual(outcome.admitted, _LEAST_ADMITTED, outcome)

    def test_the_hot_workspace_gets_its_quota(self) -> None:
        """Guards against tokens that expire unused while callers are refused."""
        outcome = run_scenario(no_faults, seed=2, duration_s=6.0, burst_s=0.5)
        self._assert_within_bound(outcome)
        self.assertGreaterEqual(outcome.hot_admitted, _LEAST_ADMITTED, outcome)

    def test_a_zone_is_cut_off(self) -> None:
        """Guards against parts of the fleet that together exceed the bound."""
        for seed in (2, 3):
            outcome = run_scenario(
                zone_cut_off, seed=seed, duration_s=9.0, burst_s=0.0, moves=False
            )
            self._assert_within_bound(outcome)
