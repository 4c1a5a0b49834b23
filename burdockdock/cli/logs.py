"""Commands that read the log lines of nodes."""

import json
import re
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import click

from burdockdock.cli.exit_status import EXIT_USAGE

_KEY_VALUE_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_VERDICT_MEANINGS = {
    "not_run": "It has not run and never will; it is safe to repeat.",
    "may_have_run": "It may have run; ask your own records before repeating it.",
    "ran": "It ran, and its answer was lost.",
}


class LogLine(NamedTuple):
    """Parsed log line of one event.

    :param time_s: wall-clock time of the node that wrote the line, in seconds.
    :param pairs: other fields of the event.
    :param text: the line as it was read.
    """

    time_s: float
    event: str
    pairs: dict[str, str]
    text: str


@click.group()
def logs() -> None:
    """Read the log lines of nodes."""


@logs.command()
@click.argument("request_id")
@click.argument(
    "files",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    nargs=-1,
    required=True,
)
def explain(request_id: str, files: tuple[Path, ...]) -> None:
    """Print a request's log lines in order of time, and how the request ended."""
    lines = find_request_lines(request_id, _read_lines(files))
    if not lines:
        click.echo(
            f"no line in {len(files)} files is about request {request_id}", err=True
        )
        raise SystemExit(EXIT_USAGE)
    for line in lines:
        click.echo(line.text)
    click.echo(describe_verdict(request_id, lines))


def parse_line(text: str) -> LogLine | None:
    """Parse a log line.

    :returns: None if the line does not have the format that nodes write.
    """
    pairs = {key: _parse_value(value) for key, value in _KEY_VALUE_PAIR.findall(text)}
    try:
        time_s = float(pairs.pop("time_s"))
        event = pairs.pop("event")
    except (KeyError, ValueError):
        return None
    return LogLine(time_s, event, pairs, text)


def find_request_lines(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the lines of a request and of its child calls, in order of time."""
    found = []
    for text in texts:
        line = parse_line(text) if request_id in text else None
        if line is not None:
            line_request_id = line.pairs.get("request", "")
            if line_request_id == request_id or line_request_id.startswith(
                f"{request_id}."
            ):
                found.append(line)
    return sorted(found, key=lambda line: line.time_s)


def describe_verdict(request_id: str, lines: list[LogLine]) -> str:
    """Describe in plain words how a request ended."""
    ends = [
        line.pairs
        for line in lines
        if line.event == "call.ended" and line.pairs.get("request") == request_id
    ]
    if not ends:
        return "No node says how it ended: look at the end of the caller's node."
    end = ends[-1]
    timing = f"after {float(end['seconds_s']) * 1000:.0f} of {end['allowed_ms']} ms"
    if not end["verdict"]:
        return f"The backend server's own answer, status {end['status']}, {timing}."
    reason = f"{end['reason']} {end['detail']}".strip()
    meaning = _VERDICT_MEANINGS.get(end["verdict"], "")
    return f"Status {end['status']} {timing}: {reason}. {meaning}"


def _read_lines(files: Iterable[Path]) -> Iterable[str]:
    for path in files:
        with path.open(errors="replace") as file:
            for line in file:
                yield line.rstrip("\n")


def _parse_value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text
