"""Quotas over the whole fleet: limits, bounds, and the grantor of tokens.

One node grants the tokens of a workspace, from one token bucket. A grant expires after
a fraction of a second, so that the tokens used in a window are those granted in it and
shortly before. No I/O; all times are monotonic seconds that are passed in.
"""

from typing import NamedTuple

_MAX_GRANT_LIFE_S = 0.3
_MIN_GRANT_LIFE_S = 0.05
# Part of the tolerance that tokens which were granted before a window may use up in it.
# The rest is left for calls that wait at gates, and for partitions of the fleet.
_GRANT_LIFE_SHARE = 0.5
# Part of the tolerance that the bucket of a workspace with a small burst may hold, so
# that requests which arrive at the same moment find tokens.
_DEPTH_SHARE = 0.25
_DEPTH_S = 0.05
# Part of the tolerance of a window that is granted on top of the rate. Requests inside
# the quota would be refused otherwise where tokens expired unused at other nodes, or
# went to requests that a caller counts at a slightly different time.
_EXTRA_RATE_SHARE = 0.25
# A node that was denied asks again after this time at the latest: its demand may have
# changed, and that of others too.
MAX_HOLD_S = 0.5
_MIN_HOLD_S = 0.02
# A repeated request is answered with the grant that it got for this time.
_REPEAT_MEMORY_S = 2.0
# Buckets nobody asked for this long aren't kept, if they are full again by then.
_IDLE_BUCKET_S = 60.0
# While a grantor doesn't respond, it may be dead, or cut off with a part of the fleet
# that goes on using the whole rate until the failure detector tells it. What others use
# meanwhile starts with this part of the rate, and rises to all of it. The detector
# takes some 6 s, of which a suspect has 4 s to refute the suspicion, and longer in
# small parts of a fleet.
_FALLBACK_START = 0.15
_FALLBACK_RISE_AFTER_S = 3.0
_FALLBACK_FULL_AFTER_S = 8.0
# A node that sees nearly all others alive after this time is in the larger part by far.
# The grantor is dead, or cut off with few nodes, and knows that nobody answers it.
_FALLBACK_FULL_AFTER_MOST_ALIVE_S = 4.0
_MOST_ALIVE = 0.9


class QuotaLimit(NamedTuple):
    """Limit of one workspace.

    :param rate_per_s: requests per second over the whole fleet.
    :param burst: requests beyond the rate after a time without requests.
    """

    rate_per_s: float
    burst: float = 0.0


