"""A node as a process: its signals, its settings file, its start and its end."""

import asyncio
import signal
from pathlib import Path

from burdockdock.logs import log_event
from burdockdock.node.node import Node
from burdockdock.node.reload import SettingsWatch
from burdockdock.node.settings import NodeSettings
from burdockdock.node.supervise import supervise

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run_node(node: Node, *, settings: NodeSettings, path: Path) -> None:
    """Run a node until a stop signal or an operator's order, then drain it.

    :param settings: as they were read from the file.
    :param path: the settings file; its changes are taken in, with or without a signal.
    """
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, node.stop)
    watch = SettingsWatch(path, settings, apply=node.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, watch.signal)
    watching = asyncio.create_task(supervise("settings", watch.run))
    try:
        await _run_to_the_end(node)
    finally:
        watching.cancel()


async def _run_to_the_end(node: Node) -> None:
    joined = asyncio.create_task(node.start())
    stopped = asyncio.create_task(node.stopping.wait())
    await asyncio.wait({joined, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if not joined.done():
        log_event("node.stopped", reason="stopped before it joined")
        joined.cancel()
        return
    await joined
    await stopped
    await node.drain()
