"""Chooses from a seed what a faulty backend server does with each arrival."""

import random
from collections.abc import Callable, Mapping
from enum import Enum

from burdockdock.standin.faulty_behaviour import (
    WHOLE,
    Behaviour,
    BodyReading,
    Copy,
    CopyId,
    CopyTime,
    Ending,
    FieldPlace,
    Framing,
    Junk,
    MalformedField,
    Refusal,
    ResetTime,
    Restart,
)

_STATUSES = (200, 200, 200, 500, 500, 404, 504)
_BODY_SIZES_BYTES = (0, 1, 40, 40, 3000)
# Longer than the time within which a gate takes an ended connection for a dead one.
_LONG_WORK_S = 0.06
_LONG_ANSWER_BYTES = 200
_SECOND_KIND_SHARE = 0.25
_JUNK = (b"\r\n", b"\0\xff\0", b"not an answer\r\n\r\n", b"HTTP/1.1 ", b"0\r\n\r\n")

# Names with characters that none may have, or no name; values with control characters.
_MALFORMED_LINES = (
    b"X Note: a",
    b"X-Note : a",
    b"X-Note\t: a",
    b"X-\x01Note: a",
    b"X-Note\x7f: a",
    b"X-N\xf6te: a",
    b": a",
    b"Transfer-Encoding : chunked",
    b"Content-Length : 1",
    b"Content-\x0bLength: 1",
    b"Connection : close",
    b"X-Note: a\x01b",
    b"X-Note: a\x7f",
)


class Kind(Enum):
    """A kind of fault."""

    NONE = "none"
    COPY = "copy"
    CUT = "cut"
    FRAMING = "framing"
    INTERIM = "interim"
    JUNK = "junk"
    EARLY = "early"
    RESET = "reset"
    FORGET = "forget"
    REFUSE = "refuse"
    DEADLINE = "deadline"
    RESTART = "restart"
    FIELD = "field"


Mix = Mapping[Kind, float]
DEFAULT_MIX: Mix = {
    Kind.NONE: 3.0,
    Kind.COPY: 4.0,
    Kind.CUT: 2.0,
    Kind.FRAMING: 1.0,
    Kind.INTERIM: 0.5,
    Kind.JUNK: 1.0,
    Kind.EARLY: 0.5,
    Kind.RESET: 1.0,
    Kind.FORGET: 0.5,
    Kind.REFUSE: 1.0,
    Kind.DEADLINE: 0.2,
    Kind.RESTART: 0.2,
    Kind.FIELD: 1.0,
}


def parse_mix(text: str) -> Mix:
    """Read a mix such as ``none=3,copy=1``.

    :raises ValueError: if a kind is unknown or a weight is no number above 0.
    """
    mix = {}
    for part in text.split(","):
        name, _, weight = part.partition("=")
        mix[Kind(name.strip())] = float(weight or 1)
    if not all(0 < weight < float("inf") for weight in mix.values()):
        raise ValueError("a weight must be a number above 0")
    return mix


class Script:
    """Chooses a behaviour for each arrival.

    The same seed, mix and number of arrivals give the same behaviours.
    """

    def __init__(self, seed: int, mix: Mix = DEFAULT_MIX) -> None:
        self._rng = random.Random(seed)
        self._kinds = list(mix)
        self._weights = list(mix.values())

    def next(self) -> Behaviour:
        """Return the behaviour for the next arrival."""
        rng = self._rng
        behaviour = Behaviour(
            status=rng.choice(_STATUSES),
            body_bytes=rng.choice(_BODY_SIZES_BYTES),
            framing=rng.choice((Framing.LENGTH, Framing.LENGTH, Framing.CHUNKED)),
        )
        count = 2 if rng.random() < _SECOND_KIND_SHARE else 1
        for kind in rng.choices(self._kinds, self._weights, k=count):
            behaviour = _CHANGES[kind](behaviour, rng)
        return behaviour


_Change = Callable[[Behaviour, random.Random], Behaviour]


def _copy(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    whole = rng.random() < 0.5
    copy = Copy(
        time=rng.choice((*CopyTime, CopyTime.AT_NEXT_REQUEST)),
        id=rng.choice((CopyId.FIRST, *CopyId)),
        status=rng.choice((0, 0, 200, 503)),
        length_bytes=WHOLE if whole else rng.randrange(_LONG_ANSWER_BYTES),
    )
    return behaviour._replace(copy=copy)


def _cut(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    ending = rng.choice((Ending.CLOSE, Ending.RESET))
    framing = rng.choice((Framing.LENGTH, Framing.CHUNKED, Framing.NO_LENGTH))
    cut_at = rng.randrange(_LONG_ANSWER_BYTES)
    return behaviour._replace(cut_at=cut_at, ending=ending, framing=framing)


def _framing(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    return behaviour._replace(framing=rng.choice(tuple(Framing)))


def _interim(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    return behaviour._replace(interim=rng.choice(((100,), (103,), (103, 103), (101,))))


def _junk(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    place = rng.choice(Junk._fields)
    return behaviour._replace(junk=Junk(**{place: rng.choice(_JUNK)}))


def _early(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    reading = rng.choice((BodyReading.AFTER_ANSWER, BodyReading.NEVER))
    return behaviour._replace(body_reading=reading)


def _reset(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    work_s = rng.choice((0.0, 0.0005, _LONG_WORK_S))
    return behaviour._replace(reset=rng.choice(tuple(ResetTime)), work_s=work_s)


def _forget(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    return behaviour._replace(ending=rng.choice((Ending.ANNOUNCED_CLOSE, Ending.CLOSE)))


def _refuse(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    status = rng.choice((503, 503, 429, 421))
    proves, has_id = rng.random() < 0.7, rng.random() < 0.8
    return behaviour._replace(refusal=Refusal(status, proves, has_id))


def _to_deadline(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    return behaviour._replace(to_deadline=True)


def _restart(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    return behaviour._replace(restart=rng.choice(tuple(Restart)))


def _field(behaviour: Behaviour, rng: random.Random) -> Behaviour:
    place = rng.choice(tuple(FieldPlace))
    field = MalformedField(rng.choice(_MALFORMED_LINES), place)
    if place is FieldPlace.TRAILER:
        behaviour = behaviour._replace(framing=Framing.TRAILERS)
    if place is FieldPlace.INTERIM:
        behaviour = behaviour._replace(interim=(103,))
    return behaviour._replace(malformed_field=field)


_CHANGES: Mapping[Kind, _Change] = {
    Kind.NONE: lambda behaviour, rng: behaviour,
    Kind.COPY: _copy,
    Kind.CUT: _cut,
    Kind.FRAMING: _framing,
    Kind.INTERIM: _interim,
    Kind.JUNK: _junk,
    Kind.EARLY: _early,
    Kind.RESET: _reset,
    Kind.FORGET: _forget,
    Kind.REFUSE: _refuse,
    Kind.DEADLINE: _to_deadline,
    Kind.RESTART: _restart,
    Kind.FIELD: _field,
}
