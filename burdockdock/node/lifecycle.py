"""Process lifecycle of a node: signals, settings file, startup and shutdown."""

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
# Part of the grace period that is reserved for exiting after the drain is aborted.
_DRAIN_ABORT_RESERVE_S = 0.3
# Time for the log writer to flush its last lines.
_LOG_FLUSH_S = 0.12
# How long before the kill a watchdog thread exits a process that is still running.
_FORCED_EXIT_RESERVE_S = 0.1


async def run_node(node: Node, *, settings: NodeSettings, path: Path) -> None:
    """Run a node until a stop signal or an operator's drain request, then drain it.

    The process exits before the end of its grace period, even if the drain hangs.

    :param settings: settings as read from the file.
    :param path: settings file; changes are applied on SIGHUP and when the file changes.
    """
    loop = asyncio.get_running_loop()
    for stop_signal in _STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, node.stop)
    watch = SettingsWatch(path, settings, apply=node.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, watch.request_reload)
    watch_task = asyncio.create_task(supervise("settings", watch.run))
    try:
        await _run_until_stopped(node, watch)
    finally:
        watch_task.cancel()


async def _run_until_stopped(node: Node, watch: SettingsWatch) -> None:
    starting = asyncio.create_task(node.start())
    stop_requested = asyncio.create_task(node.stopping.wait())
    await asyncio.wait({starting, stop_requested}, return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        log_event("node.stopped", reason="stopped before it joined")
        _schedule_forced_exit(watch.settings)
        starting.cancel()
        return
    await starting
    await stop_requested
    await _drain_within_grace_period(node, watch.settings)


async def _drain_within_grace_period(node: Node, settings: NodeSettings) -> None:
    """Drain a node; abort the drain shortly before the grace period ends."""
    _schedule_forced_exit(settings)
    grace_s = settings.grace_period_s
    draining = asyncio.create_task(node.drain())
    # Don't cancel on timeout: code that closes a connection may swallow the
    # cancellation.
    await asyncio.wait(
        {draining}, timeout=grace_s - _DRAIN_ABORT_RESERVE_S if grace_s else None
    )
    if draining.done():
        await draining
        return
    log_event("node.drain_given_up", grace_s=grace_s)
    await asyncio.sleep(_LOG_FLUSH_S)
    # Cancelling hundreds of tasks and joining threads would take longer than the time
    # left.
    os._exit(0)


def _schedule_forced_exit(settings: NodeSettings) -> None:
    """Exit shortly before the kill, and dump the stack of each thread then."""
    remaining_s = settings.grace_period_s - _FORCED_EXIT_RESERVE_S
    if remaining_s > 0:
        faulthandler.dump_traceback_later(remaining_s, exit=True)
