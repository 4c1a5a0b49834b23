"""Reads the head of a response of the platform, line by line."""

import pycurl

from burdockdock.http_syntax import (
    HEAD_ENDS,
    StatedLength,
    is_field_line,
    is_status_line,
)

# Returned by a header callback to make libcurl abort the transfer.
_ABORT_TRANSFER = -1


class ResponseHead:
    """Collects the fields of a response, and ends the transfer at a malformed line.

    ``malformed_line`` is that line, None if all are valid. Takes the place of tornado's
    header callback, which raises an exception inside of libcurl there.
    """

    def __init__(self) -> None:
        self.malformed_line: bytes | None = None
        self._fields: dict[str, str] = {}
        self._length = StatedLength()
        self._in_head = True

    def listen(self, curl: pycurl.Curl) -> None:
        """Get the lines of a transfer that is about to start."""
        # Heads of other versions have other status lines.
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HEADERFUNCTION, self.add_line)

    def get(self, name: str) -> str | None:
        """Return the value of a field of the final head, None without it."""
        return self._fields.get(name.lower())

    def add_line(self, line: bytes) -> int | None:
        """Take a line of a head or of the trailers, which are checked only.

        :returns: a value other than None to abort the transfer.
        """
        if line in HEAD_ENDS:
            self._in_head = False
        elif is_status_line(line):
            # An interim head may stand before the final one.
            self._in_head = True
            self._fields.clear()
            self._length = StatedLength()
        elif is_field_line(line) and not self._length.contradicts(line):
            self._add_field(line)
        else:
            self.malformed_line = line
            return _ABORT_TRANSFER
        return None

    def _add_field(self, line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        if self._in_head:
            self._fields[name.lower()] = value.strip(" \t\r\n")
