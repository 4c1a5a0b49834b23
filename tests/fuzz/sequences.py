"""Sequences of calls to faulty backend servers, drawn from a seed."""

import random
from enum import Enum
from typing import NamedTuple

from burdockdock.standin.faulty_behaviour import Behaviour
from burdockdock.standin.faulty_script import DEFAULT_MIX, Script

_MAX_STEPS = 7
_MAX_REQUESTS = 4
# Long enough that only a call that hangs reaches it.
LONG_TIME_LEFT_MS = 60_000
_SHORT_TIME_LEFT_MS = 80
_RESTS_S = (0.0, 0.0, 0.0, 0.006)
_BODY_SIZES_BYTES = (1, 70_000, 400_000)

_LINK_FAULT_SHARE = 0.2
# Messages of a call on a link, and whether they come from the callers' node.
_LINK_MESSAGES = (
    (True, "callStart"),
    (True, "callBody"),
    (False, "answerHead"),
    (False, "answerBody"),
    (False, "callFailed"),
)


class Call(NamedTuple):
    """One call.

    :param request: number of the request; calls of one request bear the same id.
    :param body_bytes: length of the body, 0 for none.
    :param rest_s: seconds to wait before the call.
    :param together: whether the call before it may still run.
    """

    request: int
    method: str = "GET"
    idempotent: bool = True
    body_bytes: int = 0
    time_left_ms: int = LONG_TIME_LEFT_MS
    rest_s: float = 0.0
    together: bool = False


class LinkAction(Enum):
    """What happens to a link between nodes."""

    CUT = "cut"
    DELAY = "delay"


class LinkFault(NamedTuple):
    """A fault of the link that a call is sent on.

    :param outward: whether the message that triggers it comes from the callers' node.
    :param kind: type of that message.
    :param before: whether the fault comes before the message is forwarded, or after.
    """

    action: LinkAction
    outward: bool
    kind: str
    before: bool


class Step(NamedTuple):
    """A call, and what the backend server does with the arrival of the same number."""

    call: Call
    behaviour: Behaviour = Behaviour()
    link_fault: LinkFault | None = None


Sequence = tuple[Step, ...]


def draw_sequence(seed: str) -> Sequence:
    """Return the sequence of a seed."""
    rng = random.Random(seed)
    script = Script(rng.getrandbits(64), DEFAULT_MIX)
    count = rng.randint(2, _MAX_STEPS)
    requests = rng.randint(1, _MAX_REQUESTS)
    kinds = [_draw_request(rng) for _ in range(requests)]
    steps = []
    for _ in range(count):
        number = rng.randrange(requests)
        # Mostly a new id, since one that was sent before gets its own connection.
        is_new = rng.random() < 0.7
        request = len(steps) + requests if is_new else number
        steps.append(Step(_draw_call(rng, kinds[number], request), script.next()))
    return tuple(steps)


def draw_sequence_for_nodes(seed: str) -> Sequence:
    """Return the sequence of a seed, with faults of the links between nodes."""
    rng = random.Random(f"{seed}/links")
    steps = draw_sequence(seed)
    return tuple(step._replace(link_fault=_draw_link_fault(rng)) for step in steps)


def _draw_link_fault(rng: random.Random) -> LinkFault | None:
    if rng.random() > _LINK_FAULT_SHARE:
        return None
    outward, kind = rng.choice(_LINK_MESSAGES)
    return LinkFault(rng.choice(tuple(LinkAction)), outward, kind, rng.random() < 0.5)


def _draw_request(rng: random.Random) -> Call:
    if rng.random() < 0.75:
        method = rng.choice(("GET", "GET", "GET", "GET", "HEAD"))
        return Call(0, method)
    method, idempotent = rng.choice((("POST", False), ("PUT", True), ("GET", False)))
    body_bytes = rng.choice(_BODY_SIZES_BYTES) if method != "GET" else 0
    return Call(0, method, idempotent, body_bytes)


def _draw_call(rng: random.Random, kind: Call, request: int) -> Call:
    is_short = rng.random() < 0.03
    return kind._replace(
        request=request * 10 + (0 if kind.idempotent else 1),
        rest_s=rng.choice(_RESTS_S),
        together=rng.random() < 0.2,
        time_left_ms=_SHORT_TIME_LEFT_MS if is_short else LONG_TIME_LEFT_MS,
    )
