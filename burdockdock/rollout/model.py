"""The state of a rollout: moving a service's traffic to a new version."""

import json
from datetime import datetime
from enum import StrEnum
from typing import Any, NamedTuple

ROLLOUT_PREFIX = "rollouts/"
ABORT_PREFIX = "abort/"
# The rest goes on at the old version, so that a disturbance that hits both while the
# new one soaks is not taken for its fault.
SOAKING_SHARE = 0.9


class Phase(StrEnum):
    """Where a rollout stands; it only goes forward."""

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
    """One step of a rollout's history, for operators."""

    phase: str
    at: str
    reason: str


class Rollout(NamedTuple):
    """The state of one rollout, as it is kept in the platform.

    :param number: grows with each rollout of the service.
    :param deadline: when it must be done, else it is rolled back.
    :param share: share of the calls that the new version takes, from 0 to 1.
    :param step: grows with each change of the state.
    :param step_at: when the share was last changed.
    :param epoch: lease epoch of the owner that wrote the state.
    :param notified: whether the operators were told of the end.
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
        """A name that no other rollout has."""
        return f"{self.service}-{self.number}"

    def weights(self) -> dict[str, float]:
        """Return the traffic weight of each version."""
        return {self.from_version: 1.0 - self.share, self.to_version: self.share}

    def enter(self, phase: Phase, *, now: datetime, reason: str) -> "Rollout":
        """Return the state in a new phase, with the reason in its history."""
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
        """Return the state as a value of the platform."""
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
    """Read a state out of a value of the platform.

    :raises ValueError: if it is none.
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
    """Read a state out of JSON bytes.

    :raises ValueError: if it is none.
    """
    return rollout_from(json.loads(data))


class Abort(NamedTuple):
    """A one-way record that sets a new version's share to zero at once.

    :param number: the rollout's number.
    """

    service: str
    number: int
    reason: str
    node_id: str

    def encode(self) -> bytes:
        """Return the record's value as JSON bytes."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()


def decode_abort(data: bytes) -> Abort:
    """Read an abort.

    :raises ValueError: if the bytes are none.
    """
    try:
        return Abort(**json.loads(data))
    except TypeError as error:
        raise ValueError(str(error)) from None
