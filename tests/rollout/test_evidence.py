"""Tests of the results that count as evidence about a version."""

import testtools

from burdockdock.gate.model import CallResult
from burdockdock.rollout.evidence import EvidenceCollector, EvidenceKey, EvidenceRow

_KEY = EvidenceKey("r", "c", "v")


def _result(*, failed: bool, answered: bool) -> CallResult:
    return CallResult("r", "t", "c", 0.1, failed, shed=False, answered=answered)


class ColdResultTest(testtools.TestCase):
    """Tests of the results of a backend server that is cold."""

    def _row(self, result: CallResult, *, cold: bool) -> EvidenceRow | None:
        collector = EvidenceCollector()
        collector.add(result, version="v", cold=cold)
        return collector.take().get(_KEY)

    def test_call_without_an_answer(self) -> None:
        # Guards against a good version that is taken back since its servers are slow
        # while they warm up.
        result = _result(failed=True, answered=False)
        self.assertIsNone(self._row(result, cold=True))
        self.assertEqual((1, 1), self._row(result, cold=False)[:2])

    def test_answer_with_an_error(self) -> None:
        # Guards against a faulty version whose servers start again and again.
        result = _result(failed=True, answered=True)
        self.assertEqual((1, 1), self._row(result, cold=True)[:2])

    def test_slow_answer(self) -> None:
        result = _result(failed=False, answered=True)
        self.assertEqual((1, 0, {}), self._row(result, cold=True))
        self.assertEqual(1, sum(self._row(result, cold=False).latencies.values()))
