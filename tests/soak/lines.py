"""A loopback proxy in front of one port, that fails on order."""

import asyncio
import random

from tests.relay import Relay

_READ_BYTES = 65536
FAULTS = ("delay", "reset", "cut_in", "cut_out", "silence")


class Line(Relay):
    """Passes connections on; what is cut off arrives once the line is whole again."""

    def __init__(self, target_port: int) -> None:
        super().__init__(target_port, framed=False)
        self._delay_s = 0.0
        self._flows = {True: asyncio.Event(), False: asyncio.Event()}
        self.mend()

    def fail(self, fault: str, rng: random.Random) -> None:
        """Begin one of the faults; a reset is over at once."""
        if fault == "reset":
            self.cut()
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

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, outward: bool
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                await asyncio.sleep(self._delay_s)
                await self._flows[outward].wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()
