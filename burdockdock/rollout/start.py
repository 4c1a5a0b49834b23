"""Starts and cancels rollouts by conditional updates in the platform."""

from datetime import datetime
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure
from burdockdock.platform_api.client import Conflict, PlatformClient, PlatformObject
from burdockdock.rollout.model import (
    ROLLOUT_PREFIX,
    Phase,
    PhaseChange,
    Rollout,
    rollout_from,
)
from burdockdock.rollout.policy import earliest_deadline


class ChangeFailure(NamedTuple):
    """Why a rollout could not be started or cancelled.

    :param outcome_unknown: whether the change may have taken effect, because the
        platform gave no usable answer.
    """

    message: str
    outcome_unknown: bool = False

    def __bool__(self) -> bool:
        """Return False, so that a failure is falsy as ``Failure`` is."""
        return False


class StoredRollout(NamedTuple):
    """A service's newest rollout and its object, None and version 0 without one."""

    rollout: Rollout | None
    stored: PlatformObject


async def read_rollout(
    platform: PlatformClient, service: str
) -> StoredRollout | Failure:
    """Return what the platform has of a service's newest rollout."""
    found = await platform.read(ROLLOUT_PREFIX + service)
    if isinstance(found, Failure):
        return found
    if not found.version:
        return StoredRollout(None, found)
    return StoredRollout(rollout_from(found.value), found)


async def start_rollout(
    platform: PlatformClient,
    *,
    service: str,
    from_version: str,
    to_version: str,
    deadline: datetime,
    author: str,
    reason: str,
    clock: Clock,
    last_number: int = 0,
) -> Rollout | ChangeFailure:
    """Write a new rollout unless another one of the service is in progress.

    :param last_number: newest number that is known to be used, also if the platform
        lost that rollout.
    """
    now = clock.now()
    failure = _validate(from_version, to_version, deadline, reason, now)
    if failure is not None:
        return failure
    found = await read_rollout(platform, service)
    if isinstance(found, Failure):
        return ChangeFailure(f"the platform can't be reached: {found.detail}")
    current = found.rollout
    if current is not None and not current.phase.final:
        return ChangeFailure(_describe_conflict(current))
    change = PhaseChange(Phase.WAITING.value, now.isoformat(), reason)
    rollout = Rollout(
        service=service,
        number=max(current.number if current else 0, last_number) + 1,
        from_version=from_version,
        to_version=to_version,
        started_at=now,
        deadline=deadline,
        author=author,
        reason=reason,
        # The next lease gets a higher one, also if the store loses the lease.
        epoch=current.epoch if current else 0,
        history=(change,),
    )
    result = await platform.update(
        ROLLOUT_PREFIX + service,
        expected_version=found.stored.version,
        value=rollout.to_value(),
    )
    return _describe_result(result, rollout)


async def cancel_rollout(
    platform: PlatformClient, *, service: str, author: str, reason: str, clock: Clock
) -> Rollout | ChangeFailure:
    """Roll back a rollout at an operator's request."""
    while True:
        found = await read_rollout(platform, service)
        if isinstance(found, Failure):
            return ChangeFailure(f"the platform can't be reached: {found.detail}")
        rollout = found.rollout
        if rollout is None:
            return ChangeFailure(f"no move of {service} was ever started")
        if rollout.phase.final:
            return ChangeFailure(f"the move already ended: {rollout.phase.value}")
        cancelled = rollout.enter(
            Phase.ROLLED_BACK,
            now=clock.now(),
            reason=f"cancelled by {author}: {reason}",
        )
        result = await platform.update(
            ROLLOUT_PREFIX + service,
            expected_version=found.stored.version,
            value=cancelled.to_value(),
        )
        # On a conflict the owner has written a newer state: cancel that one instead.
        if not isinstance(result, Conflict):
            return _describe_result(result, cancelled)


def _validate(
    from_version: str, to_version: str, deadline: datetime, reason: str, now: datetime
) -> ChangeFailure | None:
    if from_version == to_version:
        return ChangeFailure("both versions are the same")
    if not reason.strip():
        return ChangeFailure("a reason is required")
    earliest = earliest_deadline(now)
    if deadline < earliest:
        return ChangeFailure(
            f"can't be done by {deadline.isoformat(timespec='seconds')}; the earliest "
            f"time is {earliest.isoformat(timespec='seconds')}"
        )
    return None


def _describe_result(
    result: PlatformObject | Conflict | Failure, rollout: Rollout
) -> Rollout | ChangeFailure:
    if isinstance(result, Failure):
        return ChangeFailure(f"outcome unknown: {result.detail}", outcome_unknown=True)
    if isinstance(result, Conflict):
        return ChangeFailure(_describe_conflict(rollout_from(result.current.value)))
    return rollout


def _describe_conflict(other: Rollout) -> str:
    return (
        f"another move of {other.service} came first: {other.from_version} to "
        f"{other.to_version} by {other.author}, {other.phase.value}"
    )
