"""Limit on the number of large sync replies that a node sends concurrently."""

import asyncio
from collections import deque
from typing import NamedTuple

_MAX_CONCURRENT_REPLIES = 2
_MAX_WAITING_PEERS = 64
# Number of waiting peers redirected to each peer that received its reply. It equals
# the number of replies that such a peer sends concurrently.
_REDIRECTS_PER_SOURCE = 2


class Peer(NamedTuple):
    """A node that requests a large reply."""

    node_id: str
    availability_zone: str


class _Waiter(NamedTuple):
    """A peer that waits for a slot.

    :param turn: resolves to None when the peer gets a slot, or to the id of the
        node to ask instead.
    """

    peer: Peer
    turn: "asyncio.Future[str | None]"


class ReplyLimiter:
    """Limits the number of large replies that one node sends at the same time.

    If many replies share one link, none of them completes in time. A peer that gets no
    slot therefore waits, and each peer that received its reply is offered as a source
    to some of the waiting peers. The number of sources of a new version multiplies this
    way, regardless of the bandwidth of the first source.
    """

    def __init__(self) -> None:
        self._slots_in_use = 0
        self._waiting: deque[_Waiter] = deque()

    @property
    def waiting(self) -> int:
        """Number of peers that wait for a slot."""
        return len(self._waiting)

    async def acquire(self, peer: Peer) -> str | None:
        """Wait for a slot.

        :returns: None if the peer got a slot, else the id of the node to ask instead,
            which is empty if none is known.
        """
        if self._slots_in_use < _MAX_CONCURRENT_REPLIES:
            self._slots_in_use += 1
            return None
        if len(self._waiting) >= _MAX_WAITING_PEERS:
            return ""
        waiter = _Waiter(peer, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            return await waiter.turn
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise

    def release(self, peer: Peer, *, delivered: bool) -> None:
        """Release a slot.

        :param delivered: whether the peer received its complete reply.
        """
        self._slots_in_use -= 1
        self._start_next()
        if delivered:
            self.redirect_waiters(peer)

    def redirect_waiters(self, source: Peer) -> None:
        """Redirect some waiting peers to a new source.

        Prefer peers in the zone of the source, then those that started to wait last.
        """
        zone = source.availability_zone
        last_first = [w for w in reversed(self._waiting) if not w.turn.done()]
        last_first.sort(key=lambda waiter: waiter.peer.availability_zone != zone)
        for waiter in last_first[:_REDIRECTS_PER_SOURCE]:
            self._waiting.remove(waiter)
            waiter.turn.set_result(source.node_id)

    def _give_up(self, waiter: _Waiter) -> None:
        """Remove a waiter, or release the slot that it was just given."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif not waiter.turn.cancelled() and waiter.turn.result() is None:
            self.release(waiter.peer, delivered=False)

    def _start_next(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            # A cancelled waiter stays in the queue until its task runs again.
            if not waiter.turn.done():
                self._slots_in_use += 1
                waiter.turn.set_result(None)
                return
