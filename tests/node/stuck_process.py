"""A process whose node hangs in its drain: ``python -m tests.node.stuck_process``.

The arguments are a name in ``BLOCKERS``, which says what blocks the drain, and the
grace period in seconds.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from burdockdock.logs import start_logging
from burdockdock.node.lifecycle import run_node
from burdockdock.node.settings import NodeSettings

_UNUSED_ADDRESS = ("127.0.0.1", 0)
_BLOCK_DURATION_S = 300.0


async def _sleep() -> None:
    await asyncio.sleep(_BLOCK_DURATION_S)


async def _block_event_loop() -> None:
    time.sleep(_BLOCK_DURATION_S)


async def _wait_for_a_thread() -> None:
    await asyncio.to_thread(time.sleep, _BLOCK_DURATION_S)


async def _swallow_cancellation() -> None:
    deadline_s = time.monotonic() + _BLOCK_DURATION_S
    while time.monotonic() < deadline_s:
        try:
            await asyncio.sleep(_BLOCK_DURATION_S)
        except asyncio.CancelledError:
            pass


BLOCKERS: dict[str, Callable[[], Awaitable[None]]] = {
    "wait": _sleep,
    "loop": _block_event_loop,
    "thread": _wait_for_a_thread,
    "cancellation": _swallow_cancellation,
}


class StuckNode:
    """Fake node that starts at once and blocks in its drain."""

    def __init__(self, block: Callable[[], Awaitable[None]]) -> None:
        self.stopping = asyncio.Event()
        self._block = block

    def stop(self) -> None:
        """Request a graceful shutdown."""
        self.stopping.set()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Ignore changed settings."""

    async def start(self) -> None:
        """Report the start to the parent process."""
        print("started", flush=True)

    async def drain(self) -> None:
        """Block for longer than any test runs."""
        await self._block()


async def _main(name: str, grace_s: float) -> None:
    settings = NodeSettings(
        name="stuck",
        mesh="test",
        region="r",
        availability_zone="z",
        callers=_UNUSED_ADDRESS,
        peers=_UNUSED_ADDRESS,
        operators=_UNUSED_ADDRESS,
        platform_url="http://127.0.0.1:1",
        grace_period_s=grace_s,
    )
    start_logging(node="stuck")
    await run_node(StuckNode(BLOCKERS[name]), settings=settings, path=Path("none"))


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], float(sys.argv[2])))
