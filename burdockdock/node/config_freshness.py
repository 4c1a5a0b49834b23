"""Whether a node may route calls by the configuration that it has.

Others tell a node of the newest version with each ping and each answer to one. A node
that was told of a version and lacks it, or that nobody has told anything for a while,
may route by a configuration that is no longer in force.
"""

import math
from collections.abc import Callable

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.records import RecordStore
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event
from burdockdock.node.config_state import CONFIG_KEY

_TICK_INTERVAL_S = 0.25
# Without a tick for longer than this, the process was stopped or starved.
_STALL_S = 1.0
# A version that a node lacks for longer than this is worth a line in the log.
_LOGGED_LAG_S = 0.5
# Part of the time allowed to apply a version after which a node without it refuses
# calls. The rest is left for the time until the node is told of the version.
_ALLOWED_LAG_SHARE = 0.5
_MIN_ALLOWED_LAG_S = 1.0
# Part of the allowed lag without news after which a node asks for them.
_ASK_AFTER_SHARE = 0.8
# A node that nobody answers serves what it can after this time: it may be cut off, or
# the last one.
_MAX_UNCONFIRMED_REFUSAL_S = 1.0


class ConfigFreshness:
    """Follows which version this node was told of, and refuses calls without it.

    :param apply_timeout_s: time in seconds from the acceptance of a version within
        which every node has to apply it.
    :param held_version: returns the version that this node applies.
    :param has_peers: returns whether there are other live nodes.
    :param ask_peers: pings a few nodes, whose answers contain their versions.
    :param count: increments a counter, given its name.
    """

    def __init__(
        self,
        records: RecordStore,
        *,
        apply_timeout_s: float,
        held_version: Callable[[], int],
        has_peers: Callable[[], bool],
        ask_peers: Callable[[], None],
        clock: Clock,
        count: Callable[[str], None],
    ) -> None:
        self._records = records
        self._allowed_lag_s = max(
            _MIN_ALLOWED_LAG_S, _ALLOWED_LAG_SHARE * apply_timeout_s
        )
        self._held_version = held_version
        self._has_peers = has_peers
        self._ask_peers = ask_peers
        self._clock = clock
        self._count = count
        self._joined_s = math.inf
        self._ticked_s = math.inf
        self._resumed_s = -math.inf

    def refusal(self) -> Failure | None:
        """Return why a call must not be routed by the version held, None if it may."""
        now_s = self._clock.monotonic()
        missing = self._records.missing(CONFIG_KEY)
        if missing is not None and missing.is_confirmed(now_s):
            lag_s = now_s - missing.since_s
            if lag_s > self._allowed_lag_s:
                detail = f"version {missing.version} is missing for {lag_s:.1f} s"
                return Failure(Verdict.NOT_RUN, "configuration_behind", detail)
        if self._is_unconfirmed(now_s):
            detail = f"no other node was heard for {now_s - self._confirmed_s():.1f} s"
            return Failure(Verdict.NOT_RUN, "configuration_unconfirmed", detail)
        return None

    async def run(self) -> None:
        """Ask for news when there are none, and log a lag; runs until cancelled."""
        self._joined_s = self._clock.monotonic()
        while True:
            self.tick()
            await sleep_to_tick(_TICK_INTERVAL_S)

    def tick(self) -> None:
        """Check for missing news and a lag once."""
        now_s = self._clock.monotonic()
        if now_s - self._ticked_s > _STALL_S:
            self._resumed_s = now_s
            log_event("node.resumed", stalled_s=now_s - self._ticked_s)
        self._ticked_s = now_s
        without_news_s = now_s - self._confirmed_s()
        if without_news_s > _ASK_AFTER_SHARE * self._allowed_lag_s:
            self._ask_peers()
        self._log_lag(now_s)

    def _is_unconfirmed(self, now_s: float) -> bool:
        """Return whether the version held has to be confirmed before it is used."""
        unconfirmed_from_s = self._confirmed_s() + self._allowed_lag_s
        if now_s <= unconfirmed_from_s or not self._has_peers():
            return False
        if now_s - self._ticked_s > _STALL_S:
            return True
        refusing_from_s = max(unconfirmed_from_s, self._resumed_s)
        return now_s < refusing_from_s + _MAX_UNCONFIRMED_REFUSAL_S

    def _confirmed_s(self) -> float:
        """Return when another node last told the newest version, or this one joined."""
        return max(self._joined_s, self._records.advertised_s(CONFIG_KEY))

    def _log_lag(self, now_s: float) -> None:
        missing = self._records.missing(CONFIG_KEY)
        if missing is None:
            return
        lag_s = now_s - missing.since_s
        if lag_s < _LOGGED_LAG_S:
            return
        self._count("config_behind")
        log_event(
            "config.behind",
            version=missing.version,
            held_version=self._held_version(),
            lag_s=lag_s,
        )
