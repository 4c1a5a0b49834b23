"""The next step of a rollout, decided from its state and the facts."""

from datetime import datetime, timedelta
from typing import NamedTuple

from burdockdock.rollout.judge import Judgement
from burdockdock.rollout.model import Phase, Rollout

_SHARES = (0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
# Parts of the time from start to deadline.
_SHIFTING_PART = 0.6
_SOAKING_PART = 0.25
_SHORTEST_SOAKING_PART = 0.1
_SHORTEST_DWELL_PART = 0.02
_MIN_DWELL_S = 0.5
# Calls that the new version must have had before it takes a share: few, since a fault
# that shows only under load is found at a high share, and needs calls then.
_CALLS_FOR_SHARE = {0.25: 25, 0.5: 50, 1.0: 90}
_CALLS_TO_BE_DONE = 240
MIN_DURATION_S = 10.0


class Facts(NamedTuple):
    """What a decision is based on.

    :param aborted: reason of an abort by any node, empty without one.
    :param new_slots: slots of the new version's ready backend servers.
    :param old_slots: those of the old version.
    """

    judgement: Judgement
    aborted: str
    new_slots: int
    old_slots: int


def next_state(rollout: Rollout, facts: Facts, now: datetime) -> Rollout | None:
    """Return the state that follows, None when nothing is to change yet."""
    if rollout.phase.final:
        return None
    fault = facts.aborted or facts.judgement.fault
    if fault:
        return rollout.enter(Phase.ROLLED_BACK, now=now, reason=fault)
    if now >= rollout.deadline and not _may_be_done(rollout, facts, now):
        reason = f"not done by the deadline: {_what_is_missing(rollout, facts)}"
        return rollout.enter(Phase.ROLLED_BACK, now=now, reason=reason)
    if rollout.phase is Phase.WAITING:
        return _start_shifting(rollout, facts, now)
    if rollout.phase is Phase.SHIFTING:
        return _shift(rollout, facts, now)
    return _finish_soaking(rollout, facts, now)


def earliest_deadline(now: datetime) -> datetime:
    """Return the earliest deadline that a new rollout can meet."""
    return now + timedelta(seconds=MIN_DURATION_S)


def _start_shifting(rollout: Rollout, facts: Facts, now: datetime) -> Rollout | None:
    if not facts.new_slots:
        return None
    started = rollout.enter(
        Phase.SHIFTING, now=now, reason=f"{facts.new_slots} slots of it are ready"
    )
    return started._replace(share=_SHARES[0])


def _shift(rollout: Rollout, facts: Facts, now: datetime) -> Rollout | None:
    """Grow the share when the time since the last step and the evidence allow it."""
    share = next(s for s in _SHARES if s > rollout.share)
    if now < _planned_at(rollout, share) or not _has_dwelt(rollout, now):
        return None
    calls = facts.judgement.new_calls
    if calls < _CALLS_FOR_SHARE.get(share, 0):
        return None
    if share > _largest_share(facts):
        return None
    if share >= 1.0:
        return rollout.enter(Phase.SOAKING, now=now, reason=f"good in {calls} calls")
    return rollout._replace(share=share, step=rollout.step + 1, step_at=now)


def _finish_soaking(rollout: Rollout, facts: Facts, now: datetime) -> Rollout | None:
    if not _may_be_done(rollout, facts, now):
        return None
    reason = f"no fault in {facts.judgement.new_calls} calls"
    return rollout.enter(Phase.DONE, now=now, reason=reason)


def _may_be_done(rollout: Rollout, facts: Facts, now: datetime) -> bool:
    if rollout.phase is not Phase.SOAKING or rollout.step_at is None:
        return False
    # A soak that began late is cut short by the deadline, to a part of its time.
    part = _SOAKING_PART if now < rollout.deadline else _SHORTEST_SOAKING_PART
    soaked = now - rollout.step_at >= _duration(rollout) * part
    return soaked and facts.judgement.new_calls >= _CALLS_TO_BE_DONE


def _what_is_missing(rollout: Rollout, facts: Facts) -> str:
    if not facts.new_slots:
        return f"no backend server of version {rollout.to_version} is ready"
    if facts.new_slots < facts.old_slots and rollout.phase is Phase.SHIFTING:
        return f"{facts.new_slots} slots ready, {facts.old_slots} in use"
    calls = facts.judgement.new_calls
    if calls < _CALLS_TO_BE_DONE:
        return f"not known after {calls} calls of {_CALLS_TO_BE_DONE}"
    return "the time for soaking ran out"


def _largest_share(facts: Facts) -> float:
    """Return the share that the new version's slots can carry."""
    return min(1.0, facts.new_slots / max(1, facts.old_slots))


def _duration(rollout: Rollout) -> timedelta:
    return rollout.deadline - rollout.started_at


def _planned_at(rollout: Rollout, share: float) -> datetime:
    """Return when a share is due by the plan."""
    part = _SHIFTING_PART * _SHARES.index(share) / len(_SHARES)
    return rollout.started_at + _duration(rollout) * part


def _has_dwelt(rollout: Rollout, now: datetime) -> bool:
    """Tell whether the share stood long enough, also when the plan is late."""
    shortest = _duration(rollout) * _SHORTEST_DWELL_PART
    shortest = max(shortest, timedelta(seconds=_MIN_DWELL_S))
    return now - (rollout.step_at or now) >= shortest
