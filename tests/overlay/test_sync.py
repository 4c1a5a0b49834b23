"""Tests of the sync client with peers that do not answer."""

import asyncio
import random

import testtools

from burdockdock.clock import Clock, SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.overlay.pings import PeerDigest
from burdockdock.overlay.sync import SyncClient
from burdockdock.protocol.handshake import PeerIdentity
from tests.support import async_test, eventually
from tests.virtual_time import LoopClock, run_virtually

_SILENT = ("10.0.0.1", 1)


class _RecordingClient(SyncClient):
    """Sync client with one peer that never answers."""

    def __init__(self, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self.requested: list[tuple[str, int]] = []
        self.members = MembershipTable(Member("a", "h", 1, "r", "z", 1), clock=clock)
        self.records = RecordStore()
        super().__init__(
            own=PeerIdentity("m", "a", 1),
            membership=self.members,
            records=self.records,
            deltas={},
            on_new_record=lambda record, before: None,
            clock=clock,
            rng=random.Random(1),
        )

    async def sync_with(
        self, host: str, port: int, *, cause: str = ""
    ) -> PeerIdentity | Failure:
        """Record the requested peer."""
        self.requested.append((host, port))
        if (host, port) == _SILENT:
            await asyncio.Event().wait()
        return Failure(Verdict.NOT_RUN, "peer_busy")


class SyncClientTest(testtools.TestCase):
    """Tests of concurrent fetches."""

    @async_test
    async def test_silent_peer_does_not_delay_others(self) -> None:
        client = _RecordingClient()
        client.compare(PeerDigest("b", 0, 7, 7, _SILENT))
        await eventually(lambda: client.requested == [_SILENT])
        other = ("10.0.0.2", 1)
        client.compare(PeerDigest("c", 0, 7, 7, other))
        await eventually(lambda: other in client.requested)
        client.close()

    @async_test
    async def test_peer_has_at_most_one_active_fetch(self) -> None:
        client = _RecordingClient()
        for _ in range(5):
            client.compare(PeerDigest("b", 0, 7, 7, _SILENT))
        await eventually(lambda: client.requested)
        self.assertEqual([_SILENT], client.requested)
        client.close()


async def _compare_while_members_change(
    client: _RecordingClient, *, duration_s: float
) -> None:
    """Deliver a newer record digest twice a second while a member changes often."""
    for step in range(round(duration_s / 0.05)):
        client.members.merge(Member("c", "h", 2, "r", "z", incarnation=step + 1))
        if step % 10 == 0:
            client.compare(PeerDigest("b", 0, 7, 7, ("10.0.0.2", 1)))
        await asyncio.sleep(0.05)
    client.close()


class FetchDelayTest(testtools.TestCase):
    """Tests of the delay between a digest and the fetch it triggers."""

    def test_member_changes_do_not_prevent_record_fetches(self) -> None:
        requested: list[tuple[str, int]] = []

        async def scenario() -> None:
            client = _RecordingClient(LoopClock())
            await _compare_while_members_change(client, duration_s=4.0)
            requested.extend(client.requested)

        run_virtually(scenario())
        self.assertNotEqual([], requested)

    def test_record_received_during_delay_is_not_fetched(self) -> None:
        requested: list[tuple[str, int]] = []

        async def scenario() -> None:
            client = _RecordingClient(LoopClock())
            client.compare(PeerDigest("b", 0, 7, 7, ("10.0.0.2", 1)))
            await asyncio.sleep(0.05)
            client.records.put(Record("config", 7, b""))
            await asyncio.sleep(1.0)
            requested.extend(client.requested)
            client.close()

        run_virtually(scenario())
        self.assertEqual([], requested)
