"""Commands that run a node and check its settings."""

import asyncio
import gc
from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING

import click

from burdockdock.cli.output import EXIT_USAGE
from burdockdock.logs import start_logging
from burdockdock.node.settings import NodeSettings, read_settings

if TYPE_CHECKING:
    from burdockdock.node.interface import Interface

_GC_GENERATION_0_OBJECTS = 20_000
_GC_GENERATION_1_RUNS = 20
_GC_GENERATION_2_RUNS = 100

_SETTINGS_OPTION = click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    envvar="BURDOCKDOCK_CONFIG",
    help="INI file with the node's settings.",
)


@click.command()
@_SETTINGS_OPTION
def node(path: Path) -> None:
    """Run one node beside a backend server."""
    settings = _read_settings_or_exit(path)
    start_logging(node=settings.name)
    asyncio.run(_run_until_stopped(settings, path))


@click.group()
def settings() -> None:
    """Check a node's settings, or print a sample."""


@settings.command()
@_SETTINGS_OPTION
def check(path: Path) -> None:
    """Check a settings file and report every problem."""
    _read_settings_or_exit(path)
    click.echo(f"{path}: good")


@settings.command()
def sample() -> None:
    """Print a sample settings file that explains every key."""
    text = resources.files("burdockdock.node").joinpath("sample.ini").read_text()
    click.echo(text, nl=False)


async def _run_until_stopped(settings: NodeSettings, path: Path) -> None:
    from burdockdock.node.lifecycle import run_node
    from burdockdock.node.node import Node

    # A full collection would pause all calls in flight. Hence the young generation is
    # collected rarely, and the old one very rarely.
    gc.set_threshold(
        _GC_GENERATION_0_OBJECTS, _GC_GENERATION_1_RUNS, _GC_GENERATION_2_RUNS
    )
    # Objects that imports created live as long as the process: exclude them from
    # collection.
    gc.freeze()
    interface = _select_interface(settings)
    node = Node(settings, interface=interface)
    await run_node(node, settings=settings, path=path)


def _select_interface(settings: NodeSettings) -> "Interface":
    """Return the platform interface that the settings select."""
    from burdockdock.node.interface import OWN_INTERFACE

    if settings.platform_form == "own":
        return OWN_INTERFACE
    from burdockdock.platform import INTERFACE

    return INTERFACE


def _read_settings_or_exit(path: Path) -> NodeSettings:
    settings = read_settings(path)
    if isinstance(settings, NodeSettings):
        return settings
    for problem in settings:
        click.echo(f"{path}: {problem}", err=True)
    raise SystemExit(EXIT_USAGE)
