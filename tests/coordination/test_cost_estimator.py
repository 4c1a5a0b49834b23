"""Tests of the estimates of what requests cost."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.cost_estimator import (
    CostEstimator,
    RequestKind,
    size_class,
)


class CostEstimatorTest(testtools.TestCase):
    """Tests that estimates follow what predicts the cost."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.estimator = CostEstimator(clock=self.clock)
        self.rng = random.Random(4)

    def _learn(self, kind: RequestKind, seconds_s: float, *, count: int) -> None:
        for _ in range(count):
            self.estimator.record(kind, seconds_s * self.rng.uniform(0.8, 1.2))

    def test_method_size_and_workspace_tell_costs_apart(self) -> None:
        base = RequestKind("r", "GET", 0, "w")
        for heavy in (
            base._replace(method="POST"),
            base._replace(size_class=4),
            base._replace(workspace="v"),
        ):
            self.estimator = CostEstimator(clock=self.clock)
            for _ in range(60):
                self._learn(base, 0.1, count=9)
                self._learn(heavy, 0.7, count=1)
            ratio = self.estimator.estimate_s(heavy) / self.estimator.estimate_s(base)
            self.assertGreater(ratio, 3.5, heavy)

    def test_kind_without_requests_has_the_mean_of_its_route(self) -> None:
        kind = RequestKind("r", "GET", 0, "w")
        self._learn(kind, 0.2, count=50)
        other = RequestKind("r", "PUT", 3, "v")
        self.assertAlmostEqual(0.2, self.estimator.estimate_s(other), delta=0.02)
        unknown = kind._replace(route="unknown")
        self.assertEqual(0.0, self.estimator.estimate_s(unknown))

    def test_one_odd_request_changes_its_kind_little(self) -> None:
        self._learn(RequestKind("r", "GET", 0, "w"), 0.1, count=50)
        odd = RequestKind("r", "GET", 0, "v")
        self.estimator.record(odd, 5.0)
        self.assertLess(self.estimator.estimate_s(odd), 1.5)

    def test_old_means_lose_weight(self) -> None:
        kind = RequestKind("r", "GET", 0, "w")
        self._learn(kind, 0.1, count=50)
        self.clock.advance(3_600.0)
        self._learn(kind, 0.4, count=3)
        self.assertGreater(self.estimator.estimate_s(kind), 0.35)

    def test_memory_is_bounded(self) -> None:
        # Guards against growth by workspaces and routes that come and go.
        for i in range(20_000):
            self.estimator.record(RequestKind(f"r{i}", "GET", 0, f"w{i}"), 0.1)
        self.assertLess(len(self.estimator), 10_000)

    def test_size_classes(self) -> None:
        sizes = (-1, 0, 1, 1_000, 5_000, 1_000_000, 64_000_000)
        classes = [size_class(size) for size in sizes]
        self.assertEqual([-1, 0, 1, 1], classes[:4])
        self.assertEqual(classes, sorted(classes))
        self.assertLess(classes[-1], 12)
