"""Fuzzes the way of an answer through a gate, with a fixed seed."""

import testtools

from tests.fuzz.cases import CASES
from tests.fuzz.fuzzer import fuzz
from tests.fuzz.gate_runs import run_at_gate
from tests.fuzz.judge import judge
from tests.fuzz.ways import gate_way
from tests.support import async_test

_SEED = 42
_SEQUENCES = 1000


class GateSequencesTest(testtools.TestCase):
    """Tests of sequences of arrivals at a faulty backend server."""

    @async_test
    async def test_sequences_of_a_seed(self) -> None:
        async with gate_way() as way:
            report = await fuzz(way, seed=_SEED, sequences=_SEQUENCES)
        self.assertEqual([], report.findings)
        self.assertEqual(_SEQUENCES, report.sequences)
        # The faults leave some answers whole.
        self.assertGreater(report.ends["whole"], _SEQUENCES)

    @async_test
    async def test_sequences_that_broke_a_rule(self) -> None:
        for case in CASES:
            self.assertEqual([], judge(await run_at_gate(case.sequence)), case.cause)