class QuotaBounds(NamedTuple):
    """How far the requests in a window may exceed a workspace's limit.

    :param window_s: length of the window in seconds.
    :param overage: tolerated excess, as a share of the limit's requests.
    :param slack: tolerated excess in requests, beside the overage; the setting
        ``quota_slack``.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def tolerance(self, limit: QuotaLimit) -> float:
        """Return by how many requests a window may exceed the limit."""
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return self.overage * allowed + self.slack

    def granted_rate_per_s(self, limit: QuotaLimit) -> float:
        """Return how many tokens the whole fleet is granted per second."""
        extra = _EXTRA_RATE_SHARE * self.tolerance(limit) / self.window_s
        return limit.rate_per_s + extra

    def grant_life_s(self, limit: QuotaLimit) -> float:
        """Return how long a granted token may be used, in seconds."""
        life_s = _GRANT_LIFE_SHARE * self.tolerance(limit) / limit.rate_per_s
        return min(max(life_s, _MIN_GRANT_LIFE_S), _MAX_GRANT_LIFE_S)

    def depth(self, limit: QuotaLimit) -> float:
        """Return how many tokens the bucket of the whole fleet holds."""
        least = min(
            _DEPTH_SHARE * self.tolerance(limit), 1 + _DEPTH_S * limit.rate_per_s
        )
        return max(limit.burst, least, 1.0)


def fallback_rate_share(silent_s: float, *, alive_share: float = 0.0) -> float:
    """Return the share of a rate that may be used while its grantor doesn't respond.

    :param silent_s: seconds since it last responded.
    :param alive_share: part of the fleet that this node sees alive, 0 if unknown.
    """
    full_after_s = _FALLBACK_FULL_AFTER_S
    if alive_share >= _MOST_ALIVE:
        full_after_s = _FALLBACK_FULL_AFTER_MOST_ALIVE_S
    rising_s = full_after_s - _FALLBACK_RISE_AFTER_S
    risen = min(max((silent_s - _FALLBACK_RISE_AFTER_S) / rising_s, 0.0), 1.0)
    return _FALLBACK_START + (1 - _FALLBACK_START) * risen


class QuotaAsk(NamedTuple):
    """A node's request for tokens.

    :param number: identifies the request among those of the node; a repetition after a
        lost datagram has the same.
    :param count: tokens wanted; 0 asks only whether the grantor responds.
    """

    workspace: str
    node_id: str
    number: int
    count: int


class QuotaGrant(NamedTuple):
    """The grantor's response.

    :param count: tokens granted, 0 to the number wanted.
    :param retry_after_s: seconds after which to ask for the rest, 0 for none.
    :param is_grantor: False if the node that was asked grants no tokens of the
        workspace, as far as it knows.
    """

    number: int
    count: int
    retry_after_s: float = 0.0
    is_grantor: bool = True


class QuotaBucket:
    """Tokens of one workspace, and when those that were denied may ask again.

    ``used_at_s`` is when it was last asked, ``fill_time_s`` how long an empty one takes
    to fill at the rate and depth of that request.

    :param filled_at_s: when it starts to fill, which may be in the future.
    :param tokens: tokens that it holds then.
    """

    def __init__(self, filled_at_s: float, *, tokens: float = 0.0) -> None:
        self.tokens = tokens
        self.used_at_s = filled_at_s
        self.fill_time_s = 0.0
        self._next_turn_s = filled_at_s
        self._refilled_at_s = filled_at_s
        self._replies: dict[str, tuple[QuotaGrant, float]] = {}

    def grant(
        self, ask: QuotaAsk, *, rate_per_s: float, depth: float, now_s: float
    ) -> QuotaGrant:
        """Grant as many of the tokens wanted as there are.

        :param rate_per_s: tokens added per second since the last time.
        :param depth: maximum number of tokens.
        """
        known = self._replies.get(ask.node_id)
        if known is not None and known[0].number == ask.number:
            return known[0]
        self._refill(rate_per_s, depth, now_s)
        self.used_at_s = now_s
        self.fill_time_s = depth / rate_per_s
        count = min(ask.count, int(self.tokens + 1e-9))
        self.tokens = max(0.0, self.tokens - count)
        retry_after_s = 0.0
        if count < ask.count:
            retry_after_s = self._next_turn_after_s(rate_per_s, now_s)
        grant = QuotaGrant(ask.number, count, retry_after_s)
        self._replies[ask.node_id] = (grant, now_s)
        return grant

    def prune(self, now_s: float) -> None:
        """Drop replies that no repeated request can ask for any more."""
        for node_id, (_, granted_at_s) in list(self._replies.items()):
            if now_s - granted_at_s > _REPEAT_MEMORY_S:
                del self._replies[node_id]

    def _refill(self, rate_per_s: float, depth: float, now_s: float) -> None:
        added = max(0.0, now_s - self._refilled_at_s) * rate_per_s
        self._refilled_at_s = max(now_s, self._refilled_at_s)
        self.tokens = min(depth, self.tokens + added)

    def _next_turn_after_s(self, rate_per_s: float, now_s: float) -> float:
        """Return when a node that was denied may ask again, each at its own time."""
        missing_s = max(0.0, 1.0 - self.tokens) / rate_per_s
        ready_s = max(now_s, self._refilled_at_s) + missing_s
        turn_s = max(ready_s, self._next_turn_s)
        self._next_turn_s = min(turn_s, now_s + MAX_HOLD_S) + 1 / rate_per_s
        return min(max(turn_s - now_s, _MIN_HOLD_S), MAX_HOLD_S)


class Grantor:
    """Grants the tokens of the workspaces for which this node is the grantor.

    :param empty_since_s: time since which a bucket that isn't known may fill: no other
        node has granted tokens after it.
    """

    def __init__(self, bounds: QuotaBounds, *, empty_since_s: float) -> None:
        self._bounds = bounds
        self._empty_since_s = empty_since_s
        self._buckets: dict[str, QuotaBucket] = {}

    @property
    def workspaces(self) -> list[str]:
        """Workspaces with a bucket here."""
        return list(self._buckets)

    def grant(
        self, ask: QuotaAsk, limit: QuotaLimit, *, share: float, now_s: float
    ) -> QuotaGrant:
        """Take tokens from the workspace's bucket.

        :param share: part of the rate that this node may grant.
        """
        bucket = self._buckets.get(ask.workspace)
        if bucket is None:
            bucket = self._buckets[ask.workspace] = QuotaBucket(self._empty_since_s)
        return bucket.grant(
            ask,
            rate_per_s=self._bounds.granted_rate_per_s(limit) * share,
            depth=max(1.0, self._bounds.depth(limit) * share),
            now_s=now_s,
        )

    def start_empty(self, since_s: float) -> None:
        """Note that other nodes may have granted tokens until a time.

        Buckets that are kept aren't changed: this node was their grantor throughout.
        """
        self._empty_since_s = max(since_s, self._empty_since_s)

    def forget(self, workspace: str) -> None:
        """Drop a bucket, because another node grants the workspace's tokens."""
        self._buckets.pop(workspace, None)

    def reset(self, now_s: float) -> None:
        """Empty all buckets, after a time in which others may have taken over."""
        self._buckets.clear()
        self.start_empty(now_s)

    def prune(self, now_s: float) -> None:
        """Drop what isn't needed any more."""
        for workspace, bucket in list(self._buckets.items()):
            idle_s = now_s - bucket.used_at_s
            if idle_s > max(_IDLE_BUCKET_S, bucket.fill_time_s):
                # It starts full when it is needed again, if no member died meanwhile.
                del self._buckets[workspace]
            else:
                bucket.prune(now_s)
