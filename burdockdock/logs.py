"""Structured logs: one line of key=value pairs for each eliot event."""

import json
import sys
from typing import Any, TextIO

import eliot

_HIDDEN_KEYS = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})


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


def start_logging(*, stream: TextIO | None = None, **common: str) -> None:
    """Write every eliot event to a stream as one line.

    :param stream: where lines go, standard error by default.
    :param common: pairs that stand in every line, such as ``node``.
    """
    target = stream or sys.stderr

    def write_line(event: dict[str, Any]) -> None:
        target.write(render_event(event) + "\n")
        target.flush()

    eliot.add_global_fields(**common)
    eliot.add_destinations(write_line)


def log_event(name: str, **pairs: Any) -> None:
    """Write one event.

    :param name: the event's name, in the form ``subject.verb``.
    :param pairs: the event's fields, units as suffix.
    """
    eliot.log_message(message_type=name, **pairs)


def _render_value(value: Any) -> str:
    """Render a value so that a line splits on spaces outside of quotes."""
    if isinstance(value, str) and value and _is_bare(value):
        return value
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, int):
        return str(value)
    return json.dumps(value, ensure_ascii=False, default=str)


def _is_bare(value: str) -> bool:
    return value.isprintable() and not any(sign in value for sign in " \"=\\'")
