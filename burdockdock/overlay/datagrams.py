"""Exchange of messages between nodes over UDP."""

import asyncio
from collections.abc import Callable
from typing import Any

from burdockdock.protocol import MALFORMED, Message, decode, encode

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 1400


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives messages, one per datagram.

    :param mesh: name of the mesh; messages from another mesh are dropped.
    :param count: called with the name of a counter for each dropped message.
    """

    def __init__(self, mesh: str, *, count: Callable[[str], None]) -> None:
        self._mesh = mesh
        self._count = count
        self._handlers: dict[str, Callable[[Message, Address], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0
        self.received_bytes = 0

    async def open(self, host: str, port: int) -> None:
        """Bind a UDP socket to an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def on(self, kind: str, handler: Callable[[Message, Address], None]) -> None:
        """Register the handler for a kind of message.

        :param handler: called with the message and the sender's address.
        """
        self._handlers[kind] = handler

    def send(self, address: Address, kind: str, **fields: Any) -> None:
        """Send a message, without any guarantee of delivery."""
        if self._transport is None:
            return
        data = encode(kind, mesh=self._mesh, **fields)
        self.sent_bytes += len(data)
        self._transport.sendto(data, address)

    def close(self) -> None:
        """Stop receiving."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a message to its handler; count and drop a malformed datagram."""
        self.received_bytes += len(data)
        try:
            self._dispatch(decode(data), addr)
        except (*MALFORMED, ValueError):
            self._count("datagrams_malformed")

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers: missing replies are detected elsewhere."""

    def _dispatch(self, message: Message, address: Address) -> None:
        kind = message.which()
        handler = self._handlers.get(kind)
        if handler is None:
            self._count("datagrams_unexpected")
            return
        body = getattr(message, kind)
        if body.mesh != self._mesh:
            self._count("datagrams_other_mesh")
            return
        handler(body, address)
