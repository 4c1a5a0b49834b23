"""A node's tokens of one workspace, and what the node does without any.

While neither the grantor nor its deputy responds, a node admits requests at its
*floor*, its equal share of the workspace's rate among the nodes, of which it uses a
part at first. Without denials before, it keeps the rate that it was granted, if that is
higher.

No I/O; all times are monotonic seconds that are passed in. The clock must count time in
which the machine is suspended, so that tokens expire then too.
"""

import math
from collections import deque
from typing import NamedTuple

from burdockdock.coordination.quota import (
    QuotaBounds,
    QuotaGrant,
    QuotaLimit,
    fallback_rate_share,
)

# Tokens are asked for that are expected to be used within this time.
_HORIZON_S = 0.25
# Twice what the whole fleet is granted in that time at 180 requests per second: a node
# that asks for more only takes tokens from others.
_MAX_ASK = 100
# Time constants of the moving means of requests and of granted tokens.
_DEMAND_MEMORY_S = 1.0
_GRANTED_MEMORY_S = 2.0
# How often a grantor that doesn't respond is asked again.
_SILENT_ASK_INTERVAL_S = 0.25
# Nodes without a denial for this long saw a workspace within its quota.
_DENIAL_MEMORY_S = 5.0
# How long they keep the rate they were granted. The failure detector has found a dead
# grantor by then.
_KEEP_PREVIOUS_RATE_S = 10.0


class Token(NamedTuple):
    """The right to run one request.

    :param expires_s: monotonic time in seconds until which it may be used.
    """

    workspace: str
    expires_s: float


