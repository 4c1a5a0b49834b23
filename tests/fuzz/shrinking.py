"""Shrinks a failing sequence to a short one that still fails."""

from collections.abc import Awaitable, Callable, Iterator

from burdockdock.standin.faulty_behaviour import Behaviour
from tests.fuzz.sequences import Call, Sequence, Step

_MAX_RUNS = 400
_KEPT_FIELDS = ("request", "method", "idempotent")


async def shrink(
    sequence: Sequence, fails: Callable[[Sequence], Awaitable[bool]]
) -> Sequence:
    """Return a sequence that fails as well and from which nothing can be taken.

    :param fails: runs a sequence; run at most ``_MAX_RUNS`` times.
    """
    runs = 0
    shrunk = True
    while shrunk:
        shrunk = False
        for candidate in _simpler(sequence):
            runs += 1
            if runs > _MAX_RUNS:
                return sequence
            if await fails(candidate):
                sequence = candidate
                shrunk = True
                break
    return sequence


def _simpler(sequence: Sequence) -> Iterator[Sequence]:
    for number in range(len(sequence)):
        yield sequence[:number] + sequence[number + 1 :]
    for number, step in enumerate(sequence):
        for simpler in _simpler_steps(step):
            yield (*sequence[:number], simpler, *sequence[number + 1 :])


def _simpler_steps(step: Step) -> Iterator[Step]:
    if step.link_fault is not None:
        yield step._replace(link_fault=None)
    for field, default in Behaviour._field_defaults.items():
        if getattr(step.behaviour, field) != default:
            yield step._replace(behaviour=step.behaviour._replace(**{field: default}))
    for field, default in Call._field_defaults.items():
        if field not in _KEPT_FIELDS and getattr(step.call, field) != default:
            yield step._replace(call=step.call._replace(**{field: default}))
