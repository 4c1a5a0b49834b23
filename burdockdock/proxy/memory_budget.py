"""Accounts for the memory that a process holds for callers, and bounds its sum."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from burdockdock.clock import Clock

_MB = 1024 * 1024
# Part of the VM's memory for what is held for callers. A node at rest takes 50 MB and
# more of the 200 MB of the smallest VMs, and what is held occupies more than its bytes.
_BUDGET_SHARE = 0.15
# Shedding goes on to below the bound, so that not every chunk sheds someone.
_SHED_TO_SHARE = 0.875
# A caller that moves fewer bytes than this makes no progress.
_PROGRESS_BYTES = 4 * 1024
# Holders of less than this part of the mean are never shed: it would free little.
_SPARED_SHARE = 0.5


class Holding(NamedTuple):
    """What the policy knows of one holder.

    :param held_bytes: memory that is held for it.
    :param progressed_at_s: monotonic time in seconds at which it last made progress.
    :param whole: whether all of its request has arrived.
    """

    account: "MemoryAccount"
    held_bytes: int
    progressed_at_s: float
    whole: bool


Policy = Callable[[list[Holding]], Iterable[Holding]]


def least_progress_first(holdings: list[Holding]) -> list[Holding]:
    """Return who may be shed, in this order: what made the least progress first.

    Unfinished requests come before whole ones, those that made no progress for longest
    before others, and of these the largest first. Holders of little are spared, and so
    is one that is alone, since it can't hold more than its own buffers.
    """
    if len(holdings) < 2:
        return []
    mean_bytes = sum(h.held_bytes for h in holdings) / len(holdings)
    large = [h for h in holdings if h.held_bytes >= mean_bytes * _SPARED_SHARE]
    return sorted(large, key=lambda h: (h.whole, h.progressed_at_s, -h.held_bytes))


class MemoryAccount:
    """What is held for one request, or for one call at a gate.

    :param shed: ends the request or call; its bytes must be released at once.
    """

    def __init__(self, budget: "MemoryBudget", shed: Callable[[], None]) -> None:
        self.held_bytes = 0
        self.whole = False
        self.shed = shed
        self._budget = budget
        self.progressed_at_s = budget.clock.monotonic()
        self._moved_bytes = 0

    def hold(self, held_bytes: int) -> None:
        """Set the memory that is held, which may shed this account or others."""
        self._budget.change(self, held_bytes)

    def move(self, size_bytes: int) -> None:
        """Note that bytes arrived or were passed on."""
        self._moved_bytes += size_bytes
        if self._moved_bytes >= _PROGRESS_BYTES:
            self._moved_bytes = 0
            self.progressed_at_s = self._budget.clock.monotonic()

    def close(self) -> None:
        """Release everything; what is held later isn't counted."""
        self._budget.forget(self)


class MemoryBudget:
    """One bound for all that a process holds for callers.

    ``held_bytes`` is the sum over the open accounts.

    :param note_shed: called for each account that is shed.
    """

    def __init__(
        self,
        *,
        limit_bytes: int,
        clock: Clock,
        policy: Policy = least_progress_first,
        note_shed: Callable[[], None] = lambda: None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.clock = clock
        self._policy = policy
        self._note_shed = note_shed
        self._accounts: set[MemoryAccount] = set()
        self._shedding = False

    def open(self, shed: Callable[[], None], *, held_bytes: int = 0) -> MemoryAccount:
        """Open an account that holds some memory from the start."""
        account = MemoryAccount(self, shed)
        self._accounts.add(account)
        self.change(account, held_bytes)
        return account

    def change(self, account: MemoryAccount, held_bytes: int) -> None:
        """Set what an account holds, and shed while the sum is above the bound."""
        if account not in self._accounts:
            return
        grows = held_bytes > account.held_bytes
        self.held_bytes += held_bytes - account.held_bytes
        account.held_bytes = held_bytes
        if grows and self.held_bytes > self.limit_bytes and not self._shedding:
            self._shed()

    def forget(self, account: MemoryAccount) -> None:
        """Close an account."""
        if account in self._accounts:
            self._accounts.discard(account)
            self.held_bytes -= account.held_bytes
            account.held_bytes = 0

    def _shed(self) -> None:
        self._shedding = True
        target_bytes = self.limit_bytes * _SHED_TO_SHARE
        holdings = [
            Holding(a, a.held_bytes, a.progressed_at_s, a.whole) for a in self._accounts
        ]
        try:
            for holding in self._policy(holdings):
                if self.held_bytes <= target_bytes:
                    break
                self.forget(holding.account)
                self._note_shed()
                holding.account.shed()
        finally:
            self._shedding = False


def budget_bytes(memory_mb: float) -> int:
    """Return the bound for callers on a VM with this memory."""
    return int(memory_mb * _MB * _BUDGET_SHARE)
