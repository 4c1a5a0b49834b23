"""The platform of all nodes of a model, which can return from an older copy."""

import asyncio
from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

from burdockdock.coordination.verdict import Failure
from burdockdock.platform_api import Conflict, PlatformObject, WatchResult
from burdockdock.platform_api.era import StoreEra
from burdockdock.rollout.model import ROLLOUT_PREFIX, Rollout, rollout_from
from tests.support import UNAVAILABLE, FakePlatform

_CALL_S = 0.02
_RETRY_DELAY_S = 0.5


class _Change(NamedTuple):
    """What undoes one change.

    :param revision: revision before the change.
    :param previous: the object before the change, None if there was none.
    """

    at_s: float
    revision: int
    key: str
    previous: PlatformObject | None


class SharedPlatform(FakePlatform):
    """The platform of all nodes, which keeps every state of every rollout.

    :ivar era_number: number of returns from a copy.
    :ivar states: all states that were ever stored, but for those that :meth:`forget`
        was told of.
    :ivar shared_epochs: epochs of leases under which several processes wrote, and
        writes under an epoch that was over.
    """

    def __init__(self) -> None:
        super().__init__()
        self.states: list[Rollout] = []
        self.era_number = 0
        self.shared_epochs: list[str] = []
        self._writers: dict[tuple[str, int], str] = {}
        self._written: set[tuple[str, int, int]] = set()
        self._changes: list[_Change] = []

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Write an object, and keep a rollout's state if it took effect."""
        change = _Change(_now_s(), self._revision, key, self.objects.get(key))
        result = await super().try_update(
            key, expected_version=expected_version, value=value
        )
        if isinstance(result, Conflict):
            return Conflict(result.current._replace(era=self.era_number))
        if not isinstance(result, PlatformObject):
            return result
        self._changes.append(change)
        if key.startswith(ROLLOUT_PREFIX):
            self.states.append(rollout_from(value))
        return result._replace(era=self.era_number)

    def note_writer(self, rollout: Rollout, writer: str) -> None:
        """Note which process wrote a state, unless it was written before."""
        state = (rollout.service, rollout.number, rollout.step)
        if state in self._written:
            return
        self._written.add(state)
        # The first state is an operator's.
        if not rollout.step:
            return
        epoch = (rollout.service, rollout.epoch)
        first = self._writers.setdefault(epoch, writer)
        newest = max(e for service, e in self._writers if service == rollout.service)
        if first != writer or rollout.epoch < newest:
            self.shared_epochs.append(
                f"{writer} wrote {state} under {epoch} of {first}"
            )

    def return_from_copy(self, age_s: float) -> list[Rollout]:
        """Undo the changes of the last seconds; their revisions are given out again.

        :returns: the states of rollouts that are lost.
        """
        copied_at_s = _now_s() - age_s
        lost = []
        while self._changes and self._changes[-1].at_s > copied_at_s:
            change = self._changes.pop()
            if change.key.startswith(ROLLOUT_PREFIX):
                lost.append(rollout_from(self.objects[change.key].value))
            self._revision = change.revision
            self.objects.pop(change.key)
            if change.previous is not None:
                self.objects[change.key] = change.previous
        self.era_number += 1
        self.era.accept(str(self.era_number))
        return lost

    def forget(self, states: Iterable[Rollout]) -> None:
        """Take states for never stored, since nobody knows of them any more."""
        for state in states:
            self.states.remove(state)


class Network(Protocol):
    """What decides whether a node reaches the platform."""

    platform: SharedPlatform
    answers_lost: bool

    def reaches_platform(self, index: int) -> bool:
        """Return whether a node reaches the platform."""

    async def wait_resumed(self, index: int) -> None:
        """Wait while a node is paused."""


class NodePlatform:
    """One node's way to the platform.

    :param process: id of the node's process, another one after each restart.
    :ivar era: the newest era that this node was told of.
    """

    def __init__(self, network: Network, index: int, *, process: str) -> None:
        self._network = network
        self._index = index
        self._process = process
        self.era = StoreEra(count=lambda name: None)

    async def read(self, key: str) -> PlatformObject | Failure:
        """Read an object."""
        await self._reach()
        if not self._network.reaches_platform(self._index):
            return UNAVAILABLE
        self.note_era()
        return await self._network.platform.read(key)

    async def list(self, prefix: str) -> WatchResult | Failure:
        """Read all objects under a prefix."""
        await self._reach()
        if not self._network.reaches_platform(self._index):
            return UNAVAILABLE
        self.note_era()
        return await self._network.platform.list(prefix)

    async def pause_after_failure(self) -> None:
        """Wait before the next try."""
        await asyncio.sleep(_RETRY_DELAY_S)

    async def try_update(
        self, key: str, *, expected_version: int, value: dict[str, Any]
    ) -> PlatformObject | Conflict | Failure:
        """Make one conditional update, whose answer may be lost."""
        await self._reach()
        if not self._network.reaches_platform(self._index):
            return UNAVAILABLE
        platform = self._network.platform
        era_number = platform.era_number
        result = await platform.try_update(
            key, expected_version=expected_version, value=value
        )
        if isinstance(result, PlatformObject) and key.startswith(ROLLOUT_PREFIX):
            platform.note_writer(rollout_from(value), self._process)
        await self._reach()
        reached = self._network.reaches_platform(self._index)
        # What the platform answered before its return doesn't reach anybody.
        past = platform.era_number != era_number
        if self._network.answers_lost or not reached or past:
            return UNAVAILABLE
        self.note_era()
        return result

    async def update(
        self,
        key: str,
        *,
        expected_version: int,
        value: dict[str, Any],
        retry_timeout_s: float = 10.0,
    ) -> PlatformObject | Conflict | Failure:
        """Update as the client of the platform does, with a token."""
        token = self._network.platform.new_token()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + retry_timeout_s
        while True:
            result = await self.try_update(
                key, expected_version=expected_version, value={**value, "token": token}
            )
            if isinstance(result, Conflict):
                is_own = result.current.value.get("token") == token
                return result.current if is_own else result
            if result or loop.time() + _RETRY_DELAY_S >= deadline_s:
                return result
            await asyncio.sleep(_RETRY_DELAY_S)

    def note_era(self) -> None:
        """Note the era that the platform states in an answer."""
        self.era.accept(str(self._network.platform.era_number))

    async def _reach(self) -> None:
        await asyncio.sleep(_CALL_S)
        await self._network.wait_resumed(self._index)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
