"""Loopback TCP proxy in front of one port that injects network faults on demand."""

import asyncio
import random

from tests.relay import Relay

_READ_BYTES = 65536
FAULTS = ("delay", "reset", "cut_in", "cut_out", "silence")


class FaultProxy(Relay):
    """Forwards connections, and delivers data held back by a fault once it is cleared.

    :param target_port: port to which connections are forwarded.
    """

    def __init__(self, target_port: int) -> None:
        super().__init__(target_port, framed=False)
        self._delay_s = 0.0
        # By direction: True towards the target, False back from it.
        self._flow_allowed = {True: asyncio.Event(), False: asyncio.Event()}
        self.clear_faults()

    def inject(self, fault: str, rng: random.Random) -> None:
        """Start a fault, which lasts until ``clear_faults`` is called.

        A reset is the exception: it aborts the open connections once.

        :param fault: one of ``FAULTS``.
        """
        if fault == "reset":
            self.cut()
        if fault == "delay":
            self._delay_s = rng.uniform(0.02, 0.3)
        if fault in ("cut_in", "silence"):
            self._flow_allowed[True].clear()
        if fault in ("cut_out", "silence"):
            self._flow_allowed[False].clear()

    def clear_faults(self) -> None:
        """End all faults and forward data without delay."""
        self._delay_s = 0.0
        for flow in self._flow_allowed.values():
            flow.set()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, outward: bool
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                await asyncio.sleep(self._delay_s)
                await self._flow_allowed[outward].wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()
