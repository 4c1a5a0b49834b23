"""A simulated fleet of which a third of the backend servers is cold."""

import asyncio
import random
from collections import deque

import testtools

from burdockdock.coordination.cold_limiter import ColdLimiter
from burdockdock.coordination.limiter import SlotLimiter
from burdockdock.coordination.membership import Member
from burdockdock.gate.model import BACKEND_COLD
from burdockdock.proxy.attempts import MAX_FAILOVERS
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.cold_share import ColdShares
from burdockdock.proxy.pool import Locality, Pool
from tests.virtual_time import LoopClock, run_virtually

_NODES = 61
_COLD = 20
_CALLS_PER_S = 1600.0
_DURATION_S = 8.0
_SLOTS = 4
_SERVICE_S = (0.04, 0.09)
_RATE_PER_S = 8.5
_OVERAGE = 1.5
_SLACK = 8
_ANNOUNCE_INTERVAL_S = 1.5
# Time of a message between two nodes.
_LINK_S = 0.001


class _Server:
    """A backend server with its gate; counts what it gets while it is cold."""

    def __init__(self, number: int, rng: random.Random) -> None:
        self.node_id = f"n{number}"
        self.zone = f"z{number % 3}"
        self.clock = LoopClock()
        self.limiter = ColdLimiter(clock=self.clock)
        self.slots = SlotLimiter(slots=_SLOTS, clock=self.clock)
        self.service_s = rng.uniform(*_SERVICE_S)
        self.cold_until_s = 0.0
        self.announced_cold = False
        self.most_in_a_second = 0
        self._recent: deque[float] = deque()

    def member(self) -> Member:
        return Member(
            self.node_id,
            "h",
            1,
            "r",
            self.zone,
            1,
            ready=True,
            service="work",
            slots=_SLOTS,
            cold=self.announced_cold,
        )

    async def run(self) -> str:
        """Admit and run one call as a gate does; return why it didn't run."""
        await asyncio.sleep(_LINK_S)
        if not self.limiter.has_room(_RATE_PER_S):
            return BACKEND_COLD
        refusal = await self.slots.acquire(
            workspace="t", deadline_s=self.clock.monotonic() + 1.0, queue_length=0
        )
        if refusal is not None:
            return refusal.reason
        try:
            if not self.limiter.take(_RATE_PER_S):
                return BACKEND_COLD
            self._count()
            await asyncio.sleep(self.service_s)
        finally:
            self.slots.release("t")
        return ""

    def _count(self) -> None:
        now_s = self.clock.monotonic()
        if now_s >= self.cold_until_s:
            self._recent.clear()
            return
        self._recent.append(now_s)
        while self._recent[0] <= now_s - 1.0:
            self._recent.popleft()
        self.most_in_a_second = max(self.most_in_a_second, len(self._recent))


class _Fleet:
    """Servers, and the nodes that send calls to them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.servers = [_Server(i, self.rng) for i in range(_NODES)]
        self.by_id = {server.node_id: server for server in self.servers}
        self.balancers = [self._balancer(server) for server in self.servers]
        self.refused = self.calls = 0
        self._pools: list[Pool] = []
        self.publish()

    def publish(self) -> None:
        """Let all nodes know what the servers have announced."""
        members = [server.member() for server in self.servers]
        self._pools = [
            Pool(Locality(server.node_id, server.zone, "r"), members)
            for server in self.servers
        ]

    def _balancer(self, server: _Server) -> Balancer:
        rng = random.Random(self.rng.random())
        shares = ColdShares(
            clock=server.clock,
            rng=rng,
            rate_of=lambda _: _RATE_PER_S,
            nodes=lambda: _NODES,
        )
        return Balancer(
            availability_zone=server.zone,
            region="r",
            clock=server.clock,
            rng=rng,
            node_id=server.node_id,
            cold_shares=shares,
        )

    async def call(self) -> None:
        """Make a call through a random node, with a few other nodes to try."""
        self.calls += 1
        i = self.rng.randrange(_NODES)
        balancer, tried = self.balancers[i], frozenset()
        for _ in range(1 + MAX_FAILOVERS):
            member = balancer.pick(self._pools[i], excluded=tried)
            server = self.by_id[member.node_id]
            balancer.started(member.node_id)
            refusal = await server.run()
            balancer.finished(member.node_id, failed=False)
            balancer.record_gate_state(member.node_id, server.slots.in_use)
            if not refusal:
                return
            if refusal == BACKEND_COLD:
                balancer.refused_as_cold(member.node_id)
            tried |= {member.node_id}
        self.refused += 1

    async def make_calls(self, duration_s: float) -> None:
        """Make calls at random times, and wait for their ends."""
        end_s = LoopClock().monotonic() + duration_s
        tasks = []
        while LoopClock().monotonic() < end_s:
            await asyncio.sleep(self.rng.expovariate(_CALLS_PER_S))
            tasks.append(asyncio.create_task(self.call()))
        await asyncio.gather(*tasks)

    async def announce(self, server: _Server) -> None:
        """Announce a server's coldness at its own times, until cancelled."""
        await asyncio.sleep(self.rng.uniform(0, _ANNOUNCE_INTERVAL_S))
        while True:
            left_s = max(0.0, server.cold_until_s - server.clock.monotonic())
            server.limiter.record_announcement(left_s)
            if server.announced_cold != (left_s > 0):
                turned_cold = not server.announced_cold
                server.announced_cold = left_s > 0
                self.publish()
                if turned_cold:
                    self.suspect_cold(server)
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    def suspect_cold(self, told_by: _Server) -> None:
        """Warn the servers of a zone, as the membership does."""
        for server in self.servers:
            if server.zone == told_by.zone and server is not told_by:
                asyncio.get_running_loop().call_later(0.1, server.limiter.suspect_cold)

    def warm_calls(self) -> float:
        """Return how many calls the warm servers could take while calls are made."""
        warm = [server for server in self.servers if not server.cold_until_s]
        return sum(_SLOTS / server.service_s for server in warm) * _DURATION_S


class ColdFleetTest(testtools.TestCase):
    """Tests that no cold server gets too much, and few calls are refused."""

    def _check(self, fleet: _Fleet) -> None:
        bound = _RATE_PER_S * _OVERAGE + _SLACK
        most = max(server.most_in_a_second for server in fleet.servers)
        self.assertLessEqual(most, bound)
        self.assertGreater(most, 0)
        self.assertLessEqual(fleet.refused, 0.1 * fleet.warm_calls())
        self.assertGreater(fleet.calls, 0.9 * _CALLS_PER_S * _DURATION_S)

    def test_third_of_the_servers_is_cold(self) -> None:
        async def run() -> None:
            fleet = _Fleet(1)
            for server in fleet.servers[:_COLD]:
                server.cold_until_s = 1e9
                server.announced_cold = True
                server.limiter.record_announcement(1e9)
            fleet.publish()
            await fleet.make_calls(_DURATION_S)
            self._check(fleet)

        run_virtually(run())

    def test_zone_turns_cold_and_announces_it_late(self) -> None:
        # Guards against servers that get their usual load for up to an interval longer.
        async def run() -> None:
            fleet = _Fleet(2)
            tasks = [asyncio.create_task(fleet.announce(s)) for s in fleet.servers]
            calls = asyncio.create_task(fleet.make_calls(_DURATION_S))
            await asyncio.sleep(2.2)
            for server in fleet.servers:
                if server.zone == "z0":
                    server.cold_until_s = LoopClock().monotonic() + 3.0
            await calls
            self._check(fleet)
            for task in tasks:
                task.cancel()

        run_virtually(run())
