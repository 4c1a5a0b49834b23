"""Messages between nodes over UDP."""

import asyncio
from collections.abc import Callable
from typing import Any

from burdockdock.protocol import MALFORMED, Message, decode, encode

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 1400


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives one message a datagram.

    :param mesh: name of the mesh; messages of another one are dropped.
    :param count: called with a counter's name for each message dropped.
    """

    def __init__(self, mesh: str, *, count: Callable[[str], None]) -> None:
        self._mesh = mesh
        self._count = count
        self._handlers: dict[str, Callable[[Message, Address], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0
        self.received_bytes = 0

    async def open(self, host: str, port: int) -> None:
        """Bind to an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def on(self, kind: str, handler: Callable[[Message, Address], None]) -> None:
        """Call a function with each message of a kind and its sender."""
        self._handlers[kind] = handler

    def send(self, address: Address, kind: str, **fields: Any) -> None:
        """Send a message; it may be lost."""
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
        """Hand a message to its handler; drop what is none."""
        self.received_bytes += len(data)
        try:
            self._dispatch(decode(data), addr)
        except (*MALFORMED, ValueError):
            self._count("datagrams_malformed")

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers; their silence is noticed elsewhere."""

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
