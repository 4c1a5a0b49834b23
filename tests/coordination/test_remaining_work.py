"""Tests of the sum of the work that a gate still has to do."""

import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.remaining_work import RemainingWork


class RemainingWorkTest(testtools.TestCase):
    """Tests that expected costs and the time run are summed up."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.work = RemainingWork(clock=self.clock)

    def test_work_shrinks_while_a_request_runs_but_never_to_nothing(self) -> None:
        running, queued = self.work.add(1.0), self.work.add(0.5)
        self.work.start(running)
        self.assertAlmostEqual(1.5, self.work.total_s())
        self.clock.advance(0.4)
        self.assertAlmostEqual(1.1, self.work.total_s())
        # Guards against gates that look idle while a request runs longer than expected.
        self.clock.advance(10.0)
        self.assertAlmostEqual(0.6, self.work.total_s())
        self.work.end(running)
        self.work.end(queued)
        self.assertEqual(0.0, self.work.total_s())

    def test_nothing_is_left_of_requests_that_ended(self) -> None:
        # Guards against a sum that drifts, or that counts a refused request forever.
        rng = random.Random(2)
        numbers = []
        for _ in range(2_000):
            numbers.append(self.work.add(rng.random()))
            if rng.random() < 0.6:
                self.work.start(numbers[-1])
            if len(numbers) > 20:
                self.work.end(numbers.pop(rng.randrange(len(numbers))))
        for number in numbers:
            self.work.end(number)
        self.assertEqual(0.0, self.work.total_s())
