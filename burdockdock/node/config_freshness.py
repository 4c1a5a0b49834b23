"""How far a node's configuration is behind what others have."""

from collections.abc import Callable

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.records import RecordStore
from burdockdock.logs import log_event
from burdockdock.node.config_state import CONFIG_KEY

_CHECK_INTERVAL_S = 0.5
# A version that a node lacks for longer than this is worth a line in the log.
_LOGGED_LAG_S = 0.5


class ConfigFreshness:
    """Follows which configuration version this node was told of and lacks.

    :param held_version: returns the version that this node applies.
    :param count: increments a counter, given its name.
    """

    def __init__(
        self,
        records: RecordStore,
        *,
        held_version: Callable[[], int],
        clock: Clock,
        count: Callable[[str], None],
    ) -> None:
        self._records = records
        self._held_version = held_version
        self._clock = clock
        self._count = count

    async def run(self) -> None:
        """Log while a version is missing; runs until cancelled."""
        while True:
            await sleep_to_tick(_CHECK_INTERVAL_S)
            self._log_lag()

    def _log_lag(self) -> None:
        missing = self._records.missing(CONFIG_KEY)
        if missing is None:
            return
        lag_s = self._clock.monotonic() - missing.since_s
        if lag_s < _LOGGED_LAG_S:
            return
        self._count("config_behind")
        log_event(
            "config.behind",
            version=missing.version,
            held_version=self._held_version(),
            lag_s=lag_s,
        )
