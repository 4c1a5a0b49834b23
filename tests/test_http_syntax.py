"""Tests of the lines that a head may have."""

import testtools

from burdockdock.http_syntax import is_field_line, is_status_line
from tests.header_names import CONTROL_BYTES


class FieldLinesTest(testtools.TestCase):
    """Tests of lines as they are received."""

    def test_characters_of_names(self) -> None:
        symbols = b"!#$%&'*+-.^_`|~"
        for code in range(256):
            character = bytes([code])
            valid = character in symbols or (code < 128 and character.isalnum())
            # A colon ends the name.
            valid = valid or character == b":"
            line = b"X" + character + b"Y: a\r\n"
            self.assertEqual(valid, is_field_line(line), line)

    def test_characters_of_values(self) -> None:
        for code in range(256):
            valid = bytes([code]) not in (*CONTROL_BYTES, b"\n")
            line = b"X:" + bytes([code]) + b"\r\n"
            self.assertEqual(valid, is_field_line(line), line)

    def test_status_lines(self) -> None:
        for line in (b"HTTP/1.0 000\n", b"HTTP/1.1 999 \xff\t: a\r\n"):
            self.assertTrue(is_status_line(line), line)
        for line in (
            b"HTTP/1.2 200\r\n",
            b"HTTP/1.1 20 O\r\n",
            b"HTTP/1.1 2000\r\n",
            b"HTTP/1.1 200OK\r\n",
            b"HTTP/1.1 200 O\x01K\r\n",
            b"HTTP/1.1 200 OK",
        ):
            self.assertFalse(is_status_line(line), line)

    def test_ends_of_lines(self) -> None:
        for line in (b"X:\r\n", b"X:\n", b"X: a\n"):
            self.assertTrue(is_field_line(line), line)
        for line in (b"X:", b"X:\r", b"X\r\n", b"\r\n", b"X:\r\r\n", b"X:\n\n"):
            self.assertFalse(is_field_line(line), line)
