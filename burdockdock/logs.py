"""Structured logging with one line of key=value pairs per eliot event."""

import asyncio
import atexit
import json
import os
import select
import sys
import time
from collections import deque
from typing import Any

import eliot

_FLUSH_DELAY_S = 0.02
# Minimum time between flushes under steady logging, because each flush takes an
# iteration of the event loop.
_FLUSH_INTERVAL_S = 0.1
_MAX_BUFFERED_BYTES = 256 * 1024
_OMITTED_KEYS = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})
_CHARACTERS_TO_QUOTE = frozenset(" \"=\\'")
_logger = eliot.Logger()


def render_event(event: dict[str, Any]) -> str:
    """Render an eliot message as one line of key=value pairs.

    :param event: the eliot message.
    :returns: the line without a trailing line feed.
    """
    name = event.get("message_type") or event.get("action_type") or "event"
    pairs = [f"time_s={event.get('timestamp', 0):.6f} event={name}"]
    for key, value in event.items():
        if key in _OMITTED_KEYS:
            continue
        kind = type(value)
        if kind is int:
            pairs.append(f"{key}={value}")
        elif kind is str and value.isalnum():
            # Most texts are ids, which need no quotes.
            pairs.append(f"{key}={value}")
        else:
            pairs.append(f"{key}={_render_value(value)}")
    return " ".join(pairs)


class LineWriter:
    """Writes lines to a file descriptor without blocking on a slow reader.

    Lines are buffered for a short time and written in chunks small enough for an atomic
    write to a pipe. Lines that don't fit into the buffer are dropped, and their number
    is logged once the buffer has room again.

    :param fd: file descriptor, usually of a pipe.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._flush_at_s = float("-inf")
        self.dropped = 0

    def write(self, line: str) -> None:
        """Buffer a line, passed without its line feed."""
        data = line.encode() + b"\n"
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._lines.append(data)
            self._buffered_bytes += len(data)
        if self._timer is None:
            self._schedule_flush(interval_s=_FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write as much as the reader has room for, without blocking."""
        self._timer = None
        if self.dropped and self._buffered_bytes < _MAX_BUFFERED_BYTES // 2:
            self._report_dropped()
        while self._lines and self._poll.poll(0):
            os.write(self._fd, self._take_chunk())
        if self._lines:
            self._schedule_flush(interval_s=_FLUSH_DELAY_S)

    def _take_chunk(self) -> bytes:
        """Remove and return the next bytes that fit into an atomic write to a pipe.

        These are whole lines, or the start of a line that is too long.
        """
        chunk = self._lines.popleft()
        if len(chunk) > select.PIPE_BUF:
            self._lines.appendleft(chunk[select.PIPE_BUF :])
            chunk = chunk[: select.PIPE_BUF]
        while self._lines and len(chunk) + len(self._lines[0]) <= select.PIPE_BUF:
            chunk += self._lines.popleft()
        self._buffered_bytes -= len(chunk)
        return chunk

    def _report_dropped(self) -> None:
        line = f"time_s={time.time():.6f} event=logs.dropped lines={self.dropped}\n"
        self.dropped = 0
        self._lines.append(line.encode())
        self._buffered_bytes += len(line)

    def _schedule_flush(self, *, interval_s: float) -> None:
        """Schedule a flush, or flush now if no event loop runs, as at start and exit.

        :param interval_s: minimum seconds since the previously scheduled flush.
        """
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            if self._poll.poll(0):
                self.flush()
            return
        flush_at_s = max(loop.time() + _FLUSH_DELAY_S, self._flush_at_s + interval_s)
        self._flush_at_s = flush_at_s
        self._timer = loop.call_at(flush_at_s, self.flush)


def start_logging(*, fd: int | None = None, **common: str) -> LineWriter:
    """Write every eliot event to a file descriptor as one line.

    :param fd: file descriptor for the lines, standard output by default.
    :param common: fields added to every line, such as ``node``.
    :returns: the writer of the lines, which is flushed at exit.
    """
    writer = LineWriter(sys.stdout.fileno() if fd is None else fd)
    eliot.add_global_fields(**common)
    eliot.add_destinations(lambda event: writer.write(render_event(event)))
    atexit.register(writer.flush)
    return writer


def log_event(name: str, **pairs: Any) -> None:
    """Log one event.

    The event bypasses eliot actions, which would generate a task id that no line shows.

    :param name: event name in the form ``subject.verb``.
    :param pairs: fields of the event, with units as suffixes of their names.
    """
    pairs["timestamp"] = time.time()
    pairs["message_type"] = name
    _logger.write(pairs)


def _render_value(value: Any) -> str:
    """Render a value so that a line can be split at spaces outside quotes."""
    if isinstance(value, str):
        return value if _needs_no_quotes(value) else _quote(value)
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, int):
        return str(value)
    return json.dumps(value, ensure_ascii=False, default=str)


def _quote(value: str) -> str:
    return json.dumps(value, ensure_ascii=False) if value else '""'


def _needs_no_quotes(value: str) -> bool:
    return (
        bool(value) and value.isprintable() and _CHARACTERS_TO_QUOTE.isdisjoint(value)
    )
