"""A process whose node does not end by itself: ``python -m tests.node.stuck_process``.

The arguments are what holds it up, a name in ``HOLDS``, and its grace period in
seconds.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from burdockdock.logs import start_logging
from burdockdock.node.lifecycle import run_node
from burdockdock.node.settings import NodeSettings

_NOWHERE = ("127.0.0.1", 0)
_HOLD_S = 300.0


async def _wait() -> None:
    await asyncio.sleep(_HOLD_S)


async def _block_the_loop() -> None:
    time.sleep(_HOLD_S)


async def _wait_for_a_thread() -> None:
    await asyncio.to_thread(time.sleep, _HOLD_S)


async def _swallow_cancellation() -> None:
    end_s = time.monotonic() + _HOLD_S
    while time.monotonic() < end_s:
        try:
            await asyncio.sleep(_HOLD_S)
        except asyncio.CancelledError:
            pass


HOLDS: dict[str, Callable[[], Awaitable[None]]] = {
    "wait": _wait,
    "loop": _block_the_loop,
    "thread": _wait_for_a_thread,
    "cancellation": _swallow_cancellation,
}


class StuckNode:
    """Starts at once, and holds its drain up."""

    def __init__(self, hold: Callable[[], Awaitable[None]]) -> None:
        self.stopping = asyncio.Event()
        self._hold = hold

    def stop(self) -> None:
        """Begin a graceful stop."""
        self.stopping.set()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Take in changed settings."""

    async def start(self) -> None:
        """Say that it runs."""
        print("started", flush=True)

    async def drain(self) -> None:
        """Never end."""
        await self._hold()


async def _main(name: str, grace_s: float) -> None:
    settings = NodeSettings(
        name="stuck",
        mesh="test",
        region="r",
        availability_zone="z",
        callers=_NOWHERE,
        peers=_NOWHERE,
        operators=_NOWHERE,
        platform_url="http://127.0.0.1:1",
        grace_period_s=grace_s,
    )
    start_logging(node="stuck")
    await run_node(StuckNode(HOLDS[name]), settings=settings, path=Path("none"))


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], float(sys.argv[2])))
