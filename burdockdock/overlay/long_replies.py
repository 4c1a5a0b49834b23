"""Places for the long replies that one node sends at the same time."""

import asyncio
from collections import deque
from typing import NamedTuple

_MOST_UNDER_WAY = 2
_MOST_WAITING = 64
# Of those who wait, this many are sent to each peer that has got its reply, which
# sends to as many at a time.
_SENT_ON = 2


class Peer(NamedTuple):
    """A node that asks for a long reply."""

    node_id: str
    availability_zone: str


class _Waiter(NamedTuple):
    """A peer that waits.

    :param turn: gets None for a place, or the id of the node to ask instead.
    """

    peer: Peer
    turn: "asyncio.Future[str | None]"


class LongReplies:
    """Bounds the long replies that are under way from one node.

    A link that many replies share brings none of them in time. Whoever finds no place
    waits, and each peer that has got its reply is named to some of those who wait: the
    sources of a new version multiply, whatever the first one's link carries.
    """

    def __init__(self) -> None:
        self._under_way = 0
        self._waiting: deque[_Waiter] = deque()

    @property
    def waiting(self) -> int:
        """Peers that wait for a place."""
        return len(self._waiting)

    async def begin(self, peer: Peer) -> str | None:
        """Wait for a place.

        :returns: None with the place, else the id of the node to ask instead, empty
            where none is known.
        """
        if self._under_way < _MOST_UNDER_WAY:
            self._under_way += 1
            return None
        if len(self._waiting) >= _MOST_WAITING:
            return ""
        waiter = _Waiter(peer, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            return await waiter.turn
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise

    def end(self, peer: Peer, *, taken: bool) -> None:
        """Give a place back.

        :param taken: whether the peer has got all of its reply.
        """
        self._under_way -= 1
        self._start_next()
        if taken:
            self.send_on(peer)

    def send_on(self, source: Peer) -> None:
        """Name a new source to some who wait, those of its own zone first."""
        zone = source.availability_zone
        last_first = [w for w in reversed(self._waiting) if not w.turn.done()]
        last_first.sort(key=lambda waiter: waiter.peer.availability_zone != zone)
        for waiter in last_first[:_SENT_ON]:
            self._waiting.remove(waiter)
            waiter.turn.set_result(source.node_id)

    def _give_up(self, waiter: _Waiter) -> None:
        """Forget a waiter, or give back the place that it was just given."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif not waiter.turn.cancelled() and waiter.turn.result() is None:
            self.end(waiter.peer, taken=False)

    def _start_next(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            # One that is being cancelled has not left the line yet.
            if not waiter.turn.done():
                self._under_way += 1
                waiter.turn.set_result(None)
                return
