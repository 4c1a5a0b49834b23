"""TCP server for other nodes: forwarded calls and state synchronization."""

import asyncio

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from burdockdock.clock import Clock
from burdockdock.coordination.backoff import TokenBucket
from burdockdock.coordination.verdict import Failure
from burdockdock.gate.call_server import CallServer
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import OpenAccount
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.overlay.sync_server import SyncServer, SyncSession
from burdockdock.protocol import (
    MALFORMED,
    FrameConnection,
    Message,
    ProtocolError,
)
from burdockdock.protocol.handshake import PeerIdentity, accept_handshake

_HANDSHAKES_PER_S = 200
_HANDSHAKE_BURST = 400


class PeerServer(TCPServer):
    """Serves connections from other nodes, each in its own task.

    The rate of handshakes is limited.
    """

    def __init__(
        self,
        *,
        own: PeerIdentity,
        gate: Gate,
        sync_server: SyncServer,
        clock: Clock,
        metrics: Metrics,
        open_account: OpenAccount | None = None,
    ) -> None:
        super().__init__()
        self._own = own
        self._gate = gate
        self._sync_server = sync_server
        self._metrics = metrics
        self._open_account = open_account
        self._handshakes = TokenBucket(
            rate_per_s=_HANDSHAKES_PER_S, burst=_HANDSHAKE_BURST, clock=clock
        )
        self._connections: set[FrameConnection] = set()
        self.sync_sent_bytes = 0
        self.sync_received_bytes = 0

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve one connection until it is closed."""
        connection = FrameConnection(stream)
        self._connections.add(connection)
        try:
            await self._serve(connection)
        except (ValueError, *MALFORMED) as error:
            self._metrics.count("peer_connections_malformed")
            log_event(
                "peer.malformed", peer=f"{address[0]}:{address[1]}", detail=str(error)
            )
        finally:
            connection.close()
            self._connections.discard(connection)

    async def finish(self) -> None:
        """Wait until all answers are delivered; answers to later calls are dropped."""
        connections = list(self._connections)
        await asyncio.gather(*(connection.finish() for connection in connections))

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop()
        for connection in list(self._connections):
            connection.close()

    async def _serve(self, connection: FrameConnection) -> None:
        peer = await accept_handshake(
            connection, self._own, accepting=self._handshakes.try_take()
        )
        if isinstance(peer, Failure):
            self._metrics.count("handshakes_refused", label=peer.reason)
            # Lets the refusal arrive before the connection is closed.
            await asyncio.sleep(0.05)
            return
        calls = CallServer(connection, self._gate, open_account=self._open_account)
        session = self._sync_server.session(peer.node_id, connection)
        try:
            while (message := await connection.read()) is not None:
                if calls.handle(message):
                    continue
                if message.which() != "syncRequest":
                    raise ProtocolError(f"unexpected {message.which()}")
                self.sync_received_bytes += connection.message_bytes
                await self._answer_sync(session, message)
        finally:
            calls.close()
            session.close()

    async def _answer_sync(self, session: SyncSession, message: Message) -> None:
        before_bytes = session.sent_bytes
        await session.answer(message.syncRequest)
        self.sync_sent_bytes += session.sent_bytes - before_bytes
