"""Tests of how versions reach nodes whose own links are full.

What such a node sends waits for seconds behind other data, or is dropped; what others
send to it arrives as usual.
"""

import asyncio
import random

import testtools

from tests.overlay.link_network import LinkNetwork
from tests.overlay.links import LinkSpeed, Path
from tests.overlay.long_version import (
    DISTRIBUTION_LIMIT_S,
    initial_document,
    record_of,
)
from tests.virtual_time import run_virtually

_NODES = 83
_ZONES = 3
_FULL = 8
_LINK = LinkSpeed(10e6, 10e6)
# How long the data that a node sends waits on a full link.
_QUEUE_DELAY_S = 2.0
_WARM_UP_S = 2.0
# How long the links have been full when a version is published.
_FULL_BEFORE_S = 2.0
_RUN_S = 8.0


class _FullLinkNetwork(LinkNetwork):
    """A network in which the uplinks of some nodes are full."""

    def __init__(self, seed: int) -> None:
        super().__init__([_LINK] * _NODES, zones=_ZONES)
        self.full: frozenset[int] = frozenset()
        for node in self.nodes:
            node.detector._rng = random.Random(seed * 1000 + node.index)

    def send_datagram(self, sender: int, target: int, data: bytes) -> None:
        """Send a datagram; drop it on a full link."""
        if sender not in self.full:
            super().send_datagram(sender, target, data)

    def _path(self, sender: int, target: int) -> Path:
        path = super()._path(sender, target)
        if sender not in self.full:
            return path
        return path._replace(delay_s=_QUEUE_DELAY_S)


async def _times_s(seed: int) -> list[float]:
    """Return the seconds until each node has applied a version."""
    rng = random.Random(seed)
    network = _FullLinkNetwork(seed)
    network.start(record_of(initial_document()))
    await asyncio.sleep(_WARM_UP_S)
    network.full = frozenset(rng.sample(range(_NODES), _FULL))
    await asyncio.sleep(_FULL_BEFORE_S)
    published_s = asyncio.get_running_loop().time()
    record = record_of(initial_document()._replace(version=2))
    others = [n for n in network.nodes if n.index not in network.full]
    for zone in range(_ZONES):
        in_zone = [n for n in others if n.index % _ZONES == zone]
        rng.choice(in_zone).spreader.broadcast_record(record)
    await asyncio.sleep(_RUN_S)
    network.close()
    return [node.applied_at_s(2) - published_s for node in network.nodes]


def _latest_s(seed: int) -> float:
    times_s: list[float] = []

    async def run() -> None:
        times_s.extend(await _times_s(seed))

    run_virtually(run())
    return max(times_s)


class FullLinksTest(testtools.TestCase):
    """Tests that no node is late with a version."""

    def test_version_reaches_nodes_whose_links_are_full(self) -> None:
        # Guards against a node that can't fetch what it was told of.
        for seed in (49, 60, 101, 162):
            self.assertLess(_latest_s(seed), DISTRIBUTION_LIMIT_S, seed)
