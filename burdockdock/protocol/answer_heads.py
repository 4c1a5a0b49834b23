"""What the head of an answer may hold, wherever one is read or written.

Two readers of a malformed head may take it for different answers: one drops a line by
which the other finds the end of the body. So a malformed head is no answer, and nothing
in it is believed.
"""

import re

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import AnswerHead

# Reasons of failures: what came in place of an answer has a status that no final answer
# can have, or a line that no head can have.
INVALID_STATUS = "invalid_status"
MALFORMED_HEAD = "malformed_head"

# A token of RFC 9110, section 5.6.2.
_FIELD_NAME = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# Values of fields and reason phrases: bytes, and of the control characters only tabs;
# see RFC 9110, section 5.5, and RFC 9112, section 4.
_TEXT = r"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rf"HTTP/1\.[01] \d{{3}}(?: {_TEXT})?\r?\n".encode())
_FIELD_LINE = re.compile(rf"{_FIELD_NAME}:{_TEXT}\r?\n".encode())
_FIELD_NAME_PATTERN = re.compile(_FIELD_NAME)
_TEXT_PATTERN = re.compile(_TEXT)
_MAX_DETAIL_CHARS = 200


def is_final_status(status: int) -> bool:
    """Return whether an HTTP status is that of a final answer.

    Any other one is no answer, and tells nothing of whether the request ran.
    """
    return 200 <= status <= 599


def is_status_line(line: bytes) -> bool:
    """Return whether the first line of a head is valid, whatever its status.

    :param line: with its line end.
    """
    return _STATUS_LINE.fullmatch(line) is not None


def is_field_line(line: bytes) -> bool:
    """Return whether a line of a head or a trailer is a valid field.

    :param line: with its line end.
    """
    return _FIELD_LINE.fullmatch(line) is not None


def check_answer_head(head: AnswerHead) -> Failure | None:
    """Return why a head is none of a final answer, None for a valid one."""
    if not is_final_status(head.status):
        return _in_doubt(INVALID_STATUS, f"status {head.status}")
    if not _TEXT_PATTERN.fullmatch(head.reason):
        return _in_doubt(MALFORMED_HEAD, f"reason {head.reason}")
    for name, value in head.headers:
        if not _is_field(name, value):
            return _in_doubt(MALFORMED_HEAD, f"{name}: {value}")
    return None


def _is_field(name: str, value: str) -> bool:
    has_name = _FIELD_NAME_PATTERN.fullmatch(name) is not None
    return has_name and _TEXT_PATTERN.fullmatch(value) is not None


def _in_doubt(reason: str, detail: str) -> Failure:
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail[:_MAX_DETAIL_CHARS])
