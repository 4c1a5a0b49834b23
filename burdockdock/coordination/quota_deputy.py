"""Stands in for the grantor of a workspace that doesn't respond.

The grantor may be dead, or cut off with a part of the fleet. Until the failure detector
tells, its deputy, the second member by rank, grants a part of what the bound tolerates.
No I/O; all times are monotonic seconds that are passed in.
"""

import math
from typing import NamedTuple

from burdockdock.coordination.quota import (
    QuotaAsk,
    QuotaBounds,
    QuotaBucket,
    QuotaGrant,
    QuotaLimit,
    fallback_rate_share,
)

# Part of the tolerance that a deputy grants at once. The rest is left for the tokens
# that it grants later, and for the floors of nodes that reach no deputy.
_TOLERANCE_SHARE = 0.25
_PROBE_INTERVAL_S = 0.25
# A grantor that answers within this time isn't silent.
_PROBE_TIMEOUT_S = 0.05
_ANSWER_MEMORY_S = 0.5
# A deputy may grant its part of the tolerance once in this number of windows.
_WINDOWS_PER_ALLOWANCE = 2
# States nobody asked for this long aren't kept, if the allowance is whole by then.
_IDLE_S = 60.0


class Probe(NamedTuple):
    """A question whether the grantor responds.

    :param sent_at_s: monotonic time in seconds.
    """

    number: int
    sent_at_s: float


class _State:
    """What is known of one workspace's grantor, and the deputy's tokens."""

    def __init__(self, now_s: float) -> None:
        self.probe: Probe | None = None
        self.answered_at_s = -math.inf
        self.silent_since_s = math.inf
        self.used_at_s = now_s
        self.bucket: QuotaBucket | None = None
        self.is_granting = False


class Deputy:
    """Grants tokens of the workspaces for which this node is the second by rank."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._states: dict[str, _State] = {}
        self._number = 0
        self._allowance_period_s = _WINDOWS_PER_ALLOWANCE * bounds.window_s

    def next_probe(self, workspace: str, now_s: float) -> Probe | None:
        """Return the probe to send to the grantor now, None if none is due."""
        state = self._states.get(workspace)
        if state is None:
            state = self._states[workspace] = _State(now_s)
        state.used_at_s = now_s
        if state.probe and now_s - state.probe.sent_at_s < _PROBE_INTERVAL_S:
            return None
        if state.probe is None or now_s - state.probe.sent_at_s > _ANSWER_MEMORY_S:
            # Nobody asked for a while, so the grantor wasn't asked either.
            state.silent_since_s = now_s
        self._number += 1
        state.probe = Probe(self._number, now_s)
        return state.probe

    def note_answer(self, workspace: str, number: int, now_s: float) -> None:
        """Note that the grantor answered a probe."""
        state = self._states.get(workspace)
        if state and state.probe and state.probe.number == number:
            state.answered_at_s = now_s
            state.silent_since_s = now_s + _PROBE_INTERVAL_S
            state.is_granting = False

    def grant(
        self, ask: QuotaAsk, limit: QuotaLimit, *, share: float, now_s: float
    ) -> QuotaGrant:
        """Grant tokens if the grantor doesn't respond; call ``next_probe`` before.

        :param share: part of the rate that this node may grant as a grantor.
        """
        state = self._states[ask.workspace]
        if now_s - state.answered_at_s < _ANSWER_MEMORY_S:
            return QuotaGrant(ask.number, 0, is_grantor=False)
        silent_s = now_s - state.silent_since_s
        if silent_s < _PROBE_TIMEOUT_S:
            return QuotaGrant(ask.number, 0, _PROBE_TIMEOUT_S)
        depth = max(1.0, _TOLERANCE_SHARE * self._bounds.tolerance(limit))
        if state.bucket is None or not state.is_granting:
            state.is_granting = True
            state.bucket = self._filled_bucket(state.bucket, depth, now_s)
        rate_share = fallback_rate_share(silent_s, alive_share=share)
        rate_per_s = limit.rate_per_s * share * rate_share
        return state.bucket.grant(ask, rate_per_s=rate_per_s, depth=depth, now_s=now_s)

    def prune(self, now_s: float) -> None:
        """Drop what isn't needed any more."""
        max_idle_s = max(_IDLE_S, self._allowance_period_s)
        for workspace, state in list(self._states.items()):
            if now_s - state.used_at_s > max_idle_s:
                del self._states[workspace]
            elif state.bucket is not None:
                state.bucket.prune(now_s)

    def _filled_bucket(
        self, earlier: QuotaBucket | None, depth: float, now_s: float
    ) -> QuotaBucket:
        """Return a full bucket, less what was used of the earlier one recently."""
        if earlier is None:
            return QuotaBucket(now_s, tokens=depth)
        gained = depth * (now_s - earlier.used_at_s) / self._allowance_period_s
        return QuotaBucket(now_s, tokens=min(depth, earlier.tokens + gained))