class Stock:
    """One workspace's tokens on one node, its demand, and the state of its grantor.

    ``hold_until_s`` is the time before which the grantor isn't asked again.

    :param nodes: number of nodes that share the quota.
    """

    def __init__(
        self,
        workspace: str,
        limit: QuotaLimit,
        *,
        bounds: QuotaBounds,
        nodes: int,
        now_s: float,
    ) -> None:
        self.hold_until_s = -math.inf
        self.used_at_s = now_s
        self.workspace = workspace
        self._bounds = bounds
        self._tokens: deque[float] = deque()
        self._demand = _MovingRate(_DEMAND_MEMORY_S)
        self._granted = _MovingRate(_GRANTED_MEMORY_S)
        self._denied_at_s = -math.inf
        self._next_retry_at_s = -math.inf
        self._silent_since_s = math.inf
        self._floor_tokens = 0.0
        self._floor_at_s = now_s
        self.set_limit(limit, nodes=nodes)

    def set_limit(self, limit: QuotaLimit, *, nodes: int) -> None:
        """Follow a change of the limit or of the number of nodes."""
        self.limit = limit
        self.life_s = self._bounds.grant_life_s(limit)
        self._equal_share_per_s = limit.rate_per_s / max(1, nodes)

    @property
    def is_silent(self) -> bool:
        """Whether the grantor doesn't respond."""
        return self._silent_since_s < math.inf

    def silent_s(self, now_s: float) -> float:
        """Return for how long the grantor hasn't responded, 0 if it does."""
        return max(0.0, now_s - self._silent_since_s)

    def note_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self.used_at_s = now_s
        self._demand.add(1, now_s)

    def take(self, now_s: float) -> Token | None:
        """Take a token that hasn't expired, None if there is none."""
        tokens = self._tokens
        while tokens:
            expires_s = tokens.popleft()
            if expires_s > now_s:
                return Token(self.workspace, expires_s)
        return None

    def give_back(self, token: Token, now_s: float) -> bool:
        """Take back a token whose request hasn't run; return False if it expired."""
        if token.expires_s <= now_s:
            return False
        self._tokens.appendleft(token.expires_s)
        return True

    def wanted(self, waiting: int, now_s: float) -> int:
        """Return how many tokens to ask for.

        :param waiting: number of requests that wait for one.
        """
        expected = int(self._demand.per_s(now_s) * _HORIZON_S)
        return min(max(waiting, expected), _MAX_ASK)

    def runs_low(self, now_s: float) -> bool:
        """Return whether to ask ahead, so that the next request need not wait.

        Only a node that uses several tokens while a grant lasts asks ahead; others
        would let most of them expire, while other nodes need them.
        """
        return not self._tokens and self._demand.per_s(now_s) * _HORIZON_S >= 2

    def add_grant(self, grant: QuotaGrant, *, asked_at_s: float, now_s: float) -> None:
        """Take in a response of the grantor.

        :param asked_at_s: when the request for it was sent first. The grantor took the
            tokens later than that, whatever the datagrams' delays.
        """
        self._silent_since_s = math.inf
        expires_s = asked_at_s + self.life_s
        if expires_s > now_s:
            self._tokens.extend([expires_s] * grant.count)
            self._granted.add(grant.count, now_s)
        if grant.retry_after_s > 0:
            self._denied_at_s = now_s
            self.hold_until_s = now_s + grant.retry_after_s

    def note_silence(self, *, since_s: float, now_s: float) -> None:
        """Note that the grantor didn't respond to a request.

        :param since_s: when the request was sent.
        """
        if not self.is_silent:
            self._silent_since_s = since_s
            self._floor_at_s = since_s
            self._floor_tokens = min(1.0, self._floor_per_s(now_s))
        self.hold_until_s = now_s + _SILENT_ASK_INTERVAL_S

    def take_floor(self, now_s: float, draw: float) -> Token | None:
        """Take a token of this node's floor while the grantor is silent.

        A node that goes on as before has less than one token most of the time, where a
        workspace has few requests at each node. It then admits a request with this
        probability, so that all nodes together admit as many as before.

        :param draw: a random number, at least 0 and below 1.
        """
        if not self.is_silent:
            return None
        rate_per_s = self._floor_per_s(now_s)
        added = max(0.0, now_s - self._floor_at_s) * rate_per_s
        self._floor_at_s = max(now_s, self._floor_at_s)
        self._floor_tokens = min(max(1.0, rate_per_s / 2), self._floor_tokens + added)
        if self._floor_tokens < (draw if self._goes_on(now_s) else 1.0):
            return None
        self._floor_tokens -= 1.0
        return Token(self.workspace, now_s + self.life_s)

    def retry_after_s(self, now_s: float) -> float:
        """Return when a refused request is likely to get a token, in seconds.

        Each request refused in a row is told a later time, at the rate at which this
        node gets tokens.
        """
        if self.is_silent:
            rate_per_s = self._floor_per_s(now_s)
            ready_s = now_s + max(0.0, 1 - self._floor_tokens) / rate_per_s
        else:
            rate_per_s = max(self._granted.per_s(now_s), self._equal_share_per_s)
            ready_s = max(now_s, self.hold_until_s)
        turn_s = min(max(ready_s, self._next_retry_at_s), now_s + self._bounds.window_s)
        self._next_retry_at_s = turn_s + 1 / rate_per_s
        return max(turn_s - now_s, 0.001)

    def _goes_on(self, now_s: float) -> bool:
        """Return whether this node admits as many requests as it was granted before.

        Without denials, what all nodes were granted was less than the rate.
        """
        return (
            self.silent_s(now_s) < _KEEP_PREVIOUS_RATE_S
            and self._silent_since_s - self._denied_at_s > _DENIAL_MEMORY_S
        )

    def _floor_per_s(self, now_s: float) -> float:
        """Return the rate of the floor.

        It is this node's equal share, which rises while the rest of the fleet notices.
        """
        floor_per_s = self._equal_share_per_s * fallback_rate_share(
            self.silent_s(now_s)
        )
        if self._goes_on(now_s):
            return max(self._granted.per_s(self._silent_since_s), floor_per_s)
        return floor_per_s


class _MovingRate:
    """Events per second, as a moving mean with exponential decay."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._rate_per_s = 0.0
        self._at_s = 0.0

    def add(self, count: int, now_s: float) -> None:
        """Count events."""
        self._rate_per_s = self.per_s(now_s) + count / self._memory_s
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the mean rate now."""
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._rate_per_s * math.exp(-elapsed_s / self._memory_s)
