"""Answers to other nodes that ask for what they lack."""

import asyncio
from typing import Any, NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.logs import log_event
from burdockdock.overlay.long_replies import LongReplies, Peer
from burdockdock.overlay.spread import DeltaCodec
from burdockdock.protocol import FrameConnection, Message
from burdockdock.protocol.codec import frame
from burdockdock.protocol.deflated import deflate
from burdockdock.protocol.members import merge_member, pack_member, pack_record

_MEMBER_BYTES = 160
# A reply from this size on needs a place among the few that are sent at a time.
_LONG_BYTES = 16 * 1024
# A shorter value is not worth the work.
_DEFLATED_FROM_BYTES = 1024
# Versions that askers come from differ little; a value is kept for each.
_MOST_ENCODED = 16
# A peer that takes its reply no faster holds its place no longer.
_LONGEST_PLACE_S = 2.0


class _Encoding(NamedTuple):
    """What the bytes of a value depend on, beside the version that is sent."""

    key: str
    base_version: int
    deflated: bool


class _Answer(NamedTuple):
    """What a peer lacks."""

    records: list[dict[str, Any]]
    members: list[Member]
    differing_buckets: list[int]

    @property
    def size_bytes(self) -> int:
        """About the bytes that it takes to send."""
        values = sum(len(record["value"]) for record in self.records)
        return values + len(self.members) * _MEMBER_BYTES


class SyncServer:
    """Answers other nodes' requests, a few long ones at a time."""

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
        # What many peers ask for at once is worked out once.
        self._encoded: dict[_Encoding, tuple[Record, dict[str, Any]]] = {}
        self.long_replies = LongReplies()

    def session(self, peer_id: str, connection: FrameConnection) -> "SyncSession":
        """Return the server's side of a connection."""
        member = self._membership.get(peer_id)
        zone = member.availability_zone if member else ""
        return SyncSession(self, Peer(peer_id, zone), connection, clock=self._clock)

    def reply_to(self, request: Message) -> bytes:
        """Return the frame that answers a request."""
        return _frame_of(self._answer(request))

    def short_reply_to(self, request: Message) -> bytes | None:
        """Return the frame that answers a request, None if that needs a place."""
        answer = self._answer(request)
        return _frame_of(answer) if answer.size_bytes < _LONG_BYTES else None

    def withhold(self, request: Message, source_id: str) -> bytes:
        """Return the frame that says what a peer lacks, and whom to ask for it.

        :param source_id: a node that has it, empty where none is known.
        """
        lacking = [
            {"key": record["key"], "version": record["version"]}
            for record in self._answer(request).records
        ]
        sources = [source_id] if source_id else []
        return frame("syncReply", busy=True, sources=sources, withheld=lacking)

    def take_in(self, request: Message) -> None:
        """Take in what a peer tells of members."""
        for packed in request.members:
            merge_member(self._membership, packed)

    def _answer(self, request: Message) -> _Answer:
        versions = {entry.key: entry.version for entry in request.versions}
        records = [
            self._pack(record, versions.get(record.key, 0), request.takesDeflated)
            for record in self._records.newer_than(versions)
        ]
        differing = self._differing_buckets(list(request.bucketDigests))
        members = self._membership.in_buckets(differing) if differing else []
        return _Answer(records, members, sorted(differing))

    def _pack(
        self, record: Record, known_version: int, deflated: bool
    ) -> dict[str, Any]:
        codec = self._deltas.get(record.key)
        if codec is None:
            return pack_record(record)
        encoding = _Encoding(record.key, known_version, deflated)
        kept = self._encoded.get(encoding)
        if kept is None or kept[0] is not record:
            self._drop_older(record)
            kept = (record, _encode(record, codec, encoding))
            self._encoded[encoding] = kept
            if len(self._encoded) > _MOST_ENCODED:
                del self._encoded[next(iter(self._encoded))]
        return kept[1]

    def _drop_older(self, record: Record) -> None:
        """Forget the encodings of a key's older versions."""
        self._encoded = {
            encoding: kept
            for encoding, kept in self._encoded.items()
            if encoding.key != record.key or kept[0] is record
        }

    def _differing_buckets(self, digests: list[int]) -> set[int]:
        own = self._membership.bucket_digests
        if len(digests) != len(own):
            return set()
        return {i for i, digest in enumerate(digests) if digest != own[i]}


class SyncSession:
    """The server's side of one connection."""

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
        # Set while a long reply is under way, also after its place was given on.
        self._replying = False
        self._place: asyncio.TimerHandle | None = None
        self.sent_bytes = 0

    async def answer(self, request: Message) -> None:
        """Answer a request; the peer has taken the reply before it."""
        self._end_reply(taken=True)
        self._server.take_in(request)
        short = self._server.short_reply_to(request)
        if short is not None:
            self._reply(short)
            return
        asked_s = self._clock.monotonic()
        source_id = await self._wait_for_place()
        if source_id is None:
            self._take_place()
            if self._connection.closed:
                self._end_reply(taken=False)
                return
            reply = self._server.reply_to(request)
        else:
            reply = self._server.withhold(request, source_id)
        log_event(
            "sync.answered",
            peer=self._peer.node_id,
            size_bytes=len(reply),
            sent_on=source_id or "",
            withheld=source_id is not None,
            waited_s=self._clock.monotonic() - asked_s,
            waiting=self._server.long_replies.waiting,
        )
        self._reply(reply)

    def close(self) -> None:
        """Note the end of the connection.

        A peer that has read all closes in order; one that gave up resets.
        """
        self._end_reply(taken=not self._connection.error)

    def _reply(self, reply: bytes) -> None:
        self.sent_bytes += len(reply)
        self._connection.send(reply)

    async def _wait_for_place(self) -> str | None:
        """Wait for a place while the peer does; as of ``LongReplies.begin``."""
        turn = asyncio.ensure_future(self._server.long_replies.begin(self._peer))
        ended = asyncio.ensure_future(self._connection.ended())
        try:
            await asyncio.wait({turn, ended}, return_when=asyncio.FIRST_COMPLETED)
            return turn.result() if turn.done() else ""
        finally:
            turn.cancel()
            ended.cancel()

    def _take_place(self) -> None:
        self._replying = True
        loop = asyncio.get_running_loop()
        self._place = loop.call_later(_LONGEST_PLACE_S, self._give_place_on)

    def _give_place_on(self) -> None:
        """Let another peer have the place; the reply goes on."""
        self._place = None
        self._server.long_replies.end(self._peer, taken=False)

    def _end_reply(self, *, taken: bool) -> None:
        if not self._replying:
            return
        self._replying = False
        if self._place is not None:
            self._place.cancel()
            self._place = None
            self._server.long_replies.end(self._peer, taken=taken)
        elif taken:
            self._server.long_replies.send_on(self._peer)


def _frame_of(answer: _Answer) -> bytes:
    return frame(
        "syncReply",
        records=answer.records,
        members=[pack_member(member) for member in answer.members],
        differingBuckets=answer.differing_buckets,
    )


def _encode(record: Record, codec: DeltaCodec, encoding: _Encoding) -> dict[str, Any]:
    """Return a record as a message's field, as a delta where that is known."""
    base = encoding.base_version
    delta = codec.encode_delta(base) if base else None
    value = codec.encode_whole() if delta is None else delta
    deflated = encoding.deflated and len(value) >= _DEFLATED_FROM_BYTES
    sent = record._replace(value=deflate(value) if deflated else value)
    base_version = 0 if delta is None else base
    return pack_record(sent, base_version=base_version, deflated=deflated)
