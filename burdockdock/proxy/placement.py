"""Choice of the backend server for an attempt, without state, input or output.

All times are expected seconds. The balancer gives the figures; what decided is part of
the result, so that a choice can be explained afterwards.
"""

from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

from burdockdock.coordination.membership import Member

# Randomizes expected durations by up to this share, so that small differences don't
# send all calls to one member.
JITTER_SHARE = 0.05
# A call that would be late at home crosses unless the crossing costs more than this,
# which is 6 MB at 0.1 s per KB: the bytes of an ordinary answer cost less than its
# lateness, those of a very large one don't.
_MAX_COST_OF_LATE_CALL_S = 600.0
# Share of the time left that a call may be expected to take at home. Expected times are
# means: with all of it, about half of the calls would be late.
_SAFE_SHARE_OF_TIME_LEFT = 0.8
# The same in another zone. It is lower, so that a call crosses to spare capacity only
# and doesn't take the room of calls that would then have to cross themselves.
_SAFE_SHARE_ELSEWHERE = 0.5


class CrossingTerms(NamedTuple):
    """What a zone crossing costs a call, and the time in which it has to end.

    :param cost_s: seconds that the call must gain by the crossing.
    :param time_left_s: seconds until the answer loses value.
    """

    cost_s: float
    time_left_s: float


class Candidate(NamedTuple):
    """A member with the parts of the expected duration of an attempt there.

    :param service_s: time on the backend server.
    :param wait_s: time in the queue of its gate.
    :param penalty_s: for the distance and for failures.
    """

    member: Member
    service_s: float
    wait_s: float
    penalty_s: float


class Reason(StrEnum):
    """Why a member was chosen."""

    SOONEST = "soonest"
    ONLY_HOME = "only_home"
    ONLY_ELSEWHERE = "only_elsewhere"
    HOME_IN_TIME = "home_in_time"
    CROSSING_GAINS = "crossing_gains"
    HOME_LATE = "home_late"
    NOWHERE_IN_TIME = "nowhere_in_time"
    CROSSING_TOO_DEAR = "crossing_too_dear"


class Choice(NamedTuple):
    """The chosen candidate and what decided.

    :param home_s: expected duration at the best member of the own zone, infinite
        without one.
    :param elsewhere_s: the same for the other zones, without the cost of the crossing.
    """

    candidate: Candidate
    reason: Reason
    home_s: float
    elsewhere_s: float


class _Best(NamedTuple):
    candidate: Candidate | None
    duration_s: float


_NOBODY = _Best(None, float("inf"))


def choose(
    home: Sequence[Candidate],
    elsewhere: Sequence[Candidate],
    *,
    terms: CrossingTerms,
    uniform: Callable[[], float],
) -> Choice | None:
    """Choose between the own availability zone and the others.

    Crossings cost traffic, so a call leaves its zone only if it gains more than the
    cost, or would be late at home while another zone has spare capacity. This answers
    uneven demand: one zone has more calls than it can serve while others have room.

    :param home: candidates in the own zone.
    :param elsewhere: a few random candidates in other zones; since each choice compares
        others, calls that cross don't all go to the same member.
    :param uniform: returns random numbers from 0 to 1.
    """
    near = _soonest(home, uniform)
    far = _soonest(elsewhere, uniform)
    if near.candidate is None or far.candidate is None:
        return _only_one(near, far)
    reason = _crossing_reason(near.duration_s, far.duration_s, terms)
    crosses = reason in (Reason.CROSSING_GAINS, Reason.HOME_LATE)
    chosen = far.candidate if crosses else near.candidate
    return Choice(chosen, reason, near.duration_s, far.duration_s)


def _only_one(near: _Best, far: _Best) -> Choice | None:
    if near.candidate is not None:
        return Choice(near.candidate, Reason.ONLY_HOME, *_durations(near, far))
    if far.candidate is not None:
        return Choice(far.candidate, Reason.ONLY_ELSEWHERE, *_durations(near, far))
    return None


def _durations(near: _Best, far: _Best) -> tuple[float, float]:
    return near.duration_s, far.duration_s


def _crossing_reason(home_s: float, elsewhere_s: float, terms: CrossingTerms) -> Reason:
    """Return whether a call crosses, and why.

    A call that would miss its target at home crosses even if the shorter queue alone
    doesn't pay for it.
    """
    if elsewhere_s + terms.cost_s < home_s:
        return Reason.CROSSING_GAINS
    safe_s = terms.time_left_s * _SAFE_SHARE_OF_TIME_LEFT
    if home_s <= safe_s:
        return Reason.HOME_IN_TIME
    if elsewhere_s > terms.time_left_s * _SAFE_SHARE_ELSEWHERE:
        return Reason.NOWHERE_IN_TIME
    if terms.cost_s > _MAX_COST_OF_LATE_CALL_S:
        return Reason.CROSSING_TOO_DEAR
    return Reason.HOME_LATE


def _soonest(candidates: Sequence[Candidate], uniform: Callable[[], float]) -> _Best:
    best, best_s = None, float("inf")
    for candidate in candidates:
        _, service_s, wait_s, penalty_s = candidate
        duration_s = service_s + wait_s + penalty_s
        duration_s *= 1.0 + JITTER_SHARE * (2.0 * uniform() - 1.0)
        if duration_s < best_s:
            best, best_s = candidate, duration_s
    return _Best(best, best_s)
