"""The decoders of bytes that others send, with samples of what they get."""

import asyncio
import json
from collections.abc import Callable
from importlib import resources
from pathlib import Path
from typing import Any, NamedTuple

from tornado.iostream import StreamClosedError

from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.ini import read_sections
from burdockdock.coordination.membership import Member
from burdockdock.coordination.records import Record
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.node.roster import _parse_addresses
from burdockdock.node.settings import NodeSettings, parse_settings
from burdockdock.platform import INTERFACE
from burdockdock.platform.announcements import decode_heartbeat, decode_started_ms
from burdockdock.platform_api.client import _DECODE_ERRORS
from burdockdock.platform_api.json_text import parse_json
from burdockdock.protocol import MALFORMED, FrameConnection, Message
from burdockdock.protocol.calls import (
    AnswerHead,
    CallRequest,
    frame_answer_head,
    frame_call_start,
    frame_failure,
    read_answer_head,
    read_call_start,
    read_failure,
    read_failure_results,
)
from burdockdock.protocol.codec import frame
from burdockdock.protocol.members import (
    pack_member,
    pack_record,
    unpack_member,
    unpack_record,
)
from tests.fuzz.mesh import CONFIG

_READ_BYTES = 4096
_ROOT = Path(__file__).parents[2]


class LongListError(Exception):
    """Raised in place of reading a list that is longer than its message has bytes."""


class LongNumberError(Exception):
    """Raised in place of the error for a number that is too long to be converted."""


class Decoder(NamedTuple):
    """A decoder, and what it may raise for bytes that it can't decode.

    :param known_errors: what it raises still; KNOWN-RED.txt lists a test of each.
    :param has_json: whether the samples are JSON.
    """

    samples: tuple[bytes, ...]
    decode: Callable[[bytes], object]
    clear_errors: tuple[type[Exception], ...]
    known_errors: tuple[type[Exception], ...] = ()
    has_json: bool = False


