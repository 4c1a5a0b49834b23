"""The handshake on a new connection between nodes."""

import asyncio
from typing import NamedTuple

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.codec import SCHEMA_VERSION, Message, ProtocolError, frame
from burdockdock.protocol.connection import FrameConnection

HANDSHAKE_TIMEOUT_S = 3.0


class PeerIdentity(NamedTuple):
    """Who a node says it is.

    :param incarnation: grows with each start of the node.
    """

    mesh: str
    node_id: str
    incarnation: int


async def initiate_handshake(
    connection: FrameConnection, own: PeerIdentity
) -> PeerIdentity | Failure:
    """Send this node's hello to the peer it connected to and check the reply."""
    connection.send(
        frame(
            "hello",
            mesh=own.mesh,
            schemaVersion=SCHEMA_VERSION,
            nodeId=own.node_id,
            incarnation=own.incarnation,
        )
    )
    reply = await _read_in_time(connection)
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
    """Check the hello of a peer that connected, and answer it.

    :param accepting: whether there is room for another handshake now.
    """
    message = await _read_in_time(connection)
    if isinstance(message, Failure):
        return message
    refusal = _check(message, own, accepting)
    if refusal is not None:
        connection.send(frame("refused", reason=refusal.reason, detail=refusal.detail))
        return refusal
    connection.send(frame("welcome", nodeId=own.node_id, incarnation=own.incarnation))
    hello = message.hello
    return PeerIdentity(hello.mesh, hello.nodeId, hello.incarnation)


def _check(message: Message, own: PeerIdentity, accepting: bool) -> Failure | None:
    if message.which() != "hello":
        return Failure(Verdict.NOT_RUN, "no_handshake", "the first message is a hello")
    hello = message.hello
    if hello.mesh != own.mesh:
        return Failure(
            Verdict.NOT_RUN, "other_mesh", f"this is {own.mesh}, not {hello.mesh}"
        )
    if hello.schemaVersion != SCHEMA_VERSION:
        return Failure(
            Verdict.NOT_RUN,
            "unknown_schema",
            f"this node speaks schema {SCHEMA_VERSION}, not {hello.schemaVersion}",
        )
    if not accepting:
        return Failure(Verdict.NOT_RUN, "handshake_limit", "try again later")
    return None


async def _read_in_time(connection: FrameConnection) -> Message | Failure:
    try:
        message = await asyncio.wait_for(connection.read(), HANDSHAKE_TIMEOUT_S)
    except TimeoutError:
        return Failure(Verdict.NOT_RUN, "handshake_timeout")
    except ProtocolError as error:
        return Failure(Verdict.NOT_RUN, "bad_handshake", str(error))
    if message is None:
        return Failure(Verdict.NOT_RUN, "connection_closed")
    return message
