"""Repeats of new records, for nodes that the broadcast trees missed.

A node whose own link is full hears others but can't fetch what it was told of, so a
record has to reach it without a request.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.overlay.pings import PeerDigest

# Long enough for the broadcast trees to reach every member that they can reach.
_REPEAT_DELAY_S = 0.1
_SUCCESSORS = 3
_RING_SALT = "ring"
# A repeat is a delta against the version that was the newest this long ago, so that a
# node that missed several versions can apply it.
_BASE_AGE_S = 2.0
_MIN_ANSWER_INTERVAL_S = 0.5


class _Arrival(NamedTuple):
    """A version of a record, and when it was stored here."""

    version: int
    at_s: float


class RecordRepeater:
    """Sends each new record to this node's successors in a ring of its zone.

    So every member of the zone is sent the record by several others, which differ from
    its parents in the trees.

    :param send: sends a record to members, given the version that it has to replace.
    :param head_key: key of the record whose version each digest contains.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        ranking: MemberRanking,
        records: RecordStore,
        clock: Clock,
        rng: random.Random,
        send: Callable[[Record, int, list[Member]], None],
        head_key: str,
    ) -> None:
        self._membership = membership
        self._ranking = ranking
        self._records = records
        self._clock = clock
        self._rng = rng
        self._send = send
        self._head_key = head_key
        self._arrivals: dict[str, deque[_Arrival]] = {}
        self._pending: set[str] = set()
        self._answered_s: dict[str, float] = {}

    def schedule(self, record: Record) -> None:
        """Send the newest version of a record that was just stored again soon."""
        arrivals = self._arrivals.setdefault(record.key, deque())
        arrivals.append(_Arrival(record.version, self._clock.monotonic()))
        if record.key not in self._pending:
            self._pending.add(record.key)
            delay_s = _REPEAT_DELAY_S * self._rng.uniform(0.5, 1.5)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._repeat, record.key)

    def answer(self, digest: PeerDigest) -> None:
        """Send the head record to a peer whose digest has an older version of it."""
        record = self._records.get(self._head_key)
        if record is None or not 0 < digest.head_version < record.version:
            return
        member = self._membership.get(digest.node_id)
        now_s = self._clock.monotonic()
        last_s = self._answered_s.get(digest.node_id, float("-inf"))
        if member is None or now_s - last_s < _MIN_ANSWER_INTERVAL_S:
            return
        self._forget_answers(now_s)
        self._answered_s[digest.node_id] = now_s
        self._send(record, digest.head_version, [member])

    def _repeat(self, key: str) -> None:
        self._pending.discard(key)
        record = self._records.get(key)
        if record is not None:
            self._send(record, self._base_version(key), self._successors())

    def _base_version(self, key: str) -> int:
        """Return the version that was the newest a while ago, 0 if there was none."""
        arrivals = self._arrivals[key]
        old_s = self._clock.monotonic() - _BASE_AGE_S
        while len(arrivals) > 1 and arrivals[1].at_s < old_s:
            arrivals.popleft()
        return arrivals[0].version if arrivals[0].at_s < old_s else 0

    def _successors(self) -> list[Member]:
        own = self._membership.own
        ring = self._ranking.in_zone(_RING_SALT, own.availability_zone)
        ids = [m.node_id for m in ring]
        if own.node_id not in ids:
            return []
        after_own = ids.index(own.node_id) + 1
        return (ring[after_own:] + ring[: after_own - 1])[:_SUCCESSORS]

    def _forget_answers(self, now_s: float) -> None:
        """Drop the answers that no longer hold back another one."""
        self._answered_s = {
            node_id: at_s
            for node_id, at_s in self._answered_s.items()
            if now_s - at_s < _MIN_ANSWER_INTERVAL_S
        }
