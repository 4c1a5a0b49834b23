"""Tests of how versions spread while a large part of the fleet stops.

A node that has stopped stays in the members' tables until it is declared dead, which
takes seconds.
"""

import asyncio
import random

import testtools

from tests.overlay.link_network import LinkNetwork
from tests.overlay.links import LinkSpeed
from tests.overlay.long_version import (
    DISTRIBUTION_LIMIT_S,
    initial_document,
    record_of,
)
from tests.virtual_time import run_virtually

_NODES = 85
_ZONES = 5
_STOPPING_SHARE = 0.4
_DATAGRAM_LOSS = 0.005
_LINK = LinkSpeed(10e6, 10e6)
_STOPPED_LINK = LinkSpeed(0, 0)
# Time from the notice that a node leaves to its end.
_NOTICE_S = 2.0
_WARM_UP_S = 2.0
# Time after the ends of the nodes, none of which is declared dead yet.
_PUBLISHED_AFTER_S = 0.3
_RUN_S = 6.0


class _Fleet:
    """A fleet of which a part leaves and stops just before a version is published."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._network = LinkNetwork([_LINK] * _NODES, zones=_ZONES)
        for node in self._network.nodes:
            node.detector._rng = random.Random(seed * 1000 + node.index)
        self._send_datagram = self._network.send_datagram
        self._network.send_datagram = self._send_or_lose
        count = int(_NODES * _STOPPING_SHARE)
        self._stopping = set(self._rng.sample(range(_NODES), count))

    async def latest_s(self, *, announced: bool) -> float:
        """Return the seconds until the last node that stays has applied a version.

        :param announced: whether the others say before that they leave.
        """
        initial = initial_document()
        self._network.start(record_of(initial))
        await asyncio.sleep(_WARM_UP_S)
        if announced:
            self._announce_leaving()
            await asyncio.sleep(_NOTICE_S)
        for index in self._stopping:
            self._network.set_speed(index, _STOPPED_LINK)
        await asyncio.sleep(_PUBLISHED_AFTER_S)
        published_s = asyncio.get_running_loop().time()
        staying = [n for n in self._network.nodes if n.index not in self._stopping]
        record = record_of(initial._replace(version=2))
        for zone in range(_ZONES):
            in_zone = [n for n in staying if n.index % _ZONES == zone]
            self._rng.choice(in_zone).spreader.broadcast_record(record)
        await asyncio.sleep(_RUN_S)
        self._network.close()
        return max(node.applied_at_s(2) for node in staying) - published_s

    def _announce_leaving(self) -> None:
        for index in self._stopping:
            node = self._network.nodes[index]
            member = node.membership.update_own(leaving=True)
            node.spreader.broadcast_member(member)

    def _send_or_lose(self, sender: int, target: int, data: bytes) -> None:
        if self._rng.random() >= _DATAGRAM_LOSS:
            self._send_datagram(sender, target, data)


def _latest_s(seed: int, *, announced: bool) -> float:
    """Return the result of a fleet in virtual time."""
    results = []

    async def run() -> None:
        results.append(await _Fleet(seed).latest_s(announced=announced))

    run_virtually(run())
    return results[0]


class StoppingMembersTest(testtools.TestCase):
    """Tests that no node that stays is late with a version."""

    def test_nodes_that_leave_make_no_other_late(self) -> None:
        # Guards against a node that nobody who is still there tells of a version.
        for seed in (7, 35):
            latest_s = _latest_s(seed, announced=True)
            self.assertLess(latest_s, DISTRIBUTION_LIMIT_S, seed)

    def test_nodes_that_are_killed_make_no_other_late(self) -> None:
        for seed in (7, 17):
            latest_s = _latest_s(seed, announced=False)
            self.assertLess(latest_s, DISTRIBUTION_LIMIT_S, seed)