class _Stream:
    """A stream that gives bytes and then ends."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def set_close_callback(self, callback: Callable[[], None]) -> None:
        """Ignore the callback."""

    def set_nodelay(self, value: bool) -> None:
        """Ignore the option."""

    async def read_bytes(self, size_bytes: int, *, partial: bool) -> bytes:
        """Return the next bytes."""
        if not self._data:
            raise StreamClosedError
        chunk, self._data = self._data[:_READ_BYTES], self._data[_READ_BYTES:]
        return chunk


def _read_frames(data: bytes) -> None:
    """Read the messages of a connection between nodes, and all of their fields."""
    asyncio.run(_read_all(FrameConnection(_Stream(data))))


async def _read_all(connection: FrameConnection) -> None:
    while (message := await connection.read()) is not None:
        _read_message(message, max_elements=connection.received_bytes)


def _read_message(message: Message, *, max_elements: int) -> None:
    kind = message.which()
    body = getattr(message, kind)
    for name in body.schema.fieldnames:
        _check_length(getattr(body, name, None), max_elements)
    for read in _READERS.get(kind, ()):
        read(message)


def _check_length(value: Any, max_elements: int) -> None:
    """Refuse a list that would take long to read."""
    if isinstance(value, (str, bytes)) or not hasattr(value, "__len__"):
        return
    if len(value) > max_elements:
        raise LongListError(f"{len(value)} elements")


def _read_members(message: Message) -> None:
    for packed in getattr(message, message.which()).members:
        unpack_member(packed)


def _read_records(message: Message) -> None:
    for packed in message.syncReply.records:
        unpack_record(packed)


_READERS: dict[str, tuple[Callable[[Message], object], ...]] = {
    "callStart": (read_call_start,),
    "answerHead": (read_answer_head,),
    "callFailed": (read_failure, read_failure_results),
    "ping": (_read_members,),
    "syncRequest": (_read_members,),
    "syncReply": (_read_members, _read_records),
}


def _frame_samples() -> tuple[bytes, ...]:
    headers = (("Request-Id", "id-1"), ("X-A", "b"))
    request = CallRequest(
        "id-1", "t", "c", "r", "work", 500, True, "GET", "/x", headers, 3, b"abc"
    )
    member = pack_member(Member("a", "10.0.0.1", 7000, "r", "z", 5))
    record = Record("config/main", 3, b"value" * 20)
    return (
        frame_call_start(1, request),
        frame_answer_head(1, AnswerHead(200, "OK", headers, b"body", True)),
        frame_failure(1, Failure(Verdict.RAN, "reason", "detail"), load=3),
        frame("callBody", callId=1, data=b"data", end=True),
        frame("outcome", queryId=1, verdict=2, reason="already_ran"),
        frame("hello", mesh="m", schemaVersion=1, nodeId="a", incarnation=1),
        frame("ping", mesh="m", sequence=1, nodeId="a", members=[member, member]),
        frame("syncRequest", members=[member], bucketDigests=[1, 2, 3]),
        frame("syncReply", records=[pack_record(record)], members=[member]),
        frame("applied", mesh="m", nodeId="a", entries=[{"nodeId": "a"}]),
    )


def _read_store_answer(data: bytes) -> None:
    """Decode an answer of the store in each form that the node expects."""
    try:
        body = parse_json(data)
    except ValueError:
        return
    dialect = INTERFACE.dialect
    objects = []
    for decode in (dialect.decode_list, dialect.decode_watch):
        try:
            objects += decode("config", body).objects
        except _DECODE_ERRORS:
            continue
    for found in objects:
        _parse_addresses(found.value)
        INTERFACE.order_format.read(found)
        INTERFACE.source.version_of(found)
        asyncio.run(INTERFACE.source.read(None, found))


def _store_samples() -> tuple[bytes, ...]:
    metadata = {"name": "main", "revision": 7, "finalizers": []}
    specs: tuple[dict[str, Any], ...] = (
        CONFIG,
        {"addresses": [["10.0.0.1", 7000]]},
        {"service": "work", "target-version": "v2", "duration": "20s"},
    )
    items = [{"metadata": metadata, "spec": spec, "status": {}} for spec in specs]
    events = [{"object": item, "deleted": False} for item in items]
    answers = (
        {"items": items, "has-more": False, "at": 9},
        {"events": events, "at": 9},
    )
    return tuple(json.dumps(answer).encode() for answer in answers)


def _read_heartbeat(data: bytes) -> None:
    decode_heartbeat("i-1", data)
    decode_started_ms(data)


_HEARTBEAT = {
    "service": "work",
    "address": "10.0.0.1:8080",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-remaining": "0ms",
    "seq": 4,
    "born": 5,
}


def _read_settings(data: bytes) -> None:
    """Check settings and a configuration; both return their problems."""
    # Bytes that are no text are refused when the file is read.
    text = data.decode("utf-8")
    settings = parse_settings(text)
    assert isinstance(settings, (NodeSettings, list))
    sections = read_sections(text)
    if not isinstance(sections, dict):
        return
    try:
        build_snapshot(sections, version=1)
    except ValueError as error:
        if "digits" not in str(error):
            raise
        raise LongNumberError from error


def _settings_samples() -> tuple[bytes, ...]:
    package = resources.files("burdockdock")
    return (
        (package / "node" / "sample.ini").read_bytes(),
        (package / "cli" / "demo.ini").read_bytes(),
        (_ROOT / "deploy" / "node.ini").read_bytes(),
    )


DECODERS = {
    "links": Decoder(
        _frame_samples(), _read_frames, (ValueError, *MALFORMED), (LongListError,)
    ),
    "store": Decoder(
        _store_samples(),
        _read_store_answer,
        (),
        (OverflowError,),
        has_json=True,
    ),
    "heartbeats": Decoder(
        (json.dumps(_HEARTBEAT).encode(),), _read_heartbeat, (), has_json=True
    ),
    "settings": Decoder(
        _settings_samples(), _read_settings, (UnicodeDecodeError,), (LongNumberError,)
    ),
}
