"""Server side of anti-entropy: answers sync requests of other nodes."""

import asyncio
from typing import Any, NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.logs import log_event
from burdockdock.overlay.reply_limiter import Peer, ReplyLimiter
from burdockdock.overlay.spread import DeltaCodec
from burdockdock.protocol import FrameConnection, Message
from burdockdock.protocol.codec import frame
from burdockdock.protocol.deflated import deflate
from burdockdock.protocol.members import merge_member, pack_member, pack_record

# Estimated size of one member on the wire.
_MEMBER_BYTES = 160
# Replies of at least this size need a slot of the reply limiter.
_LARGE_REPLY_BYTES = 16 * 1024
# Smaller values are not worth the CPU time of compression.
_MIN_DEFLATE_BYTES = 1024
# One value is cached per base version; peers request few different base versions.
_MAX_CACHED_ENCODINGS = 16
# A peer that reads its reply slowly loses its slot after this time.
_MAX_SLOT_HOLD_S = 2.0


class _EncodingKey(NamedTuple):
    """Cache key of an encoded value; the version sent is checked separately."""

    key: str
    base_version: int
    deflated: bool


class _MissingState(NamedTuple):
    """Records and members that a peer is missing."""

    records: list[dict[str, Any]]
    members: list[Member]
    differing_buckets: list[int]

    @property
    def size_bytes(self) -> int:
        """Estimated size on the wire."""
        values = sum(len(record["value"]) for record in self.records)
        return values + len(self.members) * _MEMBER_BYTES


class SyncServer:
    """Answers sync requests; sends only a few large replies at the same time."""

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
        # Encoded values, shared by peers that request the same state at the same time.
        self._encodings: dict[_EncodingKey, tuple[Record, dict[str, Any]]] = {}
        self.reply_limiter = ReplyLimiter()

    def session(self, peer_id: str, connection: FrameConnection) -> "SyncSession":
        """Return the server's side of a connection."""
        member = self._membership.get(peer_id)
        zone = member.availability_zone if member else ""
        return SyncSession(self, Peer(peer_id, zone), connection, clock=self._clock)

    def reply_to(self, request: Message) -> bytes:
        """Return the frame that answers a request."""
        return _reply_frame(self._missing_state(request))

    def small_reply_to(self, request: Message) -> bytes | None:
        """Return the frame that answers a request, or None if it needs a slot."""
        missing_state = self._missing_state(request)
        return (
            _reply_frame(missing_state)
            if missing_state.size_bytes < _LARGE_REPLY_BYTES
            else None
        )

    def redirect_reply_to(self, request: Message, source_id: str) -> bytes:
        """Return a frame that lists the versions a peer is missing, without values.

        :param source_id: node that the peer should ask instead, empty if none is known.
        """
        missing = [
            {"key": record["key"], "version": record["version"]}
            for record in self._missing_state(request).records
        ]
        sources = [source_id] if source_id else []
        return frame("syncReply", busy=True, sources=sources, withheld=missing)

    def merge_members(self, request: Message) -> None:
        """Merge the members that a request contains."""
        for packed in request.members:
            merge_member(self._membership, packed)

    def _missing_state(self, request: Message) -> _MissingState:
        versions = {entry.key: entry.version for entry in request.versions}
        records = [
            self._pack(record, versions.get(record.key, 0), request.takesDeflated)
            for record in self._records.newer_than(versions)
        ]
        differing = self._differing_buckets(list(request.bucketDigests))
        members = self._membership.in_buckets(differing) if differing else []
        return _MissingState(records, members, sorted(differing))

    def _pack(
        self, record: Record, known_version: int, deflated: bool
    ) -> dict[str, Any]:
        codec = self._deltas.get(record.key)
        if codec is None:
            return pack_record(record)
        encoding_key = _EncodingKey(record.key, known_version, deflated)
        cached = self._encodings.get(encoding_key)
        if cached is None or cached[0] is not record:
            self._evict_older_encodings(record)
            cached = (record, _encode(record, codec, encoding_key))
            self._encodings[encoding_key] = cached
            if len(self._encodings) > _MAX_CACHED_ENCODINGS:
                del self._encodings[next(iter(self._encodings))]
        return cached[1]

    def _evict_older_encodings(self, record: Record) -> None:
        """Remove cached encodings of older versions of a record."""
        self._encodings = {
            encoding_key: cached
            for encoding_key, cached in self._encodings.items()
            if encoding_key.key != record.key or cached[0] is record
        }

    def _differing_buckets(self, digests: list[int]) -> set[int]:
        own = self._membership.bucket_digests
        if len(digests) != len(own):
            return set()
        return {i for i, digest in enumerate(digests) if digest != own[i]}


