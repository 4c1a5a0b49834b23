"""Tests of what the head of an answer may hold."""

import testtools

from burdockdock.coordination.verdict import Verdict
from burdockdock.protocol.answer_heads import check_answer_head
from burdockdock.protocol.calls import AnswerHead

_MAX_DETAIL_CHARS = 200


class AnswerHeadsTest(testtools.TestCase):
    """Tests of heads as nodes exchange them."""

    def test_valid_head(self) -> None:
        fields = (("X-A", ""), ("X-B", "a\tb \xff"))
        self.assertIsNone(check_answer_head(AnswerHead(200, "OK", fields)))

    def test_detail_is_bounded(self) -> None:
        head = AnswerHead(200, "OK", (("A b", "c" * 5000),))
        failure = check_answer_head(head)
        self.assertEqual((Verdict.MAY_HAVE_RUN, "malformed_head"), failure[:2])
        self.assertEqual(_MAX_DETAIL_CHARS, len(failure.detail))
