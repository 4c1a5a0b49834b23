"""What a rollout and a stop say together: only an open rollout has a stop."""

from collections.abc import Mapping
from typing import NamedTuple

from burdockdock.rollout.default_weights import default_weights
from burdockdock.rollout.model import Rollout, Stop


class Ended(NamedTuple):
    """A rollout whose outcome the platform holds; it has no place for a stop."""

    rollout: Rollout

    def weights(self, slots: Mapping[str, int]) -> dict[str, float]:
        """Return the traffic weights of the service's versions.

        :param slots: total slots of each version's members that accept calls.
        """
        return _first_usable([self.rollout.weights()], slots)


class Open(NamedTuple):
    """A rollout that the holder of the lease has yet to end.

    :param stop: what a candidate found on its own; None if none of them did.
    """

    rollout: Rollout
    stop: Stop | None

    def weights(self, slots: Mapping[str, int]) -> dict[str, float]:
        """Return the traffic weights of the service's versions.

        :param slots: total slots of each version's members that accept calls.
        """
        weights = self.rollout.weights()
        if self.stop is None:
            return _first_usable([weights], slots)
        stopped = {self.rollout.from_version: 1.0}
        return _first_usable([stopped, weights], slots)


def standing_of(rollout: Rollout, stop: Stop | None) -> Ended | Open:
    """Return the standing of a rollout.

    :param stop: the newest stop of the service, which may be of another rollout.
    """
    if rollout.phase.final:
        return Ended(rollout)
    is_of_rollout = stop is not None and stop.number == rollout.number
    return Open(rollout, stop if is_of_rollout else None)


def _first_usable(
    choices: list[dict[str, float]], slots: Mapping[str, int]
) -> dict[str, float]:
    """Return the first weights that leave the service a backend server.

    :returns: the weights without a rollout if none of them does.
    """
    for weights in choices:
        if not slots or any(weights.get(version) for version in slots):
            return weights
    return default_weights(slots)
