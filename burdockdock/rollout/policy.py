"""The rollout policy: decides a rollout's next state from its state and the facts."""

from datetime import datetime, timedelta
from typing import NamedTuple

from burdockdock.rollout.judge import Judgement
from burdockdock.rollout.model import Phase, Rollout

_SHARE_STEPS = (0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
# Fractions of the time from start to deadline.
_SHIFTING_FRACTION = 0.6
_SOAKING_FRACTION = 0.25
_MIN_SOAKING_FRACTION = 0.1
_MIN_DWELL_FRACTION = 0.02
_MIN_DWELL_S = 0.5
# Calls to the new version required before its share is raised to a value. The numbers
# are low because a fault that appears only under load is detected at a high share, and
# the calls needed to detect it must come after that share is reached.
_MIN_CALLS_FOR_SHARE = {0.25: 25, 0.5: 50, 1.0: 90}
_MIN_CALLS_TO_FINISH = 240
MIN_DURATION_S = 10.0


class Facts(NamedTuple):
    """The inputs of a decision.

    :param stop_reason: the reason if a candidate has stopped the version, else empty.
    :param new_slots: total slots of the new version's ready backend servers.
    :param old_slots: total slots of the old version's ready backend servers.
    :param in_contact: whether more than half of the service's gates are in touch. What
        isn't heard of can't be judged, so that the rollout doesn't go on without.
    """

    judgement: Judgement
    stop_reason: str
    new_slots: int
    old_slots: int
    in_contact: bool = True


def next_state(rollout: Rollout, facts: Facts, now: datetime) -> Rollout | None:
    """Return the rollout's next state, or None if it should not change yet."""
    if rollout.phase.final:
        return None
    fault = facts.stop_reason or facts.judgement.fault
    if fault:
        return rollout.enter(Phase.ROLLED_BACK, now=now, reason=fault)
    if now >= rollout.deadline and not _can_finish(rollout, facts, now):
        reason = f"not done by the deadline: {_describe_missing(rollout, facts)}"
        return rollout.enter(Phase.ROLLED_BACK, now=now, reason=reason)
    if not facts.in_contact:
        return None
    if rollout.phase is Phase.WAITING:
        return _start_shifting(rollout, facts, now)
    if rollout.phase is Phase.SHIFTING:
        return _raise_share(rollout, facts, now)
    return _finish_soaking(rollout, facts, now)


def earliest_deadline(now: datetime) -> datetime:
    """Return the earliest deadline that a rollout started now can meet."""
    return now + timedelta(seconds=MIN_DURATION_S)


def _start_shifting(rollout: Rollout, facts: Facts, now: datetime) -> Rollout | None:
    if not facts.new_slots:
        return None
    started = rollout.enter(
        Phase.SHIFTING, now=now, reason=f"{facts.new_slots} slots of it are ready"
    )
    return started._replace(share=_SHARE_STEPS[0])


def _raise_share(rollout: Rollout, facts: Facts, now: datetime) -> Rollout | None:
    """Raise the share if the schedule, the call count and the ready slots allow it."""
    share = next(s for s in _SHARE_STEPS if s > rollout.share)
    if now < _scheduled_at(rollout, share) or not _has_dwelled(rollout, now):
        return None
    calls = facts.judgement.new_calls
    if calls < _MIN_CALLS_FOR_SHARE.get(share, 0):
        return None
    if share > _max_share(facts):
        return None
    if share >= 1.0:
        return rollout.enter(Phase.SOAKING, now=now, reason=f"good in {calls} calls")
    return rollout._replace(share=share, step=rollout.step + 1, step_at=now)


def _finish_soaking(rollout: Rollout, facts: Facts, now: datetime) -> Rollout | None:
    if not _can_finish(rollout, facts, now):
        return None
    reason = f"no fault in {facts.judgement.new_calls} calls"
    return rollout.enter(Phase.DONE, now=now, reason=reason)


def _can_finish(rollout: Rollout, facts: Facts, now: datetime) -> bool:
    if rollout.phase is not Phase.SOAKING or rollout.step_at is None:
        return False
    if not facts.in_contact:
        return False
    # At the deadline, a soak that started late may finish after a shorter time.
    fraction = _SOAKING_FRACTION if now < rollout.deadline else _MIN_SOAKING_FRACTION
    soaked = now - rollout.step_at >= _duration(rollout) * fraction
    return soaked and facts.judgement.new_calls >= _MIN_CALLS_TO_FINISH


def _describe_missing(rollout: Rollout, facts: Facts) -> str:
    if not facts.in_contact:
        return "too few of the service's nodes could be reached"
    if not facts.new_slots:
        return f"no backend server of version {rollout.to_version} is ready"
    if facts.new_slots < facts.old_slots and rollout.phase is Phase.SHIFTING:
        return f"{facts.new_slots} slots ready, {facts.old_slots} in use"
    calls = facts.judgement.new_calls
    if calls < _MIN_CALLS_TO_FINISH:
        return f"not known after {calls} calls of {_MIN_CALLS_TO_FINISH}"
    return "the time for soaking ran out"


def _max_share(facts: Facts) -> float:
    """Return the largest share that the new version's slots can handle."""
    return min(1.0, facts.new_slots / max(1, facts.old_slots))


def _duration(rollout: Rollout) -> timedelta:
    return rollout.deadline - rollout.started_at


def _scheduled_at(rollout: Rollout, share: float) -> datetime:
    """Return when the rollout is scheduled to raise the share to a value."""
    fraction = _SHIFTING_FRACTION * _SHARE_STEPS.index(share) / len(_SHARE_STEPS)
    return rollout.started_at + _duration(rollout) * fraction


def _has_dwelled(rollout: Rollout, now: datetime) -> bool:
    """Return whether the share was held long enough, even behind schedule."""
    min_dwell = _duration(rollout) * _MIN_DWELL_FRACTION
    min_dwell = max(min_dwell, timedelta(seconds=_MIN_DWELL_S))
    return now - (rollout.step_at or now) >= min_dwell
