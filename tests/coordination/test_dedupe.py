"""Tests of the deduplication of request ids."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.clock import ManualClock
from burdockdock.coordination.dedupe import DedupeTable
from burdockdock.coordination.verdict import Verdict

_IDS = st.sampled_from(["a", "b", "c"])
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["claim", "finish_ran", "finish_unknown", "release", "resolve"]
        ),
        _IDS,
    ),
    max_size=40,
)


class DedupeTableTest(testtools.TestCase):
    """Tests of one dedupe table."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.table = DedupeTable(clock=self.clock, capacity=3)

    def test_second_claim_returns_the_state_of_the_first(self) -> None:
        self.assertIsNone(self.table.claim("a", deadline_s=10))
        self.assertEqual("running", self.table.claim("a", deadline_s=10).reason)
        self.table.finish("a", Verdict.RAN)
        self.assertEqual(Verdict.RAN, self.table.claim("a", deadline_s=10).verdict)

    def test_asking_bars_an_id_that_arrives_late(self) -> None:
        outcome = self.table.resolve("a", deadline_s=10)
        self.assertEqual(Verdict.NOT_RUN, outcome.verdict)
        self.assertEqual("barred", self.table.claim("a", deadline_s=10).reason)

    def test_passed_deadline_is_refused(self) -> None:
        self.clock.advance(11)
        refusal = self.table.claim("a", deadline_s=10)
        self.assertEqual(
            (Verdict.NOT_RUN, "deadline_passed"), (refusal.verdict, refusal.reason)
        )

    def test_full_table_refuses_and_never_drops_an_unexpired_id(self) -> None:
        for request_id in "abc":
            self.assertIsNone(self.table.claim(request_id, deadline_s=10))
        refusal = self.table.claim("d", deadline_s=10)
        self.assertEqual(
            (Verdict.NOT_RUN, "dedupe_full"), (refusal.verdict, refusal.reason)
        )
        self.assertEqual(
            Verdict.MAY_HAVE_RUN, self.table.resolve("d", deadline_s=10).verdict
        )

    def test_expired_ids_are_evicted_from_a_full_table(self) -> None:
        for request_id in "abc":
            self.table.claim(request_id, deadline_s=1)
        self.clock.advance(20)
        self.assertIsNone(self.table.claim("d", deadline_s=30))

    @given(_STEPS)
    def test_agrees_with_a_simple_model(self, steps: list[tuple[str, str]]) -> None:
        """No id starts twice, and no started id is reported as not run."""
        table = DedupeTable(clock=ManualClock())
        started: set[str] = set()
        barred: set[str] = set()
        running: set[str] = set()
        for step, request_id in steps:
            if step == "claim":
                refusal = table.claim(request_id, deadline_s=10)
                if refusal is None:
                    self.assertNotIn(request_id, started | barred)
                    started.add(request_id)
                    running.add(request_id)
                elif refusal.verdict is Verdict.NOT_RUN:
                    self.assertNotIn(request_id, started)
            elif step == "resolve":
                outcome = table.resolve(request_id, deadline_s=10)
                if outcome.verdict is Verdict.NOT_RUN:
                    self.assertNotIn(request_id, started)
                    barred.add(request_id)
            elif request_id in running:
                running.discard(request_id)
                if step == "release":
                    table.release(request_id)
                    started.discard(request_id)
                else:
                    verdict = Verdict.RAN if step == "finish_ran" else None
                    table.finish(request_id, verdict or Verdict.MAY_HAVE_RUN)
