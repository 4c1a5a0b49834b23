"""Tests of fetching from peers of which some don't answer."""

import asyncio
import random

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import RecordStore
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.overlay.failure_detector import PeerDigest
from burdockdock.overlay.sync import SyncClient
from burdockdock.protocol.handshake import PeerIdentity
from tests.support import async_test, eventually

_SILENT = ("10.0.0.1", 1)


class _Client(SyncClient):
    """A client of which one peer never answers."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.asked: list[tuple[str, int]] = []
        super().__init__(
            own=PeerIdentity("m", "a", 1),
            membership=MembershipTable(Member("a", "h", 1, "r", "z", 1), clock=clock),
            records=RecordStore(),
            deltas={},
            pass_on=lambda record, before: None,
            clock=clock,
            rng=random.Random(1),
        )

    async def sync_with(
        self, host: str, port: int, *, cause: str = ""
    ) -> PeerIdentity | Failure:
        """Note who is asked."""
        self.asked.append((host, port))
        if (host, port) == _SILENT:
            await asyncio.Event().wait()
        return Failure(Verdict.NOT_RUN, "peer_busy")


class SyncClientTest(testtools.TestCase):
    """Tests of several fetches."""

    @async_test
    async def test_a_silent_peer_does_not_hold_up_others(self) -> None:
        client = _Client()
        client.compare(PeerDigest("b", 0, 7, 7, _SILENT))
        await eventually(lambda: client.asked == [_SILENT])
        other = ("10.0.0.2", 1)
        client.compare(PeerDigest("c", 0, 7, 7, other))
        await eventually(lambda: other in client.asked)
        client.close()

    @async_test
    async def test_one_peer_is_asked_once_at_a_time(self) -> None:
        client = _Client()
        for _ in range(5):
            client.compare(PeerDigest("b", 0, 7, 7, _SILENT))
        await eventually(lambda: client.asked)
        self.assertEqual([_SILENT], client.asked)
        client.close()
