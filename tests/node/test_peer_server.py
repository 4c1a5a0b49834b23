"""Tests of the server for other nodes, over real connections."""

import testtools
from tornado.tcpclient import TCPClient

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.metrics import Metrics
from burdockdock.node.peer_server import PeerServer
from burdockdock.overlay.reply_limiter import Peer
from burdockdock.overlay.sync_server import SyncServer
from burdockdock.protocol import FrameConnection
from burdockdock.protocol.codec import frame
from burdockdock.protocol.handshake import PeerIdentity, initiate_handshake
from burdockdock.standin.local_fleet import free_port
from tests.support import async_test, eventually

_HOST = "127.0.0.1"
_HOLDER = Peer("holder", "z")


class PeerServerTest(testtools.TestCase):
    """Tests of a node that already sends the maximum number of large replies."""

    def setUp(self) -> None:
        super().setUp()
        clock = SystemClock()
        records = RecordStore()
        records.put(Record("k", 1, bytes(100_000)))
        membership = MembershipTable(Member("s", _HOST, 1, "r", "z", 1), clock=clock)
        self.sync_server = SyncServer(
            membership=membership, records=records, deltas={}, clock=clock
        )
        self.port = free_port()
        self.server = PeerServer(
            own=PeerIdentity("m", "s", 1),
            gate=None,
            sync_server=self.sync_server,
            clock=clock,
            metrics=Metrics(),
        )

    async def _request_sync(self, node_id: str) -> FrameConnection:
        connection = FrameConnection(await TCPClient().connect(_HOST, self.port))
        self.addCleanup(connection.close)
        await initiate_handshake(connection, PeerIdentity("m", node_id, 1))
        connection.send(frame("syncRequest", versions=[], bucketDigests=[]))
        return connection

    @async_test
    async def test_disconnected_peer_loses_its_place_in_the_reply_queue(self) -> None:
        self.server.listen(self.port, address=_HOST)
        self.addCleanup(self.server.close)
        limiter = self.sync_server.reply_limiter
        await limiter.acquire(_HOLDER)
        await limiter.acquire(_HOLDER)
        disconnecting = await self._request_sync("gone")
        await eventually(lambda: limiter.waiting == 1)
        disconnecting.close()
        await eventually(lambda: limiter.waiting == 0)
        staying = await self._request_sync("stays")
        await eventually(lambda: limiter.waiting == 1)
        limiter.release(_HOLDER, delivered=False)
        reply = await staying.read()
        self.assertEqual(100_000, len(reply.syncReply.records[0].value))
