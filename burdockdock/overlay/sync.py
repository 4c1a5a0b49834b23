"""Anti-entropy: exchange of missing records and members over a separate connection."""

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
from burdockdock.overlay.exchange_progress import ExchangeProgress
from burdockdock.overlay.fetch_queue import FetchQueue, Source
from burdockdock.overlay.pings import PeerDigest
from burdockdock.overlay.spread import DeltaCodec
from burdockdock.protocol import MALFORMED, FrameConnection, Message
from burdockdock.protocol.codec import frame
from burdockdock.protocol.handshake import PeerIdentity, initiate_handshake
from burdockdock.protocol.members import (
    merge_member,
    pack_member,
    unpack_record,
)

# An exchange is aborted only after a whole interval of this length without received
# bytes: aborting one that makes progress would lose the data received so far.
_IDLE_TIMEOUT_S = 3.0
_CONNECT_TIMEOUT_S = 1.0
# Mean delay before a fetch, during which updates in transit may still arrive.
_FETCH_DELAY_S = 0.2
_MEMBER_SYNC_INTERVAL_S = 5.0

Connect = Callable[[str, int], Awaitable[FrameConnection]]

_NO_VERSIONS: Mapping[str, int] = MappingProxyType({})
# Logged as the outcome of every cancelled exchange. One is cancelled when its data is
# no longer needed, or when this node closes.
_CANCELLED = Failure(
    Verdict.NOT_RUN, "not_needed", "another peer delivered the state first"
)


