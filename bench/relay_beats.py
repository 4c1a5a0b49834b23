"""Calls to the platform while relays are killed, and beats, at three fleet sizes.

Runs the simulated fleet of the tests in virtual time; writes no file.
"""

import asyncio

from tests.node.relay_fleet import RelayFleet
from tests.virtual_time import run_virtually

_FLEET_SIZES = (13, 60, 300)
_WINDOW_S = 20.0


async def _calls_per_s(fleet: RelayFleet) -> float:
    before = fleet.store.call_count
    await asyncio.sleep(_WINDOW_S)
    return (fleet.store.call_count - before) / _WINDOW_S


async def _measure(count: int) -> None:
    fleet = RelayFleet(count)
    await asyncio.sleep(10)
    sent_bytes = sum(node.datagrams.sent_bytes for node in fleet.nodes.values())
    quiet = await _calls_per_s(fleet)
    sent_bytes = sum(n.datagrams.sent_bytes for n in fleet.nodes.values()) - sent_bytes
    fleet.loss = 0.3
    lossy = await _calls_per_s(fleet)
    fleet.loss = 0.0
    fleet.kill(fleet.relays)
    killed = await _calls_per_s(fleet)
    print(
        f"{count} members: {quiet:.2f} calls/s, {lossy:.2f} with 30% of beats lost, "
        f"{killed:.2f} without relays by {len(fleet.stand_ins)} standbys; beats of "
        f"{sent_bytes / _WINDOW_S:.0f} bytes/s in all"
    )
    fleet.close()


if __name__ == "__main__":
    for member_count in _FLEET_SIZES:
        run_virtually(_measure(member_count))
