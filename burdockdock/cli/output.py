"""Output and exit statuses that all commands share."""

import asyncio
import getpass
import json
import os
import sys
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn, TypeVar

import click

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNDECIDED = 3
EXIT_UNAVAILABLE = 4

_Result = TypeVar("_Result")


def run_async(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a command's coroutine to its end."""
    return asyncio.run(main)


def output_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--output text|json`` to a command."""
    return click.option(
        "--output",
        type=click.Choice(["text", "json"]),
        default="text",
        show_default=True,
        help="Form of what is printed.",
    )(command)


def platform_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--platform URL`` to a command."""
    return click.option(
        "--platform",
        "platform_url",
        envvar="BURDOCKDOCK_PLATFORM",
        required=True,
        help="Address of the platform's object API [env: BURDOCKDOCK_PLATFORM].",
    )(command)


def node_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--node URL``, the operators' address of any node, to a command."""
    return click.option(
        "--node",
        "node_url",
        envvar="BURDOCKDOCK_NODE",
        help="Operators' address of any node [env: BURDOCKDOCK_NODE].",
    )(command)


def author_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--author NAME`` to a command."""
    return click.option(
        "--author", default=_default_author, help="Who makes the change."
    )(command)


def show(output: str, data: dict[str, Any], *lines: str) -> None:
    """Print a result: lines for people, or one JSON document for scripts."""
    if output == "json":
        click.echo(json.dumps(data, default=str, ensure_ascii=False))
        return
    for line in lines:
        click.echo(line)


def fail(status: int, message: str, *, output: str = "text", **data: Any) -> NoReturn:
    """Print one plain line on standard error, and exit."""
    if output == "json":
        click.echo(json.dumps({"error": message, **data}, default=str))
    click.echo(f"burdockdock: {message}", err=True)
    sys.exit(status)


def show_progress(line: str) -> None:
    """Show how far a wait has come: in place on a terminal, else a line each."""
    if sys.stderr.isatty():
        click.echo(f"\r\x1b[K{line}", err=True, nl=False)
    else:
        click.echo(line, err=True)


def end_progress() -> None:
    """Leave the line that progress was shown on."""
    if sys.stderr.isatty():
        click.echo("", err=True)


def _default_author() -> str:
    return os.environ.get("BURDOCKDOCK_AUTHOR") or getpass.getuser()
