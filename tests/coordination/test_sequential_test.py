"""Tests of the sequential tests with simulated versions and fixed seeds."""

import random

import testtools

from burdockdock.coordination.sequential_test import ComparisonTest, Counts, RateTest

_ALPHA = 1e-3


def _simulate(
    seed: int, *, old_rate: float, new_rate: float, share: float, intervals: int
) -> tuple[bool, int]:
    """Compare two simulated versions.

    :returns: whether the new version was rejected, and its number of calls until then.
    """
    rng = random.Random(seed)
    test = ComparisonTest()
    new_calls = 0
    for _ in range(intervals):
        new = old = Counts()
        for _ in range(50):
            is_new = rng.random() < share
            event = rng.random() < (new_rate if is_new else old_rate)
            if is_new:
                new = Counts(new.calls + 1, new.events + event)
            else:
                old = Counts(old.calls + 1, old.events + event)
        new_calls += new.calls
        test.update(new=new, old=old)
        if test.rejects(alpha=_ALPHA):
            return True, new_calls
    return False, new_calls


class ComparisonTestTest(testtools.TestCase):
    """Tests of the comparison of two versions."""

    def test_equal_versions_are_rejected_at_most_at_the_stated_rate(self) -> None:
        rejected = 0
        for seed in range(300):
            rate = (0.0, 0.02, 0.2)[seed % 3]
            share = (0.01, 0.1, 0.5)[seed // 3 % 3]
            rejected += _simulate(
                seed, old_rate=rate, new_rate=rate, share=share, intervals=60
            )[0]
        self.assertLessEqual(rejected, 3)

    def test_bad_versions_are_detected_after_few_of_their_calls(self) -> None:
        for seed in range(40):
            found, calls = _simulate(
                seed, old_rate=0.01, new_rate=0.5, share=0.05, intervals=200
            )
            self.assertTrue(found)
            self.assertLess(calls, 60)

    def test_fault_of_both_versions_is_no_evidence(self) -> None:
        test = ComparisonTest()
        for _ in range(100):
            test.update(new=Counts(10, 5), old=Counts(90, 45))
        self.assertFalse(test.rejects(alpha=_ALPHA))


class RateTestTest(testtools.TestCase):
    """Tests of the test of one version's rate against bounds."""

    def test_late_fault_is_detected_after_a_long_good_period(self) -> None:
        test = RateTest()
        rates = {"accepted_rate": 0.01, "rejected_rate": 0.1}
        test.update(Counts(100_000, 100), **rates)
        self.assertFalse(test.rejects(alpha=_ALPHA))
        test.update(Counts(20, 10), **rates)
        self.assertTrue(test.rejects(alpha=_ALPHA))
