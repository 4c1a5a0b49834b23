"""An event loop in virtual time: it skips the waits between timers."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by the timeout and return the events that are ready."""
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


class LoopClock:
    """Clock that reads the time of the running event loop."""

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def now(self) -> datetime:
        """Return the virtual date and time in UTC."""
        return _EPOCH + timedelta(seconds=self.monotonic())


def run_virtually(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(coroutine)
