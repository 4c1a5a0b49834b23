"""Remembers which requests were sent to the backend server."""

from burdockdock.clock import Clock


class SentRequests:
    """Remembers request ids for a time after their requests were sent.

    Ids are stored as hashes. If two ids have the same hash, one of them counts as sent
    though it was not.

    :param kept_s: seconds for which an id is remembered at least; twice that at most.
    """

    def __init__(self, *, clock: Clock, kept_s: float) -> None:
        self._clock = clock
        self._kept_s = kept_s
        self._recent: set[int] = set()
        self._older: set[int] = set()
        self._rotate_at_s = clock.monotonic() + kept_s

    def add(self, request_id: str) -> bool:
        """Remember that a request is being sent.

        :returns: whether it was sent before.
        """
        self._forget_old()
        id_hash = hash(request_id)
        was_sent = id_hash in self._recent or id_hash in self._older
        self._recent.add(id_hash)
        return was_sent

    def _forget_old(self) -> None:
        now_s = self._clock.monotonic()
        if now_s < self._rotate_at_s:
            return
        is_all_old = now_s >= self._rotate_at_s + self._kept_s
        self._older = set() if is_all_old else self._recent
        self._recent = set()
        self._rotate_at_s = now_s + self._kept_s
