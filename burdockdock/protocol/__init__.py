"""The protocol between nodes: messages, frames, handshakes and flow control."""

from burdockdock.protocol.codec import (
    MALFORMED,
    MAX_FRAME_BYTES,
    SCHEMA_VERSION,
    WORD_BYTES,
    Message,
    ProtocolError,
    decode,
    encode,
    frame,
)
from burdockdock.protocol.connection import FrameConnection
from burdockdock.protocol.flow import WINDOW_BYTES, ReceiverGone, SendWindow

__all__ = [
    "MALFORMED",
    "MAX_FRAME_BYTES",
    "SCHEMA_VERSION",
    "WORD_BYTES",
    "WINDOW_BYTES",
    "FrameConnection",
    "Message",
    "ProtocolError",
    "ReceiverGone",
    "SendWindow",
    "decode",
    "encode",
    "frame",
]
