"""What the head of an answer may hold, wherever one is read or written.

A head that isn't valid is no answer, and nothing in it is believed.
"""

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.http_syntax import is_field, is_final_status, is_text
from burdockdock.protocol.calls import AnswerHead

# Reasons of failures: what came in place of an answer has a status that no final answer
# can have, or a line that no head can have.
INVALID_STATUS = "invalid_status"
MALFORMED_HEAD = "malformed_head"
_MAX_DETAIL_CHARS = 200


def check_answer_head(head: AnswerHead) -> Failure | None:
    """Return why a head is none of a final answer, None for a valid one."""
    if not is_final_status(head.status):
        return _in_doubt(INVALID_STATUS, f"status {head.status}")
    if not is_text(head.reason):
        return _in_doubt(MALFORMED_HEAD, f"reason {head.reason}")
    for name, value in head.headers:
        if not is_field(name, value):
            return _in_doubt(MALFORMED_HEAD, f"{name}: {value}")
    return None


def _in_doubt(reason: str, detail: str) -> Failure:
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail[:_MAX_DETAIL_CHARS])