class SyncSession:
    """Server side of one connection."""

    def __init__(
        self,
        server: SyncServer,
        peer: Peer,
        connection: FrameConnection,
        *,
        clock: Clock,
    ) -> None:
        self._server = server
        self._peer = peer
        self._connection = connection
        self._clock = clock
        # True while a large reply is being sent, even if its slot was released early.
        self._sending_large_reply = False
        self._slot_timer: asyncio.TimerHandle | None = None
        self.sent_bytes = 0

    async def answer(self, request: Message) -> None:
        """Answer a request.

        A new request implies that the peer has received the previous reply.
        """
        self._finish_large_reply(delivered=True)
        self._server.merge_members(request)
        small_reply = self._server.small_reply_to(request)
        if small_reply is not None:
            self._send_reply(small_reply)
            return
        requested_at_s = self._clock.monotonic()
        source_id = await self._wait_for_slot()
        if source_id is None:
            self._hold_slot()
            if self._connection.closed:
                self._finish_large_reply(delivered=False)
                return
            reply = self._server.reply_to(request)
        else:
            reply = self._server.redirect_reply_to(request, source_id)
        log_event(
            "sync.answered",
            peer=self._peer.node_id,
            size_bytes=len(reply),
            redirected_to=source_id or "",
            withheld=source_id is not None,
            waited_s=self._clock.monotonic() - requested_at_s,
            waiting=self._server.reply_limiter.waiting,
        )
        self._send_reply(reply)

    def close(self) -> None:
        """Finish the current reply when the connection ends.

        A peer that received the complete reply closes the connection cleanly; a peer
        that aborted resets it.
        """
        self._finish_large_reply(delivered=not self._connection.error)

    def _send_reply(self, reply: bytes) -> None:
        self.sent_bytes += len(reply)
        self._connection.send(reply)

    async def _wait_for_slot(self) -> str | None:
        """Wait for a slot, at most until the peer disconnects.

        :returns: as ``ReplyLimiter.acquire``; empty if the peer disconnected.
        """
        admission = asyncio.ensure_future(
            self._server.reply_limiter.acquire(self._peer)
        )
        disconnected = asyncio.ensure_future(self._connection.ended())
        try:
            await asyncio.wait(
                {admission, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
            return admission.result() if admission.done() else ""
        finally:
            admission.cancel()
            disconnected.cancel()

    def _hold_slot(self) -> None:
        self._sending_large_reply = True
        loop = asyncio.get_running_loop()
        self._slot_timer = loop.call_later(_MAX_SLOT_HOLD_S, self._release_slot_early)

    def _release_slot_early(self) -> None:
        """Release the slot for another peer while the reply continues."""
        self._slot_timer = None
        self._server.reply_limiter.release(self._peer, delivered=False)

    def _finish_large_reply(self, *, delivered: bool) -> None:
        if not self._sending_large_reply:
            return
        self._sending_large_reply = False
        if self._slot_timer is not None:
            self._slot_timer.cancel()
            self._slot_timer = None
            self._server.reply_limiter.release(self._peer, delivered=delivered)
        elif delivered:
            self._server.reply_limiter.redirect_waiters(self._peer)


def _reply_frame(missing_state: _MissingState) -> bytes:
    return frame(
        "syncReply",
        records=missing_state.records,
        members=[pack_member(member) for member in missing_state.members],
        differingBuckets=missing_state.differing_buckets,
    )


def _encode(
    record: Record, codec: DeltaCodec, encoding_key: _EncodingKey
) -> dict[str, Any]:
    """Return a packed record, encoded as a delta if its base version is known."""
    base = encoding_key.base_version
    delta = codec.encode_delta(base) if base else None
    value = codec.encode_whole() if delta is None else delta
    deflated = encoding_key.deflated and len(value) >= _MIN_DEFLATE_BYTES
    sent = record._replace(value=deflate(value) if deflated else value)
    base_version = 0 if delta is None else base
    return pack_record(sent, base_version=base_version, deflated=deflated)
