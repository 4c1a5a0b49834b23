"""Tests of fetching from peers of which some don't answer."""

import asyncio
import random

import testtools

from burdockdock.clock import Clock, SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.overlay.failure_detector import PeerDigest
from burdockdock.overlay.sync import SyncClient
from burdockdock.protocol.handshake import PeerIdentity
from tests.support import async_test, eventually
from tests.virtual_time import LoopClock, run_virtually

_SILENT = ("10.0.0.1", 1)


class _Client(SyncClient):
    """A client of which one peer never answers."""

    def __init__(self, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self.asked: list[tuple[str, int]] = []
        self.members = MembershipTable(Member("a", "h", 1, "r", "z", 1), clock=clock)
        self.records = RecordStore()
        super().__init__(
            own=PeerIdentity("m", "a", 1),
            membership=self.members,
            records=self.records,
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


async def _compare_among_changing_members(client: _Client, *, seconds_s: float) -> None:
    """Show a peer's newer records twice a second while a member changes often."""
    for step in range(round(seconds_s / 0.05)):
        client.members.merge(Member("c", "h", 2, "r", "z", incarnation=step + 1))
        if step % 10 == 0:
            client.compare(PeerDigest("b", 0, 7, 7, ("10.0.0.2", 1)))
        await asyncio.sleep(0.05)
    client.close()


class SettleTest(testtools.TestCase):
    """Tests of what ends the wait for news that may be on its way."""

    def test_changes_of_members_do_not_keep_newer_records_away(self) -> None:
        asked: list[tuple[str, int]] = []

        async def scenario() -> None:
            client = _Client(LoopClock())
            await _compare_among_changing_members(client, seconds_s=4.0)
            asked.extend(client.asked)

        run_virtually(scenario())
        self.assertNotEqual([], asked)

    def test_records_that_arrive_meanwhile_are_not_fetched(self) -> None:
        asked: list[tuple[str, int]] = []

        async def scenario() -> None:
            client = _Client(LoopClock())
            client.compare(PeerDigest("b", 0, 7, 7, ("10.0.0.2", 1)))
            await asyncio.sleep(0.05)
            client.records.put(Record("config", 7, b""))
            await asyncio.sleep(1.0)
            asked.extend(client.asked)
            client.close()

        run_virtually(scenario())
        self.assertEqual([], asked)
