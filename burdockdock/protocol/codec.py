"""Encodes and decodes messages and their frames.

A datagram holds one message. On a TCP stream each message is framed: its length in
bytes as a little-endian 32-bit integer, then the message.
"""

import struct
from pathlib import Path
from typing import Any

import capnp

SCHEMA_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024
_FRAME_HEADER = struct.Struct("<I")
HEADER_BYTES = _FRAME_HEADER.size
WORD_BYTES = 8
# How often the words of a message may be read. Entries that take no bytes count too, so
# that a list can't be longer than what its message holds.
_MAX_READS = 8
_MIN_TRAVERSAL_WORDS = 64

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))

Message = Any
# Types of nearly all values, which are set as they are.
_SCALAR_TYPES = frozenset({bool, bytes, float, int, str})


class ProtocolError(Exception):
    """Raised when bytes from a peer are not a valid message of this protocol."""


# What reading a malformed message can raise. Cap'n Proto checks pointers lazily, so
# that reading a field can fail after decode() succeeded.
MALFORMED = (ProtocolError, capnp.KjException, UnicodeDecodeError)


def encode(message_type: str, **fields: Any) -> bytes:
    """Encode a message, without a frame header.

    :param message_type: name of the union field of the schema's ``Message``.
    :param fields: fields of the message by their names in the schema.
    """
    message = _schema.Message.new_message()
    _set_fields(message.init(message_type), fields)
    return message.to_bytes()


def frame(message_type: str, **fields: Any) -> bytes:
    """Encode a message as a frame; the parameters are those of :func:`encode`."""
    body = encode(message_type, **fields)
    return _FRAME_HEADER.pack(len(body)) + body


def frame_length(header: bytes) -> int:
    """Read the length of a frame's message in bytes from the frame's header.

    :raises ProtocolError: if it is 0 or more than MAX_FRAME_BYTES.
    """
    (length,) = _FRAME_HEADER.unpack(header)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise ProtocolError(f"frame length of {length} bytes is not allowed")
    return length


def decode(data: bytes) -> Message:
    """Decode a message.

    :raises ProtocolError: if the bytes are not a valid message of this schema.
    """
    try:
        with _schema.Message.from_bytes(
            data, traversal_limit_in_words=_traversal_words(len(data))
        ) as message:
            message.which()
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(str(error).splitlines()[0]) from None
    return message


def _traversal_words(size_bytes: int) -> int:
    return _MIN_TRAVERSAL_WORDS + _MAX_READS * size_bytes // WORD_BYTES


def _set_fields(builder: Any, fields: dict[str, Any]) -> None:
    """Set the fields of a message, recursing into dicts and lists of dicts.

    This takes a tenth of the time that pycapnp needs to convert a dict.
    """
    for name, value in fields.items():
        if type(value) in _SCALAR_TYPES:
            setattr(builder, name, value)
        elif isinstance(value, dict):
            _set_fields(builder.init(name), value)
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            items = builder.init(name, len(value))
            for i, item in enumerate(value):
                _set_fields(items[i], item)
        else:
            setattr(builder, name, value)
