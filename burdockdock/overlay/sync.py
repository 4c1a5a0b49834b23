"""Exchange of what two nodes lack, over a connection of its own."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from burdockdock.clock import Clock
from burdockdock.coordination.backoff import TokenBucket
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event
from burdockdock.overlay.datagrams import Address
from burdockdock.overlay.failure_detector import PeerDigest
from burdockdock.overlay.spread import DeltaCodec
from burdockdock.protocol import MALFORMED, FrameConnection, Message
from burdockdock.protocol.codec import frame
from burdockdock.protocol.handshake import PeerIdentity, greet
from burdockdock.protocol.members import (
    merge_member,
    pack_member,
    pack_record,
    unpack_record,
)

_TIMEOUT_S = 5.0
_MAX_PULLS = 3
_CONNECT_TIMEOUT_S = 1.0
_SETTLE_S = 0.2
_MEMBER_SYNC_INTERVAL_S = 5.0
_BYTES_PER_S = 4_000_000
_BURST_BYTES = 16_000_000
_MEMBER_BYTES = 160

Connect = Callable[[str, int], Awaitable[FrameConnection]]


class SyncServer:
    """Answers other nodes' requests, within a budget of bytes."""

    def __init__(
        self,
        *,
        membership: MembershipTable,
        records: RecordStore,
        deltas: dict[str, DeltaCodec],
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._records = records
        self._deltas = deltas
        self._clock = clock
        self._budget = TokenBucket(
            rate_per_s=_BYTES_PER_S, burst=_BURST_BYTES, clock=clock
        )

    def reply_to(self, request: Message, *, peer: str = "") -> bytes:
        """Return the frame that answers a request.

        :param peer: id of the node that asked, for the logs.
        """
        started_s = self._clock.monotonic()
        for packed in request.members:
            merge_member(self._membership, packed)
        versions = {entry.key: entry.version for entry in request.versions}
        records = [
            self._pack(record, versions.get(record.key, 0))
            for record in self._records.newer_than(versions)
        ]
        differing = self._differing_buckets(list(request.bucketDigests))
        members = self._membership.in_buckets(differing)
        size_bytes = sum(len(record["value"]) for record in records)
        size_bytes += len(members) * _MEMBER_BYTES
        if not self._budget.try_take(size_bytes):
            return frame("syncReply", busy=True)
        reply = frame(
            "syncReply",
            records=records,
            members=[pack_member(member) for member in members],
            differingBuckets=sorted(differing),
        )
        if records:
            log_event(
                "sync.answered",
                peer=peer,
                keys=len(records),
                base_version=versions.get(records[0]["key"], 0),
                size_bytes=len(reply),
                work_s=self._clock.monotonic() - started_s,
            )
        return reply

    def _pack(self, record: Record, known_version: int) -> dict[str, Any]:
        codec = self._deltas.get(record.key)
        if codec is None:
            return pack_record(record)
        delta = codec.encode_delta(known_version) if known_version else None
        if delta is None:
            return pack_record(record._replace(value=codec.encode_whole()))
        return pack_record(record._replace(value=delta), base_version=known_version)

    def _differing_buckets(self, digests: list[int]) -> set[int]:
        own = self._membership.bucket_digests
        if len(digests) != len(own):
            return set()
        return {i for i, digest in enumerate(digests) if digest != own[i]}


class _Progress:
    """How far an exchange came.

    :param cause: what let this node ask.
    :param started_s: monotonic seconds.
    """

    def __init__(self, cause: str, started_s: float) -> None:
        self.cause = cause
        self.started_s = started_s
        self.greeted_s = 0.0
        self.records = 0
        self.received_bytes = 0


class SyncClient:
    """Fetches what this node lacks from other nodes.

    ``peers`` holds the ids of the nodes that an exchange was completed with.

    :param pass_on: called with each record that was new, and with the version that
        it replaced.
    :param connect: opens a connection to an address, over TCP unless told otherwise.
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
    ) -> None:
        self._own = own
        self._membership = membership
        self._records = records
        self._deltas = deltas
        self._pass_on = pass_on
        self._clock = clock
        self._rng = rng
        self._connect = connect or _tcp_connect()
        self._pulling: dict[Address, asyncio.Task[None]] = {}
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
        progress = _Progress(cause, self._clock.monotonic())
        outcome = await self._exchange_in_time(host, port, progress)
        log_event(
            "sync.ended",
            peer=f"{host}:{port}",
            cause=progress.cause,
            reason=outcome.reason if isinstance(outcome, Failure) else "done",
            records=progress.records,
            received_bytes=progress.received_bytes,
            greeted_s=progress.greeted_s,
            seconds_s=self._clock.monotonic() - progress.started_s,
        )
        return outcome

    async def _exchange_in_time(
        self, host: str, port: int, progress: "_Progress"
    ) -> PeerIdentity | Failure:
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                return await self._exchange(host, port, progress)
        except TimeoutError:
            return Failure(Verdict.MAY_HAVE_RUN, "sync_timeout", f"{host}:{port}")
        except (OSError, StreamClosedError, ValueError, *MALFORMED) as error:
            return Failure(Verdict.MAY_HAVE_RUN, "sync_failed", str(error))

    def pull_from(self, node_id: str, *, cause: str) -> None:
        """Fetch the records of a member in the background.

        :param cause: what let this node ask, for the logs.
        """
        member = self._membership.get(node_id)
        if member is not None:
            self._start_pull((member.host, member.port), cause, settle_s=0.0)

    def compare(self, digest: PeerDigest) -> None:
        """Fetch from a peer whose digest shows that this node lacks something."""
        if digest.record_digest != self._records.digest:
            behind = digest.record_sum >= self._records.version_sum
            if behind:
                self._pull_if_still(digest)
        elif digest.member_digest != self._membership.digest:
            now_s = self._clock.monotonic()
            if now_s - self._last_member_sync_s >= _MEMBER_SYNC_INTERVAL_S:
                self._last_member_sync_s = now_s
                self._pull_if_still(digest)

    def close(self) -> None:
        """Stop the fetches that are under way."""
        for task in self._pulling.values():
            task.cancel()

    def _pull_if_still(self, digest: PeerDigest) -> None:
        """Wait for news on its way, then fetch if nothing changed meanwhile."""
        settle_s = _SETTLE_S * self._rng.uniform(0.5, 1.5)
        self._start_pull(digest.address, "digest", settle_s=settle_s)

    def _start_pull(self, address: Address, cause: str, *, settle_s: float) -> None:
        """Start a fetch; a peer that does not answer holds no other fetch up."""
        if address in self._pulling or len(self._pulling) >= _MAX_PULLS:
            return
        task = asyncio.create_task(self._pull(address, cause, settle_s))
        self._pulling[address] = task
        task.add_done_callback(lambda _: self._pulling.pop(address, None))

    async def _pull(self, address: Address, cause: str, settle_s: float) -> None:
        before = (self._records.digest, self._membership.digest)
        await asyncio.sleep(settle_s)
        if settle_s and (self._records.digest, self._membership.digest) != before:
            return
        result = await self.sync_with(*address, cause=cause)
        if isinstance(result, Failure):
            log_event(
                "sync.failed",
                peer=f"{address[0]}:{address[1]}",
                reason=result.reason,
                detail=result.detail,
            )

    async def _exchange(
        self, host: str, port: int, progress: "_Progress"
    ) -> PeerIdentity | Failure:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            connection = await self._connect(host, port)
        try:
            peer = await greet(connection, self._own)
            if isinstance(peer, Failure):
                return peer
            progress.greeted_s = self._clock.monotonic() - progress.started_s
            reply = await self._ask(connection, members=True, pushed=[])
            if reply is None or reply.busy:
                return Failure(Verdict.NOT_RUN, "peer_busy", f"{host}:{port}")
            differing = set(reply.differingBuckets)
            progress.records = len(reply.records)
            self._take_in(reply)
            if differing:
                pushed = self._membership.in_buckets(differing)
                await self._ask(connection, members=False, pushed=pushed)
            self.peers.add(peer.node_id)
            return peer
        finally:
            connection.close()
            self.sent_bytes += connection.sent_bytes
            self.received_bytes += connection.received_bytes
            progress.received_bytes = connection.received_bytes

    async def _ask(
        self, connection: FrameConnection, *, members: bool, pushed: list[Member]
    ) -> Message | None:
        versions = {
            key: version
            for key, version in self._records.versions().items()
            if key not in self._wanted_whole
        }
        digests = self._membership.bucket_digests if members else ()
        connection.send(
            frame(
                "syncRequest",
                versions=[{"key": k, "version": v} for k, v in versions.items()],
                bucketDigests=list(digests),
                members=[pack_member(member) for member in pushed],
            )
        )
        message = await connection.read()
        if message is None or message.which() != "syncReply":
            return None
        return message.syncReply

    def _take_in(self, reply: Message) -> None:
        for packed in reply.members:
            merge_member(self._membership, packed)
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
