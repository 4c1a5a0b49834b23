"""An event loop whose time goes on by itself, as fast as there is nothing to do."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

_START = datetime(2026, 1, 1, tzinfo=UTC)


class _SkippingSelector(selectors.SelectSelector):
    """Never waits: moves the loop's time on instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready now, after the wait that was asked for."""
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order without waiting for them."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return self._skipping.now_s


class LoopClock:
    """The clock of the running loop."""

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def now(self) -> datetime:
        """Return the time of day."""
        return _START + timedelta(seconds=self.monotonic())


def run_virtually(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(coroutine)
