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
    """Tests of a node whose places for long replies are taken."""

    def setUp(self) -> None:
        super().setUp()
        clock = SystemClock()
        records = RecordStore()
        records.put(Record("k", 1, bytes(100_000)))
        table = MembershipTable(Member("s", _HOST, 1, "r", "z", 1), clock=clock)
        self.sync = SyncServer(
            membership=table, records=records, deltas={}, clock=clock
        )
        self.port = free_port()
        self.server = PeerServer(
            own=PeerIdentity("m", "s", 1),
            gate=None,
            sync_server=self.sync,
            clock=clock,
            metrics=Metrics(),
        )

    async def _ask(self, node_id: str) -> FrameConnection:
        connection = FrameConnection(await TCPClient().connect(_HOST, self.port))
        self.addCleanup(connection.close)
        await initiate_handshake(connection, PeerIdentity("m", node_id, 1))
        connection.send(frame("syncRequest", versions=[], bucketDigests=[]))
        return connection

    @async_test
    async def test_a_peer_that_left_while_it_waited_is_forgotten(self) -> None:
        self.server.listen(self.port, address=_HOST)
        self.addCleanup(self.server.close)
        places = self.sync.reply_limiter
        await places.acquire(_HOLDER)
        await places.acquire(_HOLDER)
        gone = await self._ask("gone")
        await eventually(lambda: places.waiting == 1)
        gone.close()
        await eventually(lambda: places.waiting == 0)
        stays = await self._ask("stays")
        await eventually(lambda: places.waiting == 1)
        places.release(_HOLDER, delivered=False)
        reply = await stays.read()
        self.assertEqual(100_000, len(reply.syncReply.records[0].value))