class SyncClient:
    """Fetches from other nodes the records and members that this node is missing.

    ``peers`` holds the ids of the nodes with which an exchange has completed.

    :param on_new_record: called with each new record and the version that it replaced.
    :param connect: opens a connection to an address; uses TCP by default.
    :param head_key: key of the head record, whose version each digest contains.
    """

    def __init__(
        self,
        *,
        own: PeerIdentity,
        membership: MembershipTable,
        records: RecordStore,
        deltas: dict[str, DeltaCodec],
        on_new_record: Callable[[Record, int], None],
        clock: Clock,
        rng: random.Random,
        connect: Connect | None = None,
        head_key: str = "",
    ) -> None:
        self._own = own
        self._membership = membership
        self._records = records
        self._deltas = deltas
        self._on_new_record = on_new_record
        self._clock = clock
        self._rng = rng
        self._connect = connect or _tcp_connect()
        self._head_key = head_key
        self._progress: dict[Address, ExchangeProgress] = {}
        self._fetch_queue = FetchQueue(
            fetch=self._fetch,
            received_bytes=self._received_bytes_from,
            find_source=self._find_source,
            rng=rng,
        )
        # Keys whose last delta did not apply; the full record is requested for them.
        self._full_record_keys: set[str] = set()
        self._last_member_sync_s = float("-inf")
        self.peers: set[str] = set()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def sync_with(
        self, host: str, port: int, *, cause: str = "join"
    ) -> PeerIdentity | Failure:
        """Exchange state with the node at an address.

        :param cause: what triggered the exchange, for the logs.
        """
        progress = ExchangeProgress(self._clock)
        self._progress[host, port] = progress
        outcome: PeerIdentity | Failure = _CANCELLED
        try:
            outcome = await self._exchange_with_idle_timeout(host, port, progress)
        finally:
            self._progress.pop((host, port), None)
            failure = outcome if isinstance(outcome, Failure) else None
            progress.log_end(f"{host}:{port}", cause, failure)
        return outcome

    def fetch_from(self, node_id: str, *, cause: str) -> None:
        """Fetch the records of a member in the background.

        :param cause: what triggered the fetch, for the logs.
        """
        self._add_source(node_id, cause, self._is_missing_version)

    def compare(self, digest: PeerDigest) -> None:
        """Schedule a fetch from a peer if its digest shows that this node is behind."""
        own_digest = self._records.digest
        if self._should_fetch(digest, own_digest):
            should_fetch = functools.partial(self._should_fetch, digest, own_digest)
            self._schedule_fetch(Source(digest.address, "digest", should_fetch))
        elif digest.member_digest != self._membership.digest:
            now_s = self._clock.monotonic()
            if now_s - self._last_member_sync_s >= _MEMBER_SYNC_INTERVAL_S:
                self._last_member_sync_s = now_s
                member_digest = self._membership.digest
                is_unchanged = lambda: member_digest == self._membership.digest
                source = Source(
                    digest.address, "members", is_unchanged, run_to_completion=True
                )
                self._schedule_fetch(source)

    def close(self) -> None:
        """Cancel all fetches."""
        self._fetch_queue.close()

    def _add_source(
        self, node_id: str, cause: str, is_needed: Callable[[], bool]
    ) -> None:
        member = self._membership.get(node_id)
        if member is not None:
            self._fetch_queue.add(Source((member.host, member.port), cause, is_needed))

    def _should_fetch(self, digest: PeerDigest, digest_at_receipt: int) -> bool:
        """Return whether to fetch records from a peer.

        The node with the smaller sum of record versions fetches; on a tie both do. The
        head version is compared separately, because a peer that lacks other records may
        still have a newer head.

        :param digest_at_receipt: this node's record digest when the peer's digest
            arrived. On a tie, a digest that has changed since then means that the
            difference may already be resolved.
        """
        if digest.head_version > self._records.version(self._head_key):
            return True
        if digest.record_digest == self._records.digest:
            return False
        ahead = digest.record_sum - self._records.version_sum
        return ahead > 0 or (ahead == 0 and digest_at_receipt == self._records.digest)

    def _is_missing_version(self) -> bool:
        """Return whether an advertised version has not been received yet."""
        return any(
            self._records.missing_version(key)
            for key in self._records.advertised_keys()
        )

    def _schedule_fetch(self, source: Source) -> None:
        """Queue a fetch after a delay; the queue skips it if it is no longer needed."""
        delay_s = _FETCH_DELAY_S * self._rng.uniform(0.5, 1.5)
        asyncio.get_running_loop().call_later(delay_s, self._fetch_queue.add, source)

    async def _fetch(self, source: Source) -> PeerIdentity | Failure:
        return await self.sync_with(*source.address, cause=source.cause)

    def _received_bytes_from(self, address: Address) -> int:
        progress = self._progress.get(address)
        return progress.received_bytes if progress else 0

    def _find_source(self) -> Source | None:
        """Return a random member if an advertised version is missing."""
        own_id = self._membership.own.node_id
        others = [m for m in self._membership.live() if m.node_id != own_id]
        if not others or not self._is_missing_version():
            return None
        member = self._rng.choice(others)
        return Source((member.host, member.port), "lacking", self._is_missing_version)

    async def _exchange_with_idle_timeout(
        self, host: str, port: int, progress: ExchangeProgress
    ) -> PeerIdentity | Failure:
        """Exchange state; abort after an interval without received bytes."""
        exchange = asyncio.ensure_future(self._exchange(host, port, progress))
        received_bytes = -1
        try:
            while not exchange.done() and received_bytes != progress.received_bytes:
                received_bytes = progress.received_bytes
                await asyncio.wait({exchange}, timeout=_IDLE_TIMEOUT_S)
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
        self, host: str, port: int, progress: ExchangeProgress
    ) -> PeerIdentity | Failure:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            connection = await self._connect(host, port)
        progress.connection = connection
        try:
            peer = await initiate_handshake(connection, self._own)
            if isinstance(peer, Failure):
                return peer
            progress.note_handshake()
            reply = await self._request_state(connection)
            if reply is None:
                return Failure(Verdict.NOT_RUN, "peer_closed", f"{host}:{port}")
            if reply.busy:
                self._follow_redirect(reply)
                return Failure(Verdict.NOT_RUN, "peer_busy", f"{host}:{port}")
            progress.records = len(reply.records)
            self._merge_members(reply)
            has_pushed = self._push_members(connection, reply)
            if not has_pushed:
                # Closing first lets the peer reuse the reply slot while this node
                # validates the records.
                connection.close()
            self._store_records(reply)
            if has_pushed:
                # The peer replies after it has merged the members; the reply's content
                # is not used.
                await connection.read()
        finally:
            connection.close()
            self.sent_bytes += connection.sent_bytes
            self.received_bytes += connection.received_bytes
        self.peers.add(peer.node_id)
        return peer

    def _follow_redirect(self, reply: Message) -> None:
        """Fetch from the nodes that a busy peer named instead of itself."""
        for entry in reply.withheld:
            self._records.note_advertised(entry.key, entry.version)
        is_needed = self._is_missing_version if reply.withheld else lambda: True
        for node_id in reply.sources:
            self._add_source(node_id, "sent_on", is_needed)

    def _push_members(self, connection: FrameConnection, reply: Message) -> bool:
        """Send the members that the peer is missing; return whether there are any."""
        received = {(m.nodeId, m.incarnation, m.state) for m in reply.members}
        pushed = [
            member
            for member in self._membership.in_buckets(set(reply.differingBuckets))
            if (member.node_id, member.incarnation, int(member.state)) not in received
        ]
        if pushed:
            received_versions = {record.key: record.version for record in reply.records}
            self._send_request(
                connection, received_versions=received_versions, pushed=pushed
            )
        return bool(pushed)

    async def _request_state(self, connection: FrameConnection) -> Message | None:
        """Request all records and members that this node is missing."""
        digests = list(self._membership.bucket_digests)
        self._send_request(connection, digests=digests)
        message = await connection.read()
        if message is None or message.which() != "syncReply":
            return None
        return message.syncReply

    def _send_request(
        self,
        connection: FrameConnection,
        *,
        digests: Sequence[int] = (),
        received_versions: Mapping[str, int] = _NO_VERSIONS,
        pushed: Sequence[Member] = (),
    ) -> None:
        """Send the versions, digests and members that this node has.

        :param received_versions: versions received in this exchange but not stored yet.
        """
        seen_versions = self._records.versions()
        versions = {
            key: version
            for key, version in {**seen_versions, **received_versions}.items()
            if key in received_versions or key not in self._full_record_keys
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

    def _merge_members(self, reply: Message) -> None:
        for packed in reply.members:
            merge_member(self._membership, packed)

    def _store_records(self, reply: Message) -> None:
        for packed in reply.records:
            self._store_record(unpack_record(packed), packed.baseVersion)

    def _store_record(self, record: Record, base_version: int) -> None:
        previous_version = self._records.version(record.key)
        if base_version:
            codec = self._deltas.get(record.key)
            if codec is None or base_version != previous_version:
                return
            full_record = codec.apply_delta(record)
            if full_record is None:
                self._full_record_keys.add(record.key)
                return
            record = full_record
        self._full_record_keys.discard(record.key)
        if self._records.put(record):
            self._on_new_record(record, previous_version)


def _tcp_connect() -> Connect:
    """Return a function that opens TCP connections."""
    client = TCPClient()

    async def connect(host: str, port: int) -> FrameConnection:
        return FrameConnection(await client.connect(host, port))

    return connect
