"""A check right before a call's first attempt."""

from collections.abc import Awaitable, Callable

from burdockdock.coordination.verdict import Failure

# Returns why not to make the attempt, None to make it.
ReadyCheck = Callable[[], Awaitable[Failure | None]]


async def always_ready() -> None:
    """Let a call make its first attempt."""
