"""Collects the lines of an answer's head and tells whether they are one whole head.

A late copy of an earlier answer may break off anywhere, with the request's own answer
right behind it. Read as one head, the two would have the status of the first and the id
and signature of the second.

Libcurl reads the same lines, and finds the body by them. A line that is no valid field
ends the head at once, since the two might disagree on what it says.
"""

import re

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead, parse_head
from burdockdock.http_syntax import (
    HEAD_ENDS,
    StatedLength,
    is_field_line,
    is_final_status,
    is_status_line,
)
from burdockdock.protocol.answer_heads import INVALID_STATUS, MALFORMED_HEAD

# Heads must start so. No other form is accepted, so that each one behind the part of
# another head is found.
_STATUS_LINE_START = re.compile(rb"HTTP/1\.[01] \d{3}(?=[ \r\n])")
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
# Nodes ask for no other protocol, so that an answer can't follow this status.
_SWITCHING_PROTOCOLS_STATUS = 101
_MAX_DETAIL_BYTES = 200


class HeadLines:
    """Collects the lines of interim heads and of the final head as they arrive."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self._length = StatedLength()

    def add(self, line: bytes) -> BackendHead | Failure | None:
        """Add a line.

        :param line: with its line end, as it was received.
        :returns: the final head once it is whole, a failure if the lines can't be one
            head, else None.
        """
        if not line.endswith(b"\n"):
            # libcurl takes a lone carriage return for the end of a cut head.
            return _failure("backend_connection_broken", line)
        if line in HEAD_ENDS:
            return self._take_head()
        return self._add_to_head(line)

    def _add_to_head(self, line: bytes) -> Failure | None:
        is_first = not self.lines
        if is_first and not _STATUS_LINE_START.match(line):
            return _failure(MALFORMED_HEAD, line)
        if _STATUS_LINE_START.search(line, 1 if is_first else 0):
            return _failure("two_answers", line)
        is_valid = is_status_line if is_first else is_field_line
        if not is_valid(line) or self._length.contradicts(line):
            return _failure(MALFORMED_HEAD, line)
        self.lines.append(line)
        return None

    def _take_head(self) -> BackendHead | Failure | None:
        lines, self.lines = self.lines, []
        self._length = StatedLength()
        if not lines:
            return None
        head = parse_head(lines)
        is_interim = _MIN_STATUS <= head.status < _MIN_FINAL_STATUS
        if not is_interim and not is_final_status(head.status):
            return _failure(INVALID_STATUS, lines[0])
        if head.status == _SWITCHING_PROTOCOLS_STATUS:
            return _failure("other_protocol", lines[0])
        return head if head.status >= _MIN_FINAL_STATUS else None


def line_detail(line: bytes) -> str:
    """Return the part of a line that a failure's detail shows."""
    return line[:_MAX_DETAIL_BYTES].decode("latin-1").strip()


def _failure(reason: str, line: bytes) -> Failure:
    return Failure(Verdict.MAY_HAVE_RUN, reason, line_detail(line))
