"""A node in a process of its own that gets a malformed message from a peer.

``python -m tests.fuzz.malformed_peer`` ends with status 0 if the node goes on.
"""

import asyncio
import struct

from burdockdock.coordination.membership import Member
from burdockdock.protocol.codec import SCHEMA_VERSION, frame
from burdockdock.protocol.members import pack_member
from tests import streams
from tests.fleet import HOST, running_fleet

_HELLO = {"mesh": "test", "schemaVersion": SCHEMA_VERSION, "nodeId": "x"}
# Start of the host's pointer of the only member, behind the header of the frame.
_HOST_POINTER = 4 + 96
# Points to a text that is longer than any message.
_MALFORMED_POINTER = struct.pack("<II", 1, (1 << 32) - 8 + 2)


def malformed_request(node_id: str) -> bytes:
    """Return a syncRequest with an old entry of a member whose host can't be read."""
    member = Member(node_id, "host", 1, "r", "z", 0)
    request = bytearray(frame("syncRequest", members=[pack_member(member)]))
    request[_HOST_POINTER : _HOST_POINTER + 8] = _MALFORMED_POINTER
    return bytes(request)


async def _send(port: int, data: bytes) -> bytes:
    """Send a handshake and bytes; return all that comes within a second."""
    reader, writer = await streams.open_connection(HOST, port)
    writer.write(frame("hello", incarnation=1, **_HELLO) + data)
    received = b""
    try:
        async with asyncio.timeout(1.0):
            while chunk := await reader.read(1 << 16):
                received += chunk
    except TimeoutError:
        pass
    writer.transport.abort()
    return received


async def _main() -> None:
    async with running_fleet("a") as fleet:
        await fleet.apply()
        port = fleet.nodes["a"].membership.own.port
        await _send(port, malformed_request("a"))
        assert await _send(port, b""), "the node gave no welcome"
    await streams.close_all()


if __name__ == "__main__":
    asyncio.run(_main())
