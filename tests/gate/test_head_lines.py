"""Tests of the lines of heads."""

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead
from burdockdock.gate.head_lines import HeadLines
from tests.header_names import CONTROL_BYTES


def _read(*lines: bytes) -> BackendHead | Failure | None:
    """Return what the first of the lines gives that gives anything."""
    head_lines = HeadLines()
    for line in lines:
        result = head_lines.add(line)
        if result is not None:
            return result
    return None


class HeadLinesTest(testtools.TestCase):
    """Tests of whole heads and of bytes that are none."""

    def _assert_failure(self, reason: str, *lines: bytes) -> None:
        result = _read(*lines)
        self.assertIsInstance(result, Failure, lines)
        self.assertEqual((Verdict.MAY_HAVE_RUN, reason), result[:2], lines)

    def test_whole_head(self) -> None:
        head = _read(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n", b"\r\n")
        self.assertEqual(BackendHead(200, "OK", (("A", "b"),)), head)

    def test_lines_that_end_in_a_line_feed_only(self) -> None:
        head = _read(b"HTTP/1.1 200 OK\n", b"A: b\n", b"\n")
        self.assertEqual(BackendHead(200, "OK", (("A", "b"),)), head)

    def test_interim_heads_are_left_out(self) -> None:
        interim = (b"HTTP/1.1 103 Early\r\n", b"A: b\r\n", b"\r\n")
        head = _read(*interim, *interim, b"HTTP/1.1 204 Empty\r\n", b"\r\n")
        self.assertEqual(BackendHead(204, "Empty", ()), head)

    def test_statuses_of_no_answer(self) -> None:
        for status in (b"000", b"099", b"600", b"700", b"999"):
            line = b"HTTP/1.1 " + status + b" Odd\r\n"
            self._assert_failure("invalid_status", line, b"\r\n")
        for status in (b"200", b"599"):
            head = _read(b"HTTP/1.1 " + status + b" Odd\r\n", b"\r\n")
            self.assertEqual(BackendHead(int(status), "Odd", ()), head)

    def test_head_without_its_end(self) -> None:
        self.assertIsNone(_read(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"))

    def test_line_that_is_cut(self) -> None:
        self._assert_failure("backend_connection_broken", b"HTTP/1.1 200 OK\r")

    def test_status_line_of_another_answer(self) -> None:
        own = b"HTTP/1.1 500 Failed\r\n"
        self._assert_failure("malformed_head", b"HTTP/1.1 200" + own)
        for status_line in (b"HTTP/1.1 200 O", b"HTTP/1.1 200 OK\r"):
            self._assert_failure("two_answers", status_line + own)
        self._assert_failure("two_answers", b"HTTP/1.1 200 OK\r\n", own)
        for start in (b"Da", b"Date:", b"Date: Sun, 0", b"Date: Sun\r"):
            self._assert_failure("two_answers", b"HTTP/1.1 200 OK\r\n", start + own)

    def test_interim_head_that_breaks_off(self) -> None:
        lines = (b"HTTP/1.1 103 Early\r\n", b"HTTP/1.1 200 OK\r\n")
        self._assert_failure("two_answers", *lines)

    def test_values_that_name_a_protocol(self) -> None:
        for value in (b"HTTP/1.1", b"HTTP/1.1 proxy-1", b"HTTP/1.1 192.168.0.7:80"):
            lines = (b"HTTP/1.1 200 OK\r\n", b"Via: " + value + b"\r\n", b"\r\n")
            self.assertIsInstance(_read(*lines), BackendHead, value)

    def test_status_lines_of_other_forms(self) -> None:
        # A form that is accepted alone but not found behind a part of another head
        # would pass with the status of that part.
        for start in (
            b"HTTP/1.1 OK",
            b"http/1.1 500",
            b"HTTP/1.1\t500",
            b"HTTP/1.1  500",
            b"HTTP/1.1 0500",
            b"HTTP/1.1 5000",
            b"HTTP/2 500",
            b" HTTP/1.1 500",
            b"Date: now",
        ):
            self._assert_failure("malformed_head", start + b"\r\n")
            self._assert_failure("malformed_head", start + b" X\r\n")

    def test_status_lines_without_a_reason(self) -> None:
        for line in (b"HTTP/1.0 500\r\n", b"HTTP/1.1 500 \r\n", b"HTTP/1.1 500\n"):
            self.assertEqual(BackendHead(500, "", ()), _read(line, b"\n"))
            self._assert_failure("two_answers", b"HTTP/1.1 200 X\r\n", b"Da" + line)

    def test_line_that_begins_with_a_carriage_return(self) -> None:
        # libcurl ends the head there and keeps the connection.
        self._assert_failure("malformed_head", b"HTTP/1.1 200 OK\r\n", b"\rA: b\r\n")

    def test_line_of_blanks_is_not_the_end_of_the_head(self) -> None:
        lines = (b"HTTP/1.1 200 OK\r\n", b"  \r\n", b"A: b\r\n", b"\r\n")
        self._assert_failure("malformed_head", *lines)

    def test_malformed_names(self) -> None:
        for name in (
            b"",
            b"X Note",
            b"X-Note ",
            b"X-Note\t",
            b" X-Note",
            b"\tX-Note",
            b"X-N\xf6te",
            b"X(Note)",
            *(b"X-" + byte + b"Note" for byte in CONTROL_BYTES),
        ):
            line = name + b": a\r\n"
            for before in ((), (b"HTTP/1.1 103 Early\r\n", b"\r\n")):
                lines = (*before, b"HTTP/1.1 200 OK\r\n", line)
                self._assert_failure("malformed_head", *lines)
            self._assert_failure("malformed_head", b"HTTP/1.1 103 Early\r\n", line)

    def test_control_characters_in_reasons(self) -> None:
        for byte in CONTROL_BYTES:
            for reason in (byte, byte + b"K", b"O" + byte, b"O" + byte + b"K"):
                for line in (b"HTTP/1.1 200 " + reason, b"HTTP/1.1 103 " + reason):
                    self._assert_failure("malformed_head", line + b"\r\n")

    def test_valid_reasons(self) -> None:
        for reason, text in (
            (b"", ""),
            (b" ", ""),
            (b" O\tK \xff", "O\tK \xff"),
            (b" (200): OK", "(200): OK"),
        ):
            head = _read(b"HTTP/1.1 200" + reason + b"\r\n", b"\r\n")
            self.assertEqual(BackendHead(200, text, ()), head)

    def test_line_without_a_colon(self) -> None:
        self._assert_failure("malformed_head", b"HTTP/1.1 200 OK\r\n", b"X-Note\r\n")

    def test_control_characters_in_values(self) -> None:
        for byte in CONTROL_BYTES:
            for value in (byte, byte + b"a", b"a" + byte, b"a" + byte + b"b"):
                line = b"X-Note: " + value + b"\r\n"
                self._assert_failure("malformed_head", b"HTTP/1.1 200 OK\r\n", line)

    def test_valid_fields(self) -> None:
        for line, field in (
            (b"!#$%&'*+-.^_`|~09AZaz: a", ("!#$%&'*+-.^_`|~09AZaz", "a")),
            (b"X-Note:", ("X-Note", "")),
            (b"X-Note: \t", ("X-Note", "")),
            (b"X-Note:a\tb: c \t", ("X-Note", "a\tb: c")),
            (b"X-Note: \x80\xa0\xff", ("X-Note", "\x80\xa0\xff")),
        ):
            head = _read(b"HTTP/1.1 200 OK\r\n", line + b"\r\n", b"\r\n")
            self.assertEqual(BackendHead(200, "OK", (field,)), head)

    def test_lengths_that_differ(self) -> None:
        # Guards against two readers of one head that find different bodies.
        first = b"Content-Length: 2\r\n"
        for line in (
            b"Content-Length: 3",
            b"content-length:20",
            b"Content-Length: 2, 2",
        ):
            for lines in ((first, line + b"\r\n"), (line + b"\r\n", first)):
                self._assert_failure("malformed_head", b"HTTP/1.1 200 OK\r\n", *lines)
        interim = (b"HTTP/1.1 103 Early\r\n", b"Content-Length: 9\r\n", b"\r\n")
        same = (first, b"CONTENT-LENGTH:2 \t\r\n", b"\r\n")
        head = _read(*interim, b"HTTP/1.1 200 OK\r\n", *same)
        self.assertEqual((("Content-Length", "2"),), head.headers)

    def test_switch_to_another_protocol(self) -> None:
        lines = (b"HTTP/1.1 101 Switching\r\n", b"Upgrade: other\r\n", b"\r\n")
        self._assert_failure("other_protocol", *lines)

    def test_detail_is_bounded(self) -> None:
        failure = _read(b"HTTP/1.1 200 OK\r\n", b"A" * 5000 + b"HTTP/1.1 500 X\r\n")
        self.assertEqual(200, len(failure.detail))
