"""TCP relay for tests that injects one fault at a chosen moment of a connection."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.protocol.codec import HEADER_BYTES, decode, frame_length
from burdockdock.standin.local_fleet import free_port
from tests import streams

HOST = "127.0.0.1"


class Moment(NamedTuple):
    """The moment at which a fault is injected.

    :param outward: whether the triggering data flows towards the target.
    :param kind: type of the triggering message on framed connections; empty for any
        data.
    :param before: whether the fault comes before the data is forwarded, or after.
    """

    outward: bool
    kind: str
    before: bool


class Relay:
    """Forwards connections to a port, and runs an action once at a chosen moment.

    :param target_port: port to which connections are forwarded.
    :param framed: whether the connections carry frames between nodes.
    """

    def __init__(self, target_port: int, *, framed: bool) -> None:
        self.port = free_port()
        self.moment: Moment | None = None
        self.action: Callable[[], Awaitable[None]] | None = None
        self.fired = False
        self._target_port = target_port
        self._framed = framed
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._flowing = asyncio.Event()
        self._flowing.set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await streams.start_server(self._serve, HOST, self.port)

    def cut(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def refuse(self) -> None:
        """Abort all connections and refuse new ones."""
        self._server.close()
        self.cut()

    def hold(self) -> None:
        """Stop forwarding data until ``release`` is called."""
        self._flowing.clear()

    def release(self) -> None:
        """Resume forwarding data."""
        self._flowing.set()

    def close(self) -> None:
        """Abort all connections and stop listening."""
        self.release()
        self.refuse()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await streams.open_connection(
                HOST, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        outward = asyncio.create_task(self._pump(reader, target_writer, outward=True))
        inward = asyncio.create_task(self._pump(target_reader, writer, outward=False))
        await asyncio.wait([outward, inward])
        self._writers -= {writer, target_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, outward: bool
    ) -> None:
        try:
            while data := await self._read_frame_or_chunk(reader):
                if self._matches_moment(data, outward, before=True):
                    await self._run_action()
                await self._flowing.wait()
                writer.write(data)
                await writer.drain()
                if self._matches_moment(data, outward, before=False):
                    await self._run_action()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _read_frame_or_chunk(self, reader: asyncio.StreamReader) -> bytes:
        if not self._framed:
            return await reader.read(65536)
        header = await reader.readexactly(HEADER_BYTES)
        return header + await reader.readexactly(frame_length(header))

    def _matches_moment(self, data: bytes, outward: bool, *, before: bool) -> bool:
        moment = self.moment
        if moment is None or self.fired:
            return False
        if (moment.outward, moment.before) != (outward, before):
            return False
        if not self._framed or not moment.kind:
            return True
        return decode(data[HEADER_BYTES:]).which() == moment.kind

    async def _run_action(self) -> None:
        self.fired = True
        await self.action()
