"""Memory of request ids, so that a request runs at most once."""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict


class RequestState(Enum):
    """What became of a request id."""

    RUNNING = "running"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"
    BARRED = "barred"


class _Entry(NamedTuple):
    state: RequestState
    expires_at_s: float


class DedupeTable:
    """Records request ids until their deadlines have passed.

    An id is claimed before its request starts. An id that was asked about before
    it was claimed is barred, so that the answer "not run" stays true when the
    request arrives late.

    :param capacity: the most ids held; claims beyond it are refused.
    :param grace_s: seconds an id is kept after its deadline.
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

        :param request_id: the id, dedicated to one request.
        :param deadline_s: the request's deadline in monotonic seconds.
        :returns: None when claimed, else why the request must not start.
        """
        if deadline_s <= self._clock.monotonic():
            return Failure(Verdict.NOT_RUN, "deadline_passed")
        entry = self._entries.get(request_id)
        if entry is not None:
            return _describe(entry.state)
        if not self._make_room():
            return Failure(Verdict.NOT_RUN, "dedupe_full", "too many ids in memory")
        self._store(request_id, RequestState.RUNNING, deadline_s)
        return None

    def release(self, request_id: str) -> None:
        """Forget a claimed id whose request was refused before it started."""
        self._entries.pop(request_id, None)

    def finish(self, request_id: str, verdict: Verdict) -> None:
        """Record what became of a claimed id.

        NOT_RUN bars the id, since its refusal was already told.
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
        """Tell what became of an id, barring it when it never started.

        :param deadline_s: when the id's request can no longer be accepted, in
            monotonic seconds.
        """
        entry = self._entries.get(request_id)
        if entry is not None:
            return _describe(entry.state)
        if not self._make_room():
            return Failure(
                Verdict.MAY_HAVE_RUN, "dedupe_full", "the id can't be barred"
            )
        self._store(request_id, RequestState.BARRED, deadline_s)
        return _describe(RequestState.BARRED)

    def _store(self, request_id: str, state: RequestState, deadline_s: float) -> None:
        self._entries[request_id] = _Entry(state, deadline_s + self._grace_s)

    def _make_room(self) -> bool:
        """Drop expired ids once the table is full; tell whether there is room."""
        if len(self._entries) < self._capacity:
            self._drop_expired_front()
            return True
        now_s = self._clock.monotonic()
        expired = [key for key, e in self._entries.items() if e.expires_at_s <= now_s]
        for key in expired:
            del self._entries[key]
        return len(self._entries) < self._capacity

    def _drop_expired_front(self) -> None:
        """Drop a few of the oldest ids that expired, at a constant cost."""
        now_s = self._clock.monotonic()
        for _ in range(2):
            key = next(iter(self._entries), None)
            if key is None or self._entries[key].expires_at_s > now_s:
                return
            del self._entries[key]


def _describe(state: RequestState) -> Failure:
    if state is RequestState.BARRED:
        return Failure(Verdict.NOT_RUN, "barred", "the id was barred before it started")
    if state is RequestState.RAN:
        return Failure(Verdict.RAN, "already_ran", "the request with this id ran")
    if state is RequestState.RUNNING:
        return Failure(Verdict.MAY_HAVE_RUN, "running", "the request is running")
    return Failure(Verdict.MAY_HAVE_RUN, "outcome_unknown")
