"""Keeping a node's background tasks running."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from burdockdock.logs import log_event

_RESTART_S = 1.0


async def supervise(name: str, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run an endless loop, and run it again when a fault ends it.

    :param name: the task's name in the log.
    """
    while True:
        try:
            await loop()
        except Exception as error:
            place = traceback.extract_tb(error.__traceback__)[-1]
            log_event(
                "task.failed",
                task=name,
                error=repr(error),
                file=place.filename.rpartition("/")[2],
                line=place.lineno,
            )
        await asyncio.sleep(_RESTART_S)
