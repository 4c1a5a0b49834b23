"""A node as a process: its signals, its settings file, its start and its end."""

import asyncio
import faulthandler
import os
import signal
from pathlib import Path

from burdockdock.logs import log_event
from burdockdock.node.node import Node
from burdockdock.node.reload import SettingsWatch
from burdockdock.node.settings import NodeSettings
from burdockdock.node.supervise import supervise

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# What ending the process takes once a drain was given up, before the kill.
_END_S = 0.3
# Within this the last lines of the log are written.
_LAST_LINES_S = 0.12
# What is left to a process that even this does not end.
_EXIT_S = 0.1


async def run_node(node: Node, *, settings: NodeSettings, path: Path) -> None:
    """Run a node until a stop signal or an operator's order, then drain it.

    The process ends before its grace period does, whatever holds it up.

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
        await _run_to_the_end(node, watch)
    finally:
        watching.cancel()


async def _run_to_the_end(node: Node, watch: SettingsWatch) -> None:
    joined = asyncio.create_task(node.start())
    stopped = asyncio.create_task(node.stopping.wait())
    await asyncio.wait({joined, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if not joined.done():
        log_event("node.stopped", reason="stopped before it joined")
        _exit_in_time(watch.settings)
        joined.cancel()
        return
    await joined
    await stopped
    await _drain_in_time(node, watch.settings)


async def _drain_in_time(node: Node, settings: NodeSettings) -> None:
    """Drain a node, and give up what is left of that before the kill."""
    _exit_in_time(settings)
    grace_s = settings.grace_period_s
    draining = asyncio.create_task(node.drain())
    # No cancellation here: closing a connection may swallow one.
    await asyncio.wait({draining}, timeout=grace_s - _END_S if grace_s else None)
    if draining.done():
        await draining
        return
    log_event("node.drain_given_up", grace_s=grace_s)
    await asyncio.sleep(_LAST_LINES_S)
    # To cancel hundreds of tasks and to join threads takes time that is not left.
    os._exit(0)


def _exit_in_time(settings: NodeSettings) -> None:
    """Exit shortly before the kill, and write down where each thread stands then."""
    left_s = settings.grace_period_s - _EXIT_S
    if left_s > 0:
        faulthandler.dump_traceback_later(left_s, exit=True)
