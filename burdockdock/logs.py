"""Structured logs: one line of key=value pairs for each eliot event."""

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
# While lines keep coming, each write of them costs the loop a turn.
_FLUSH_INTERVAL_S = 0.1
_MAX_KEPT_BYTES = 256 * 1024
_HIDDEN_KEYS = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})
_QUOTED_SIGNS = frozenset(" \"=\\'")
_logger = eliot.Logger()


def render_event(event: dict[str, Any]) -> str:
    """Render an eliot message as one line of key=value pairs.

    :param event: the eliot message.
    :returns: a line without its line feed.
    """
    name = event.get("message_type") or event.get("action_type") or "event"
    pairs = [f"time_s={event.get('timestamp', 0):.6f}", f"event={name}"]
    pairs += [
        f"{key}={_render_value(value)}"
        for key, value in event.items()
        if key not in _HIDDEN_KEYS
    ]
    return " ".join(pairs)


class LineWriter:
    """Writes lines to a file descriptor, and never waits for its reader.

    Lines are collected for a moment and written in pieces that fit into a pipe at
    once. What a slow reader leaves no room for is dropped, and the number of lines
    dropped is written once there is room again.

    :param fd: the descriptor.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._lines: deque[bytes] = deque()
        self._kept_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = float("-inf")
        self.dropped = 0

    def write(self, line: str) -> None:
        """Queue a line, given without its line feed."""
        data = line.encode() + b"\n"
        if self._kept_bytes + len(data) > _MAX_KEPT_BYTES:
            self.dropped += 1
        else:
            self._lines.append(data)
            self._kept_bytes += len(data)
        if self._timer is None:
            self._flush_later(interval_s=_FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write as much as there is room for."""
        self._timer = None
        if self.dropped and self._kept_bytes < _MAX_KEPT_BYTES // 2:
            self._tell_dropped()
        while self._lines and self._poll.poll(0):
            os.write(self._fd, self._take_piece())
        if self._lines:
            self._flush_later(interval_s=_FLUSH_DELAY_S)

    def _take_piece(self) -> bytes:
        """Return whole lines that a pipe takes at once, or one longer line's start."""
        piece = self._lines.popleft()
        if len(piece) > select.PIPE_BUF:
            self._lines.appendleft(piece[select.PIPE_BUF :])
            piece = piece[: select.PIPE_BUF]
        while self._lines and len(piece) + len(self._lines[0]) <= select.PIPE_BUF:
            piece += self._lines.popleft()
        self._kept_bytes -= len(piece)
        return piece

    def _tell_dropped(self) -> None:
        line = f"time_s={time.time():.6f} event=logs.dropped lines={self.dropped}\n"
        self.dropped = 0
        self._lines.append(line.encode())
        self._kept_bytes += len(line)

    def _flush_later(self, *, interval_s: float) -> None:
        """Flush soon; at once where no loop runs, such as at start and end.

        :param interval_s: shortest time since the last flush.
        """
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            if self._poll.poll(0):
                self.flush()
            return
        due_s = max(loop.time() + _FLUSH_DELAY_S, self._due_s + interval_s)
        self._due_s = due_s
        self._timer = loop.call_at(due_s, self.flush)


def start_logging(*, fd: int | None = None, **common: str) -> LineWriter:
    """Write every eliot event to a file descriptor as one line.

    :param fd: where lines go, standard output by default.
    :param common: pairs that stand in every line, such as ``node``.
    """
    writer = LineWriter(sys.stdout.fileno() if fd is None else fd)
    eliot.add_global_fields(**common)
    eliot.add_destinations(lambda event: writer.write(render_event(event)))
    atexit.register(writer.flush)
    return writer


def log_event(name: str, **pairs: Any) -> None:
    """Write one event.

    It goes to the logger without an eliot action around it, which would make an id
    that no line shows.

    :param name: the event's name, in the form ``subject.verb``.
    :param pairs: the event's fields, units as suffix.
    """
    pairs["timestamp"] = time.time()
    pairs["message_type"] = name
    _logger.write(pairs)


def _render_value(value: Any) -> str:
    """Render a value so that a line splits on spaces outside of quotes."""
    if isinstance(value, str):
        return value if _is_bare(value) else _quote(value)
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, int):
        return str(value)
    return json.dumps(value, ensure_ascii=False, default=str)


def _quote(value: str) -> str:
    return json.dumps(value, ensure_ascii=False) if value else '""'


def _is_bare(value: str) -> bool:
    return bool(value) and value.isprintable() and _QUOTED_SIGNS.isdisjoint(value)
