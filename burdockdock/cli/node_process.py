"""Runs a node as a process, without the command line's parser."""

import asyncio
import gc
import os
import sys
from pathlib import Path

from burdockdock.cli.exit_status import EXIT_USAGE
from burdockdock.logs import start_logging
from burdockdock.node.interface import OWN_INTERFACE, Interface
from burdockdock.node.lifecycle import run_node
from burdockdock.node.node import Node
from burdockdock.node.settings import NodeSettings, read_settings

_GC_GENERATION_0_OBJECTS = 20_000
_GC_GENERATION_1_RUNS = 20
_GC_GENERATION_2_RUNS = 100


def run_node_process(path: str) -> None:
    """Run one node until it is stopped, then exit the process.

    :param path: INI file with the node's settings.
    """
    settings = read_settings_or_exit(path)
    log_writer = start_logging(node=settings.name)
    asyncio.run(_run_until_stopped(settings, Path(path)))
    log_writer.flush()
    # Nothing is left to do, and tearing down the interpreter takes 0.03 s.
    os._exit(0)


def read_settings_or_exit(path: str) -> NodeSettings:
    """Read a settings file; print its problems and exit if it has any."""
    settings = read_settings(Path(path))
    if isinstance(settings, NodeSettings):
        return settings
    for problem in settings:
        print(f"{path}: {problem}", file=sys.stderr)
    raise SystemExit(EXIT_USAGE)


async def _run_until_stopped(settings: NodeSettings, path: Path) -> None:
    # A full collection would pause all calls in flight. Hence the young generation is
    # collected rarely, and the old one very rarely.
    gc.set_threshold(
        _GC_GENERATION_0_OBJECTS, _GC_GENERATION_1_RUNS, _GC_GENERATION_2_RUNS
    )
    interface = _select_interface(settings)
    # Objects that imports created live as long as the process: exclude them from
    # collection.
    gc.freeze()
    # The entry point disables collections while modules are imported.
    gc.enable()
    node = Node(settings, interface=interface)
    await run_node(node, settings=settings, path=path)


def _select_interface(settings: NodeSettings) -> Interface:
    """Return the platform interface that the settings select."""
    if settings.platform_form == "own":
        return OWN_INTERFACE
    # Deployments with the product's own formats don't need this module.
    from burdockdock.platform import INTERFACE

    return INTERFACE
