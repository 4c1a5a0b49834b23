"""Tests of what one link makes of the frames that arrive on it."""

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import CallRequest, frame_failure
from burdockdock.protocol.handshake import PeerIdentity
from burdockdock.proxy.peer_link import _MAX_GIVEN_UP, PeerLink
from tests.proxy.fake_connection import FakeConnection
from tests.support import async_test, eventually

_REQUEST = CallRequest("id", "t", "c", "r", "work", 100, True, "GET", "/", ())
_FULL = Failure(Verdict.NOT_RUN, "queue_full")


class LateRefusalTest(testtools.TestCase):
    """Tests of refusals that come after the call was given up."""

    async def _give_up(self, link: PeerLink, heard: list[Failure]) -> None:
        remote = link.start(_REQUEST)
        remote.on_late_refusal = heard.append
        remote.cancel()

    @async_test
    async def test_it_is_told_once(self) -> None:
        connection, heard = FakeConnection(), []
        link = PeerLink(
            connection, PeerIdentity("mesh", "b", 1), count_late=lambda: None
        )
        await self._give_up(link, heard)
        call_id = connection.sent[0].callStart.callId
        for _ in range(2):
            connection.arrive(frame_failure(call_id, _FULL, load=1))
        await eventually(lambda: connection._arrived.empty() and heard)
        self.assertEqual([_FULL], heard)
        link.close("test_over")

    @async_test
    async def test_only_so_many_are_waited_for(self) -> None:
        connection, heard = FakeConnection(), []
        link = PeerLink(
            connection, PeerIdentity("mesh", "b", 1), count_late=lambda: None
        )
        for _ in range(_MAX_GIVEN_UP + 5):
            await self._give_up(link, heard)
        self.assertEqual(_MAX_GIVEN_UP, len(link._given_up))
        link.close("test_over")
