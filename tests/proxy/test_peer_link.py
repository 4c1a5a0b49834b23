"""Tests of the handling of frames that arrive on a link."""

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import CallRequest, frame_failure
from burdockdock.protocol.handshake import PeerIdentity
from burdockdock.proxy.peer_link import _MAX_LATE_REFUSAL_HANDLERS, PeerLink
from tests.proxy.fake_connection import FakeConnection
from tests.support import async_test, eventually

_REQUEST = CallRequest("id", "t", "c", "r", "work", 100, True, "GET", "/", ())
_FULL = Failure(Verdict.NOT_RUN, "queue_full")


class LateRefusalTest(testtools.TestCase):
    """Tests of refusals that arrive after the call was abandoned."""

    async def _abandon_call(self, link: PeerLink, received: list[Failure]) -> None:
        remote = link.start(_REQUEST)
        remote.on_late_refusal = received.append
        remote.cancel()

    @async_test
    async def test_late_refusal_is_reported_once(self) -> None:
        connection, received = FakeConnection(), []
        link = PeerLink(
            connection, PeerIdentity("mesh", "b", 1), count_late=lambda: None
        )
        await self._abandon_call(link, received)
        call_id = connection.sent[0].callStart.callId
        for _ in range(2):
            connection.deliver(frame_failure(call_id, _FULL, load=1))
        await eventually(lambda: connection._incoming.empty() and received)
        self.assertEqual([_FULL], received)
        link.close("test_over")

    @async_test
    async def test_number_of_late_refusal_handlers_is_limited(self) -> None:
        connection, received = FakeConnection(), []
        link = PeerLink(
            connection, PeerIdentity("mesh", "b", 1), count_late=lambda: None
        )
        for _ in range(_MAX_LATE_REFUSAL_HANDLERS + 5):
            await self._abandon_call(link, received)
        self.assertEqual(_MAX_LATE_REFUSAL_HANDLERS, len(link._late_refusal_handlers))
        link.close("test_over")
