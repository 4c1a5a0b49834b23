"""The rollouts and stops known to a node, read from its records."""

from collections.abc import Mapping

from burdockdock.coordination.records import Record, RecordStore
from burdockdock.platform_api.era import era_of
from burdockdock.rollout.model import (
    ROLLOUT_PREFIX,
    STOP_PREFIX,
    Rollout,
    Stop,
    decode_rollout,
    decode_stop,
)
from burdockdock.rollout.standing import Ended, Open, standing_of


class RolloutView:
    """The rollouts and stops known to this node, read from the records."""

    def __init__(self, records: RecordStore) -> None:
        self._rollouts: dict[str, Rollout] = {}
        self._stops: dict[str, Stop] = {}
        records.subscribe(self._on_record)

    def get(self, service: str) -> Rollout | None:
        """Return the newest rollout of a service, None if there is none."""
        return self._rollouts.get(service)

    def all(self) -> list[Rollout]:
        """Return the newest rollout of every service."""
        return list(self._rollouts.values())

    def stop(self, service: str) -> Stop | None:
        """Return the newest stop of a service, None if there is none."""
        return self._stops.get(service)

    def standing(self, service: str) -> Ended | Open | None:
        """Return the standing of the newest rollout, None if there is none."""
        rollout = self._rollouts.get(service)
        return None if rollout is None else standing_of(rollout, self.stop(service))

    def weights(self, service: str, slots: Mapping[str, int]) -> dict[str, float]:
        """Return the traffic weight of each version, empty if there is no rollout.

        :param slots: total slots of each version's members that accept calls.
        """
        standing = self.standing(service)
        return {} if standing is None else standing.weights(slots)

    def accepts(self, record: Record, held_version: int) -> bool:
        """Return whether a record may replace the one that is held.

        A store that returned from an older copy has older states at higher versions.
        """
        if not record.key.startswith(ROLLOUT_PREFIX):
            return True
        if era_of(record.version) == era_of(held_version):
            return True
        rollout = decode_rollout(record.value)
        known = self._rollouts.get(rollout.service)
        return known is None or not is_behind(rollout, known)

    def _on_record(self, record: Record) -> None:
        if record.key.startswith(ROLLOUT_PREFIX):
            rollout = decode_rollout(record.value)
            self._rollouts[rollout.service] = rollout
        elif record.key.startswith(STOP_PREFIX):
            stop = decode_stop(record.value)
            self._stops[stop.service] = stop


def is_behind(rollout: Rollout, known: Rollout) -> bool:
    """Return whether a state comes before another one of the same service."""
    return (rollout.number, rollout.step) < (known.number, known.step)
