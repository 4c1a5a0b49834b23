"""Exchange of what two nodes lack, over a connection of its own."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import MappingProxyType

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.overlay.datagrams import Address
from burdockdock.overlay.failure_detector import PeerDigest
from burdockdock.overlay.fetches import FetchQueue, Source
from burdockdock.overlay.progress import Progress
from burdockdock.overlay.spread import DeltaCodec
from burdockdock.protocol import MALFORMED, FrameConnection, Message
from burdockdock.protocol.codec import frame
from burdockdock.protocol.handshake import PeerIdentity, initiate_handshake
from burdockdock.protocol.members import (
    merge_member,
    pack_member,
    unpack_record,
)

# An exchange that goes on is never cut: what it brought so far would be lost.
_SILENT_S = 3.0
_CONNECT_TIMEOUT_S = 1.0
_SETTLE_S = 0.2
_MEMBER_SYNC_INTERVAL_S = 5.0

Connect = Callable[[str, int], Awaitable[FrameConnection]]


_NOTHING: Mapping[str, int] = MappingProxyType({})
_GIVEN_UP = Failure(Verdict.NOT_RUN, "not_needed", "another peer was quicker")


class SyncClient:
    """Fetches what this node lacks from other nodes.

    ``peers`` holds the ids of the nodes that an exchange was completed with.

    :param pass_on: called with each record that was new, and with the version that
        it replaced.
    :param connect: opens a connection to an address, over TCP unless told otherwise.
    :param head_key: key of the record whose version each digest names.
    """

    def __init__(
        self,
        *,
        own: PeerIdentity,
        membership: MembershipTable,
        records: RecordStore,
        deltas: dict[str, DeltaCodec],
        pass_on: Callable[[Record, int], None],
        clock: Clock,
        rng: random.Random,
        connect: Connect | None = None,
        head_key: str = "",
    ) -> None:
        self._own = own
        self._membership = membership
        self._records = records
        self._deltas = deltas
        self._pass_on = pass_on
        self._clock = clock
        self._rng = rng
        self._connect = connect or _tcp_connect()
        self._head_key = head_key
        self._progress: dict[Address, Progress] = {}
        self._fetches = FetchQueue(
            fetch=self._fetch,
            received_bytes=self._received_from,
            find_source=self._find_source,
            rng=rng,
        )
        self._wanted_whole: set[str] = set()
        self._last_member_sync_s = float("-inf")
        self.peers: set[str] = set()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def sync_with(
        self, host: str, port: int, *, cause: str = "join"
    ) -> PeerIdentity | Failure:
        """Exchange state with the node at an address.

        :param cause: what let this node ask, for the logs.
        """
        progress = Progress(self._clock)
        self._progress[host, port] = progress
        outcome: PeerIdentity | Failure = _GIVEN_UP
        try:
            outcome = await self._exchange_while_it_goes_on(host, port, progress)
        finally:
            self._progress.pop((host, port), None)
            failure = outcome if isinstance(outcome, Failure) else None
            progress.log_end(f"{host}:{port}", cause, failure)
        return outcome

    def pull_from(self, node_id: str, *, cause: str) -> None:
        """Fetch the records of a member in the background.

        :param cause: what let this node ask, for the logs.
        """
        self._add_source(node_id, cause, self._lacks_anything)

    def compare(self, digest: PeerDigest) -> None:
        """Fetch from a peer whose digest shows that this node lacks something."""
        known = self._records.digest
        if self._is_behind(digest, known):
            is_behind = functools.partial(self._is_behind, digest, known)
            self._fetch_if_still(Source(digest.address, "digest", is_behind))
        elif digest.member_digest != self._membership.digest:
            now_s = self._clock.monotonic()
            if now_s - self._last_member_sync_s >= _MEMBER_SYNC_INTERVAL_S:
                self._last_member_sync_s = now_s
                members = self._membership.digest
                is_same = lambda: members == self._membership.digest
                source = Source(digest.address, "members", is_same, to_its_end=True)
                self._fetch_if_still(source)

    def close(self) -> None:
        """Stop the fetches that are under way."""
        self._fetches.close()

    def _add_source(
        self, node_id: str, cause: str, is_wanted: Callable[[], bool]
    ) -> None:
        member = self._membership.get(node_id)
        if member is not None:
            self._fetches.add(Source((member.host, member.port), cause, is_wanted))

    def _is_behind(self, digest: PeerDigest, known: int) -> bool:
        """Tell whether a peer has records that this node lacks.

        The head is looked at by itself: a peer that lacks other records may have it.

        :param known: this node's digest when the peer's came; where the sums are equal,
            what arrived since may be what differed.
        """
        if digest.head_version > self._records.version(self._head_key):
            return True
        if digest.record_digest == self._records.digest:
            return False
        ahead = digest.record_sum - self._records.version_sum
        return ahead > 0 or (ahead == 0 and known == self._records.digest)

    def _lacks_anything(self) -> bool:
        """Tell whether an advertised version is not here."""
        return any(
            self._records.missing_version(key)
            for key in self._records.advertised_keys()
        )

    def _fetch_if_still(self, source: Source) -> None:
        """Wait for news on its way, then fetch if that is wanted still."""
        settle_s = _SETTLE_S * self._rng.uniform(0.5, 1.5)
        asyncio.get_running_loop().call_later(settle_s, self._fetches.add, source)

    async def _fetch(self, source: Source) -> PeerIdentity | Failure:
        return await self.sync_with(*source.address, cause=source.cause)

    def _received_from(self, address: Address) -> int:
        progress = self._progress.get(address)
        return progress.received_bytes if progress else 0

    def _find_source(self) -> Source | None:
        """Return a member to ask for a missing version."""
        own_id = self._membership.own.node_id
        others = [m for m in self._membership.live() if m.node_id != own_id]
        if not others or not self._lacks_anything():
            return None
        member = self._rng.choice(others)
        return Source((member.host, member.port), "lacking", self._lacks_anything)

    async def _exchange_while_it_goes_on(
        self, host: str, port: int, progress: Progress
    ) -> PeerIdentity | Failure:
        """Exchange state; give up when nothing more arrives."""
        exchange = asyncio.ensure_future(self._exchange(host, port, progress))
        received_bytes = -1
        try:
            while not exchange.done() and received_bytes != progress.received_bytes:
                received_bytes = progress.received_bytes
                await asyncio.wait({exchange}, timeout=_SILENT_S)
            if not exchange.done():
                return Failure(Verdict.MAY_HAVE_RUN, "sync_timeout", f"{host}:{port}")
            return exchange.result()
        except TimeoutError:
            return Failure(Verdict.MAY_HAVE_RUN, "sync_timeout", f"{host}:{port}")
        except (OSError, StreamClosedError, ValueError, *MALFORMED) as error:
            return Failure(Verdict.MAY_HAVE_RUN, "sync_failed", str(error))
        finally:
            exchange.cancel()

    async def _exchange(
        self, host: str, port: int, progress: Progress
    ) -> PeerIdentity | Failure:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            connection = await self._connect(host, port)
        progress.connection = connection
        try:
            peer = await initiate_handshake(connection, self._own)
            if isinstance(peer, Failure):
                return peer
            progress.note_greeting()
            reply = await self._ask(connection)
            if reply is None:
                return Failure(Verdict.NOT_RUN, "peer_closed", f"{host}:{port}")
            if reply.busy:
                self._go_on_to(reply)
                return Failure(Verdict.NOT_RUN, "peer_busy", f"{host}:{port}")
            progress.records = len(reply.records)
            self._take_members(reply)
            tells = self._tell_members(connection, reply)
            if not tells:
                # The peer has its place back while the records are being checked.
                connection.close()
            self._take_records(reply)
            if tells:
                await connection.read()
        finally:
            connection.close()
            self.sent_bytes += connection.sent_bytes
            self.received_bytes += connection.received_bytes
        self.peers.add(peer.node_id)
        return peer

    def _go_on_to(self, reply: Message) -> None:
        """Ask the nodes that a peer without a free place named."""
        for entry in reply.withheld:
            self._records.note_advertised(entry.key, entry.version)
        is_wanted = self._lacks_anything if reply.withheld else lambda: True
        for node_id in reply.sources:
            self._add_source(node_id, "sent_on", is_wanted)

    def _tell_members(self, connection: FrameConnection, reply: Message) -> bool:
        """Send the members that the peer lacks; return whether there are any."""
        told = {(m.nodeId, m.incarnation, m.state) for m in reply.members}
        pushed = [
            member
            for member in self._membership.in_buckets(set(reply.differingBuckets))
            if (member.node_id, member.incarnation, int(member.state)) not in told
        ]
        if pushed:
            taken = {record.key: record.version for record in reply.records}
            self._request(connection, taken=taken, pushed=pushed)
        return bool(pushed)

    async def _ask(self, connection: FrameConnection) -> Message | None:
        """Ask for all that this node lacks."""
        digests = list(self._membership.bucket_digests)
        self._request(connection, digests=digests)
        message = await connection.read()
        if message is None or message.which() != "syncReply":
            return None
        return message.syncReply

    def _request(
        self,
        connection: FrameConnection,
        *,
        digests: Sequence[int] = (),
        taken: Mapping[str, int] = _NOTHING,
        pushed: Sequence[Member] = (),
    ) -> None:
        """Send what this node has.

        :param taken: versions that were received and are not in the records yet.
        """
        known = self._records.versions()
        versions = {
            key: version
            for key, version in {**known, **taken}.items()
            if key in taken or key not in self._wanted_whole
        }
        connection.send(
            frame(
                "syncRequest",
                versions=[{"key": k, "version": v} for k, v in versions.items()],
                bucketDigests=list(digests),
                members=[pack_member(member) for member in pushed],
                takesDeflated=True,
            )
        )

    def _take_members(self, reply: Message) -> None:
        for packed in reply.members:
            merge_member(self._membership, packed)

    def _take_records(self, reply: Message) -> None:
        for packed in reply.records:
            self._take_record(unpack_record(packed), packed.baseVersion)

    def _take_record(self, record: Record, base_version: int) -> None:
        before = self._records.version(record.key)
        if base_version:
            codec = self._deltas.get(record.key)
            if codec is None or base_version != before:
                return
            applied = codec.apply_delta(record)
            if applied is None:
                self._wanted_whole.add(record.key)
                return
            record = applied
        self._wanted_whole.discard(record.key)
        if self._records.put(record):
            self._pass_on(record, before)


def _tcp_connect() -> Connect:
    """Return a function that opens connections over TCP."""
    client = TCPClient()

    async def connect(host: str, port: int) -> FrameConnection:
        return FrameConnection(await client.connect(host, port))

    return connect
