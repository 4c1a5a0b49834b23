"""The handshake on a new connection between nodes.

The connecting node sends ``hello``. The accepting node answers with ``welcome``. It
answers with ``refused`` if the first message is not ``hello``, if the mesh or schema
version differs, or if the rate of handshakes is above its limit.
"""

import asyncio
from typing import NamedTuple

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.codec import SCHEMA_VERSION, Message, ProtocolError, frame
from burdockdock.protocol.connection import FrameConnection

HANDSHAKE_TIMEOUT_S = 3.0


class PeerIdentity(NamedTuple):
    """A node's identity, as stated in the handshake.

    :param incarnation: increases with each start of the node.
    """

    mesh: str
    node_id: str
    incarnation: int


async def initiate_handshake(
    connection: FrameConnection, own: PeerIdentity
) -> PeerIdentity | Failure:
    """Send ``hello`` to the peer that this node connected to, and check the reply.

    :returns: the peer's identity, or why the handshake failed.
    """
    connection.send(
        frame(
            "hello",
            mesh=own.mesh,
            schemaVersion=SCHEMA_VERSION,
            nodeId=own.node_id,
            incarnation=own.incarnation,
        )
    )
    reply = await _read_with_timeout(connection)
    if isinstance(reply, Failure):
        return reply
    if reply.which() == "refused":
        return Failure(Verdict.NOT_RUN, reply.refused.reason, reply.refused.detail)
    if reply.which() != "welcome":
        return Failure(Verdict.NOT_RUN, "bad_handshake", reply.which())
    return PeerIdentity(own.mesh, reply.welcome.nodeId, reply.welcome.incarnation)


async def accept_handshake(
    connection: FrameConnection, own: PeerIdentity, *, accepting: bool = True
) -> PeerIdentity | Failure:
    """Check the ``hello`` of a peer that connected, and reply to it.

    :param accepting: whether the limit on the rate of handshakes allows this one.
    :returns: the peer's identity, or why the handshake was refused or failed.
    """
    message = await _read_with_timeout(connection)
    if isinstance(message, Failure):
        return message
    refusal = _refusal_for(message, own, accepting)
    if refusal is not None:
        connection.send(frame("refused", reason=refusal.reason, detail=refusal.detail))
        return refusal
    connection.send(frame("welcome", nodeId=own.node_id, incarnation=own.incarnation))
    hello = message.hello
    return PeerIdentity(hello.mesh, hello.nodeId, hello.incarnation)


def _refusal_for(
    message: Message, own: PeerIdentity, accepting: bool
) -> Failure | None:
    if message.which() != "hello":
        return Failure(
            Verdict.NOT_RUN, "no_handshake", "the first message must be hello"
        )
    hello = message.hello
    if hello.mesh != own.mesh:
        return Failure(
            Verdict.NOT_RUN, "other_mesh", f"this is {own.mesh}, not {hello.mesh}"
        )
    if hello.schemaVersion != SCHEMA_VERSION:
        return Failure(
            Verdict.NOT_RUN,
            "unknown_schema",
            f"this node uses schema {SCHEMA_VERSION}, not {hello.schemaVersion}",
        )
    if not accepting:
        return Failure(Verdict.NOT_RUN, "handshake_limit", "try again later")
    return None


async def _read_with_timeout(connection: FrameConnection) -> Message | Failure:
    try:
        message = await asyncio.wait_for(connection.read(), HANDSHAKE_TIMEOUT_S)
    except TimeoutError:
        return Failure(Verdict.NOT_RUN, "handshake_timeout")
    except ProtocolError as error:
        return Failure(Verdict.NOT_RUN, "bad_handshake", str(error))
    if message is None:
        return Failure(Verdict.NOT_RUN, "connection_closed")
    return message
