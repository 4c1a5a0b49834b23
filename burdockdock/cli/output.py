"""Output, options and exit statuses that the commands share."""

import asyncio
import getpass
import json
import os
import sys
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn, TypeVar

import click

_Result = TypeVar("_Result")


def run_async(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a command's coroutine to completion."""
    return asyncio.run(main)


def output_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--output text|json`` to a command."""
    return click.option(
        "--output",
        type=click.Choice(["text", "json"]),
        default="text",
        show_default=True,
        help="Output format.",
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
    """Add ``--node URL``, the operator address of any node, to a command."""
    return click.option(
        "--node",
        "node_url",
        envvar="BURDOCKDOCK_NODE",
        help="Operator address of any node [env: BURDOCKDOCK_NODE].",
    )(command)


def author_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--author NAME`` to a command."""
    return click.option(
        "--author", default=_default_author, help="Author of the change."
    )(command)


def show(output: str, data: dict[str, Any], *lines: str) -> None:
    """Print a result as lines of text or as one JSON document.

    :param output: ``text`` or ``json``.
    :param data: the JSON document.
    :param lines: the lines of text.
    """
    if output == "json":
        click.echo(json.dumps(data, default=str, ensure_ascii=False))
        return
    for line in lines:
        click.echo(line)


def fail(status: int, message: str, *, output: str = "text", **data: Any) -> NoReturn:
    """Print a one-line error to standard error and exit.

    :param status: exit status.
    :param data: further keys of the JSON document that ``json`` output gets.
    """
    if output == "json":
        click.echo(json.dumps({"error": message, **data}, default=str))
    click.echo(f"burdockdock: {message}", err=True)
    sys.exit(status)


def show_progress(line: str) -> None:
    """Print progress: in place on a terminal, otherwise on a line of its own."""
    if sys.stderr.isatty():
        click.echo(f"\r\x1b[K{line}", err=True, nl=False)
    else:
        click.echo(line, err=True)


def end_progress() -> None:
    """End the progress line on a terminal."""
    if sys.stderr.isatty():
        click.echo("", err=True)


def _default_author() -> str:
    return os.environ.get("BURDOCKDOCK_AUTHOR") or getpass.getuser()
