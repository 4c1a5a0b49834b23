"""Fuzzes the way of an answer through nodes, with a fixed seed."""

import testtools

from burdockdock.standin.faulty_behaviour import Behaviour, Refusal, ResetTime
from tests.fuzz.fuzzer import fuzz
from tests.fuzz.judge import Rule
from tests.fuzz.sequences import Call, Sequence, Step
from tests.fuzz.ways import nodes_way
from tests.support import async_test

_SEED = 42
_SEQUENCES = 150
_LOST = Behaviour(reset=ResetTime.AFTER_RUN, work_s=0.06)
_MISDIRECTED = Behaviour(refusal=Refusal(421, proves=False))


class MeshSequencesTest(testtools.TestCase):
    """Tests of sequences through nodes, to faulty backend servers."""

    @async_test
    async def test_sequences_of_a_seed(self) -> None:
        async with nodes_way() as way:
            report = await fuzz(way, seed=_SEED, sequences=_SEQUENCES)
        self.assertEqual([], report.findings)
        self.assertEqual(_SEQUENCES, report.sequences)
        self.assertGreater(report.ends["whole"], _SEQUENCES)

    async def _broken_rules(self, sequence: Sequence) -> set[Rule]:
        async with nodes_way() as way:
            return {violation.rule for violation in way.judge(await way.run(sequence))}

    @async_test
    async def test_refusal_without_proof_after_a_lost_answer(self) -> None:
        # Guards against "not run" for a request that ran at another backend server.
        refused = Behaviour(refusal=Refusal(503, proves=False))
        sequence = (Step(Call(1), _LOST), Step(Call(2), refused))
        self.assertEqual(set(), await self._broken_rules(sequence))

    @async_test
    async def test_misdirected_requests_count_as_attempts(self) -> None:
        # Guards against more backend servers than max-attempts, past the retry budget.
        sequence = (Step(Call(1), _MISDIRECTED), Step(Call(2), _MISDIRECTED))
        self.assertEqual(set(), await self._broken_rules(sequence))
