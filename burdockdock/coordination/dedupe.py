"""Deduplication by request id, so that a request runs at most once."""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict


class RequestState(Enum):
    """State of a request id; a barred id must never start a request."""

    RUNNING = "running"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"
    BARRED = "barred"


class _Entry(NamedTuple):
    state: RequestState
    expires_at_s: float


class DedupeTable:
    """Records request ids until their deadlines have passed.

    An id is claimed before its request starts. If the outcome of an id is queried
    before the id is claimed, the id is barred: a request that arrives later is
    refused, so the reported outcome "not run" stays true.

    :param capacity: maximum number of stored ids; claims beyond it are refused.
    :param grace_s: seconds that an id is kept after its deadline.
    """

    def __init__(
        self, *, clock: Clock, capacity: int = 100_000, grace_s: float = 5.0
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._grace_s = grace_s
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, request_id: str, *, deadline_s: float) -> Failure | None:
        """Claim an id before its request starts.

        :param request_id: id that belongs to this request only.
        :param deadline_s: the request's deadline in monotonic seconds.
        :returns: None if claimed, otherwise the reason why the request must not start.
        """
        if deadline_s <= self._clock.monotonic():
            return Failure(Verdict.NOT_RUN, "deadline_passed")
        entry = self._entries.get(request_id)
        if entry is not None:
            return _failure_for(entry.state)
        if not self._ensure_capacity():
            return Failure(
                Verdict.NOT_RUN, "dedupe_full", "too many request ids are stored"
            )
        self._store(request_id, RequestState.RUNNING, deadline_s)
        return None

    def release(self, request_id: str) -> None:
        """Remove a claimed id whose request was refused before it started."""
        self._entries.pop(request_id, None)

    def finish(self, request_id: str, verdict: Verdict) -> None:
        """Record the outcome of a claimed id.

        ``NOT_RUN`` bars the id, because the refusal was already reported.
        """
        entry = self._entries.get(request_id)
        if entry is None:
            return
        state = {
            Verdict.NOT_RUN: RequestState.BARRED,
            Verdict.MAY_HAVE_RUN: RequestState.MAY_HAVE_RUN,
            Verdict.RAN: RequestState.RAN,
        }[verdict]
        self._entries[request_id] = entry._replace(state=state)

    def resolve(self, request_id: str, *, deadline_s: float) -> Failure:
        """Return the outcome of an id, and bar the id if it was never claimed.

        :param deadline_s: time after which a request with this id is no longer
            accepted, in monotonic seconds.
        """
        entry = self._entries.get(request_id)
        if entry is not None:
            return _failure_for(entry.state)
        if not self._ensure_capacity():
            return Failure(
                Verdict.MAY_HAVE_RUN, "dedupe_full", "the request id can't be barred"
            )
        self._store(request_id, RequestState.BARRED, deadline_s)
        return _failure_for(RequestState.BARRED)

    def _store(self, request_id: str, state: RequestState, deadline_s: float) -> None:
        self._entries[request_id] = _Entry(state, deadline_s + self._grace_s)

    def _ensure_capacity(self) -> bool:
        """Drop up to two expired ids, or all of them once the table is full.

        :returns: whether another id fits.
        """
        if len(self._entries) < self._capacity:
            self._drop_oldest_expired()
            return True
        now_s = self._clock.monotonic()
        expired = [key for key, e in self._entries.items() if e.expires_at_s <= now_s]
        for key in expired:
            del self._entries[key]
        return len(self._entries) < self._capacity

    def _drop_oldest_expired(self) -> None:
        """Drop at most two expired ids, oldest first, in constant time."""
        now_s = self._clock.monotonic()
        for _ in range(2):
            key = next(iter(self._entries), None)
            if key is None or self._entries[key].expires_at_s > now_s:
                return
            del self._entries[key]


def _failure_for(state: RequestState) -> Failure:
    if state is RequestState.BARRED:
        return Failure(
            Verdict.NOT_RUN, "barred", "the request id was barred before it started"
        )
    if state is RequestState.RAN:
        return Failure(Verdict.RAN, "already_ran", "the request with this id ran")
    if state is RequestState.RUNNING:
        return Failure(Verdict.MAY_HAVE_RUN, "running", "the request is running")
    return Failure(Verdict.MAY_HAVE_RUN, "outcome_unknown")
