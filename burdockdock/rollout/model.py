"""The state of rollouts and stops, and their encoding."""

import json
from datetime import datetime
from enum import StrEnum
from typing import Any, NamedTuple

ROLLOUT_PREFIX = "rollouts/"
# Older nodes know the records of stops by this name.
STOP_PREFIX = "abort/"
# Share of the calls that the new version gets while it soaks. The old version gets the
# rest, so that a disturbance that affects both isn't mistaken for the new one's fault.
SOAKING_SHARE = 0.9


class Phase(StrEnum):
    """The phase of a rollout; it only moves forward."""

    WAITING = "waiting"
    SHIFTING = "shifting"
    SOAKING = "soaking"
    DONE = "done"
    ROLLED_BACK = "rolled_back"

    @property
    def final(self) -> bool:
        """Whether the rollout has ended."""
        return self in (Phase.DONE, Phase.ROLLED_BACK)


class PhaseChange(NamedTuple):
    """An entry of a rollout's history, shown to operators.

    :param at: time of the change in ISO 8601.
    """

    phase: str
    at: str
    reason: str


class Rollout(NamedTuple):
    """The state of one rollout, as stored in the platform.

    :param number: sequence number among the service's rollouts.
    :param deadline: time by which it must be done; otherwise it is rolled back.
    :param share: share of the calls that go to the new version, from 0 to 1.
    :param step: incremented with each change of the state.
    :param step_at: when the phase or the share last changed.
    :param epoch: lease epoch of the owner that wrote the state.
    :param notified: whether the operators were notified of the outcome.
    """

    service: str
    number: int
    from_version: str
    to_version: str
    started_at: datetime
    deadline: datetime
    author: str
    reason: str
    phase: Phase = Phase.WAITING
    share: float = 0.0
    step: int = 0
    step_at: datetime | None = None
    epoch: int = 0
    notified: bool = False
    history: tuple[PhaseChange, ...] = ()

    @property
    def rollout_id(self) -> str:
        """Unique id of the rollout."""
        return f"{self.service}-{self.number}"

    def weights(self) -> dict[str, float]:
        """Return the traffic weight of each version."""
        return {self.from_version: 1.0 - self.share, self.to_version: self.share}

    def enter(self, phase: Phase, *, now: datetime, reason: str) -> "Rollout":
        """Return the state after a change of phase, which is added to the history."""
        change = PhaseChange(
            phase.value, now.isoformat(timespec="milliseconds"), reason
        )
        share = {
            Phase.DONE: 1.0,
            Phase.SOAKING: SOAKING_SHARE,
            Phase.ROLLED_BACK: 0.0,
        }
        return self._replace(
            phase=phase,
            share=share.get(phase, self.share),
            step=self.step + 1,
            step_at=now,
            history=(*self.history, change),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the state as the value of a platform object."""
        value = self._asdict()
        for name in ("started_at", "deadline", "step_at"):
            value[name] = value[name].isoformat() if value[name] else None
        value["phase"] = self.phase.value
        value["history"] = [list(change) for change in self.history]
        return value

    def encode(self) -> bytes:
        """Return the state as JSON bytes."""
        return json.dumps(self.to_value(), separators=(",", ":")).encode()


def rollout_from(value: dict[str, Any]) -> Rollout:
    """Parse a state from the value of a platform object.

    :raises ValueError: if the value is not a valid state.
    """
    fields = {name: value[name] for name in Rollout._fields if name in value}
    try:
        for name in ("started_at", "deadline", "step_at"):
            if fields.get(name):
                fields[name] = datetime.fromisoformat(fields[name])
        fields["phase"] = Phase(fields["phase"])
        fields["history"] = tuple(PhaseChange(*c) for c in fields["history"])
        return Rollout(**fields)
    except (KeyError, TypeError) as error:
        raise ValueError(str(error)) from None


def decode_rollout(data: bytes) -> Rollout:
    """Decode a state from JSON bytes.

    :raises ValueError: if the bytes are not a valid state.
    """
    return rollout_from(json.loads(data))


class Stop(NamedTuple):
    """A candidate's own finding, which takes an open rollout's new version out of use.

    It isn't an outcome: it says nothing once the platform holds one.

    :param number: the number of the rollout whose version is stopped.
    :param node_id: id of the process that found the fault.
    """

    service: str
    number: int
    reason: str
    node_id: str

    def encode(self) -> bytes:
        """Return the record's value as JSON bytes."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()


def decode_stop(data: bytes) -> Stop:
    """Decode a stop from JSON bytes.

    :raises ValueError: if the bytes are not a valid stop.
    """
    try:
        return Stop(**json.loads(data))
    except TypeError as error:
        raise ValueError(str(error)) from None
