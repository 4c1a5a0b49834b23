"""Supervision of a node's background tasks."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from burdockdock.logs import log_event

_RESTART_DELAY_S = 1.0


async def supervise(name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a background task, and restart it whenever it returns or raises.

    :param name: name of the task in the log.
    :param run: coroutine function of the task, normally an endless loop.
    """
    while True:
        try:
            await run()
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            log_event(
                "task.failed",
                task=name,
                error=repr(error),
                file=frame.filename.rpartition("/")[2],
                line=frame.lineno,
            )
        await asyncio.sleep(_RESTART_DELAY_S)
