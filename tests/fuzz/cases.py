"""Sequences that broke a rule once, each with its cause."""

from typing import NamedTuple

from burdockdock.standin.faulty_behaviour import (
    Behaviour,
    Copy,
    CopyId,
    CopyTime,
    Ending,
    Framing,
    Refusal,
    ResetTime,
)
from tests.fuzz.sequences import Call, Sequence, Step


class Case(NamedTuple):
    """A sequence and why it broke a rule."""

    cause: str
    sequence: Sequence


_FAILED = Behaviour(status=500)
_COPY_AT_NEXT = Copy(CopyTime.AT_NEXT_REQUEST)

CASES = (
    Case(
        "the refusal of a second sending by libcurl was told of the first as well",
        (
            Step(Call(1)),
            Step(Call(2, "HEAD"), Behaviour(reset=ResetTime.AFTER_RUN)),
            Step(Call(3), Behaviour(refusal=Refusal(429))),
        ),
    ),
    Case(
        "the refused answer of another request left its connection in use",
        (
            Step(Call(1), Behaviour(copy=_COPY_AT_NEXT)),
            Step(Call(2), Behaviour(work_s=0.05)),
            Step(Call(3)),
        ),
    ),
    Case(
        "a late refusal without an id counted as proof",
        (
            Step(
                Call(1),
                Behaviour(copy=_COPY_AT_NEXT._replace(id=CopyId.NONE, status=421)),
            ),
            Step(Call(2)),
        ),
    ),
    Case(
        "a head without its last byte counted as whole",
        tuple(
            Step(
                Call(number),
                Behaviour(framing=Framing.CHUNKED, ending=Ending.CLOSE, cut_at=number),
            )
            for number in range(120, 160)
        ),
    ),
    Case(
        "a request whose answer was lost was sent again past the gate",
        (
            Step(Call(1)),
            Step(Call(2), Behaviour(reset=ResetTime.AFTER_RUN, work_s=0.1)),
        ),
    ),
    Case(
        "a head held two answers",
        (
            Step(Call(1), Behaviour(copy=_COPY_AT_NEXT._replace(length_bytes=30))),
            Step(Call(2), _FAILED),
        ),
    ),
    Case(
        "an answer without an id was taken on a connection with other requests",
        (
            Step(Call(1), Behaviour(copy=_COPY_AT_NEXT._replace(id=CopyId.NONE))),
            Step(Call(2), _FAILED),
        ),
    ),
    Case(
        "an answer to an earlier arrival of the request was taken for the later's",
        (
            Step(Call(1), Behaviour(copy=_COPY_AT_NEXT)),
            Step(Call(1), _FAILED),
        ),
    ),
)
