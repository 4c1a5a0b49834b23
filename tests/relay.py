"""A small TCP relay that cuts or holds connections at a chosen moment."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.protocol.codec import HEADER_BYTES, decode, frame_length
from burdockdock.standin.local_fleet import free_port
from tests import streams

HOST = "127.0.0.1"


class Moment(NamedTuple):
    """When a fault happens.

    :param outward: whether it is about what flows towards the target.
    :param kind: kind of the message in a framed connection, empty for any data.
    :param before: whether it happens before that data is passed on.
    """

    outward: bool
    kind: str
    before: bool


class Relay:
    """Passes connections on to a port until its moment comes, once.

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
        """Listen."""
        self._server = await streams.start_server(self._serve, HOST, self.port)

    def cut(self) -> None:
        """Break every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def refuse(self) -> None:
        """Break every connection and accept no other."""
        self._server.close()
        self.cut()

    def hold(self) -> None:
        """Let no byte pass until released."""
        self._flowing.clear()

    def release(self) -> None:
        """Let bytes pass again."""
        self._flowing.set()

    def close(self) -> None:
        """Stop."""
        self.release()
        self.refuse()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            back_reader, back_writer = await streams.open_connection(
                HOST, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back_writer}
        outward = asyncio.create_task(self._pump(reader, back_writer, outward=True))
        inward = asyncio.create_task(self._pump(back_reader, writer, outward=False))
        await asyncio.wait([outward, inward])
        self._writers -= {writer, back_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, outward: bool
    ) -> None:
        try:
            while unit := await self._read_unit(reader):
                if self._is_moment(unit, outward, before=True):
                    await self._act()
                await self._flowing.wait()
                writer.write(unit)
                await writer.drain()
                if self._is_moment(unit, outward, before=False):
                    await self._act()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _read_unit(self, reader: asyncio.StreamReader) -> bytes:
        if not self._framed:
            return await reader.read(65536)
        header = await reader.readexactly(HEADER_BYTES)
        return header + await reader.readexactly(frame_length(header))

    def _is_moment(self, unit: bytes, outward: bool, *, before: bool) -> bool:
        moment = self.moment
        if moment is None or self.fired:
            return False
        if (moment.outward, moment.before) != (outward, before):
            return False
        if not self._framed or not moment.kind:
            return True
        return decode(unit[HEADER_BYTES:]).which() == moment.kind

    async def _act(self) -> None:
        self.fired = True
        await self.action()
