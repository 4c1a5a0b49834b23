"""A loopback proxy in front of one port, that fails on order."""

import asyncio
import random

from burdockdock.standin.local_fleet import free_port

HOST = "127.0.0.1"
_READ_BYTES = 65536
FAULTS = ("delay", "reset", "cut_in", "cut_out", "silence")


class Line:
    """Passes connections on to a port.

    A cut or silenced direction keeps its connections open, and what was sent arrives
    once the line is whole again.

    :param target_port: where connections go.
    """

    def __init__(self, target_port: int) -> None:
        self.port = free_port()
        self._target_port = target_port
        self._delay_s = 0.0
        self._flows = {True: asyncio.Event(), False: asyncio.Event()}
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.mend()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def close(self) -> None:
        """Stop, and break every connection."""
        self._server.close()
        self._reset()

    def fail(self, fault: str, rng: random.Random) -> None:
        """Begin one of the faults; a reset is over at once."""
        if fault == "reset":
            self._reset()
        if fault == "delay":
            self._delay_s = rng.uniform(0.02, 0.3)
        if fault in ("cut_in", "silence"):
            self._flows[True].clear()
        if fault in ("cut_out", "silence"):
            self._flows[False].clear()

    def mend(self) -> None:
        """Let everything pass again."""
        self._delay_s = 0.0
        for flow in self._flows.values():
            flow.set()

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            back = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, back[1]}
        self._writers |= writers
        await asyncio.gather(
            self._pump(reader, back[1], inward=True),
            self._pump(back[0], writer, inward=False),
        )
        self._writers -= writers

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        inward: bool,
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                await self._flows[inward].wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()
