"""Learned sizes of the calls of each route, for the cost of a zone crossing."""

from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.protocol.calls import AnswerHead, CallRequest

BYTES_PER_KB = 1000
_SMOOTHING_FACTOR = 0.1
_MAX_ROUTES = 4096
# A route without answers for this long is taken for one that the configuration lost.
_FORGET_AFTER_S = 900.0
# Used until a route had its first answer.
_DEFAULT_KB = 4.0
_DEFAULT_LARGE_ANSWER_KB = 256.0
# Separator and line end of a header.
_HEADER_OVERHEAD_BYTES = 4


class _Size(NamedTuple):
    mean_kb: float
    updated_at_s: float


class RouteSizes:
    """Moving mean of the bytes that a call of each route sends and receives.

    The routes are kept in the order of their latest answer, so that the one to forget
    is found without a search.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._sizes: dict[str, _Size] = {}

    def __len__(self) -> int:
        return len(self._sizes)

    def record(self, route: str, size_bytes: int) -> None:
        """Record the size of a request and its answer, with heads and bodies."""
        now_s = self._clock.monotonic()
        size_kb = size_bytes / BYTES_PER_KB
        previous = self._sizes.pop(route, None)
        if previous is not None:
            mean_kb = previous.mean_kb
            size_kb = mean_kb + _SMOOTHING_FACTOR * (size_kb - mean_kb)
        self._sizes[route] = _Size(size_kb, now_s)
        self._forget_oldest(now_s)

    def expected_kb(self, route: str, *, large_answer: bool = False) -> float:
        """Return the expected KB of a call.

        :param large_answer: whether the configuration says that the answers are large.
        """
        size = self._sizes.get(route)
        if size is not None:
            return size.mean_kb
        return _DEFAULT_LARGE_ANSWER_KB if large_answer else _DEFAULT_KB

    def _forget_oldest(self, now_s: float) -> None:
        """Forget a route at most, which keeps the cost of a call constant."""
        oldest = next(iter(self._sizes))
        is_unused = now_s - self._sizes[oldest].updated_at_s > _FORGET_AFTER_S
        if is_unused or len(self._sizes) > _MAX_ROUTES:
            del self._sizes[oldest]


def request_size_bytes(request: CallRequest) -> int:
    """Return the size of a request's head and body."""
    body_bytes = max(len(request.body), request.body_length)
    return len(request.target) + _headers_size_bytes(request.headers) + body_bytes


def answer_head_size_bytes(head: AnswerHead) -> int:
    """Return the size of an answer's head and of the body that came with it."""
    return _headers_size_bytes(head.headers) + len(head.body)


def _headers_size_bytes(headers: tuple[tuple[str, str], ...]) -> int:
    text_bytes = sum(len(name) + len(value) for name, value in headers)
    return text_bytes + _HEADER_OVERHEAD_BYTES * len(headers)
