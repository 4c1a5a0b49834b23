"""Commands that read nodes' log lines."""

import json
import re
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import click

from burdockdock.cli.output import EXIT_USAGE

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_MEANING = {
    "not_run": "It has not run and never will; it is safe to repeat.",
    "may_have_run": "It may have run; ask your own records before repeating it.",
    "ran": "It ran, and its answer was lost.",
}


class LogLine(NamedTuple):
    """One event of a node.

    :param time_s: wall-clock time of the node that wrote it.
    """

    time_s: float
    event: str
    pairs: dict[str, str]
    text: str


@click.group()
def logs() -> None:
    """Read log lines of nodes."""


@logs.command()
@click.argument("request_id")
@click.argument(
    "files",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    nargs=-1,
    required=True,
)
def explain(request_id: str, files: tuple[Path, ...]) -> None:
    """Put the lines of a request in order, and say how it ended."""
    lines = lines_of(request_id, _read_lines(files))
    if not lines:
        click.echo(
            f"no line of {len(files)} files names request {request_id}", err=True
        )
        raise SystemExit(EXIT_USAGE)
    for line in lines:
        click.echo(line.text)
    click.echo(tell_verdict(request_id, lines))


def parse_line(text: str) -> LogLine | None:
    """Read one line; None for one that no node wrote."""
    pairs = {key: _value(value) for key, value in _PAIR.findall(text)}
    try:
        time_s = float(pairs.pop("time_s"))
        event = pairs.pop("event")
    except (KeyError, ValueError):
        return None
    return LogLine(time_s, event, pairs, text)


def lines_of(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the lines of a request and of calls made for it, in order of time."""
    found = []
    for text in texts:
        line = parse_line(text) if request_id in text else None
        if line is not None:
            named = line.pairs.get("request", "")
            if named == request_id or named.startswith(f"{request_id}."):
                found.append(line)
    return sorted(found, key=lambda line: line.time_s)


def tell_verdict(request_id: str, lines: list[LogLine]) -> str:
    """Return in plain words how a request ended."""
    ends = [
        line.pairs
        for line in lines
        if line.event == "call.ended" and line.pairs.get("request") == request_id
    ]
    if not ends:
        return "No node says how it ended: look at the end of the caller's node."
    end = ends[-1]
    took = f"after {float(end['seconds_s']) * 1000:.0f} of {end['allowed_ms']} ms"
    if not end["verdict"]:
        return f"The backend server's own answer, status {end['status']}, {took}."
    reason = f"{end['reason']} {end['detail']}".strip()
    meaning = _MEANING.get(end["verdict"], "")
    return f"Status {end['status']} {took}: {reason}. {meaning}"


def _read_lines(files: Iterable[Path]) -> Iterable[str]:
    for path in files:
        with path.open(errors="replace") as file:
            for line in file:
                yield line.rstrip("\n")


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text
