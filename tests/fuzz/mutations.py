"""Changes bytes at random, so that most of them stay valid."""

import copy
import json
import random
from collections.abc import Callable, Sequence
from typing import Any

_MAX_CHANGES = 6
_MAX_COPIES = 2000
_MAX_BYTES = 20_000
# What decoders of numbers, lengths and texts may stumble on.
_ODD_PARTS = (
    b"\0",
    b"\xff\xff\xff\xff",
    b"\x80\0\0\0\0\0\0\0",
    b"\xed\xa0\x80",
    b"1e400",
    b"-1",
    b"NaN",
    b"null",
    b"[[[[",
    b"{",
    b'"',
    b"\n",
    b"[",
    b"%",
    b"9" * 5000,
)

_ODD_VALUES = (
    None,
    True,
    0,
    -1,
    10**400,
    float("inf"),
    float("nan"),
    1.5,
    "",
    "\0",
    "\ud800",
    "r1",
    "5s",
    "x" * 300,
    [],
    {},
    [[]],
    {"a": {}},
)


def mutate(rng: random.Random, samples: Sequence[bytes]) -> bytes:
    """Return one of the samples with up to ``_MAX_CHANGES`` changes."""
    data = rng.choice(samples)
    for _ in range(rng.randint(1, _MAX_CHANGES)):
        data = rng.choice(_CHANGES)(rng, data, samples)[:_MAX_BYTES]
    return data


def mutate_json(rng: random.Random, samples: Sequence[bytes]) -> bytes:
    """Return one of the samples, which are JSON, with odd values in some places."""
    value = json.loads(rng.choice(samples))
    for _ in range(rng.randint(1, _MAX_CHANGES)):
        value = _with_odd_value(rng, value)
    return json.dumps(value).encode()


def _with_odd_value(rng: random.Random, value: Any) -> Any:
    """Return a value in which one at random is replaced or removed."""
    if not isinstance(value, (dict, list)) or not value or rng.random() < 0.1:
        return copy.deepcopy(rng.choice(_ODD_VALUES))
    key = rng.choice(list(value) if isinstance(value, dict) else range(len(value)))
    if rng.random() < 0.1:
        del value[key]
    else:
        value[key] = _with_odd_value(rng, value[key])
    return value


_Change = Callable[[random.Random, bytes, Sequence[bytes]], bytes]


def _flip_bit(rng: random.Random, data: bytes, _: Sequence[bytes]) -> bytes:
    if not data:
        return data
    position = rng.randrange(len(data))
    flipped = data[position] ^ (1 << rng.randrange(8))
    return data[:position] + bytes([flipped]) + data[position + 1 :]


def _replace_part(rng: random.Random, data: bytes, _: Sequence[bytes]) -> bytes:
    start, end = _range_in(rng, data)
    return data[:start] + rng.choice(_ODD_PARTS) + data[end:]


def _insert_part(rng: random.Random, data: bytes, _: Sequence[bytes]) -> bytes:
    position = rng.randint(0, len(data))
    return data[:position] + rng.choice(_ODD_PARTS) + data[position:]


def _remove_part(rng: random.Random, data: bytes, _: Sequence[bytes]) -> bytes:
    start, end = _range_in(rng, data)
    return data[:start] + data[end:]


def _repeat_part(rng: random.Random, data: bytes, _: Sequence[bytes]) -> bytes:
    start, end = _range_in(rng, data)
    return data[:start] + data[start:end] * rng.randint(2, _MAX_COPIES) + data[end:]


def _cut(rng: random.Random, data: bytes, _: Sequence[bytes]) -> bytes:
    return data[: rng.randint(0, len(data))]


def _splice(rng: random.Random, data: bytes, samples: Sequence[bytes]) -> bytes:
    other = rng.choice(samples)
    return data[: rng.randint(0, len(data))] + other[rng.randint(0, len(other)) :]


def _range_in(rng: random.Random, data: bytes) -> tuple[int, int]:
    start = rng.randint(0, len(data))
    return start, min(len(data), start + rng.randint(0, 16))


_CHANGES: tuple[_Change, ...] = (
    _flip_bit,
    _flip_bit,
    _replace_part,
    _insert_part,
    _remove_part,
    _repeat_part,
    _cut,
    _splice,
)
