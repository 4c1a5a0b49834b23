"""Tests of the shares of a split route, also while one of its parts is short of room.

Calls through several nodes are replayed in virtual time; each part that is full refuses
its calls, and what it refuses must not move to another part.
"""

import random
from collections import Counter
from types import SimpleNamespace

import testtools
from tornado.httputil import HTTPHeaders, RequestStartLine

from burdockdock.clock import ManualClock
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    Route,
    RouteMatch,
    Service,
    Snapshot,
    SplitPart,
)
from burdockdock.coordination.membership import Member
from burdockdock.coordination.shutdown import ShutdownLimit
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.headers import OWN_HEADERS
from burdockdock.metrics import Metrics
from burdockdock.proxy.call import Call
from burdockdock.proxy.call_factory import make_call
from tests.proxy.test_forwarder import FakeLink, ForwarderFixture
from tests.support import async_test

_NODES = 5
_CALLS = 1500
# Tolerances of the users' rules: in steady state, and while a part is short of room.
_WEIGHT_TOLERANCE = 0.1
_SHORT_OF_ROOM_TOLERANCE = 0.2
_QUEUE_FULL = Failure(Verdict.NOT_RUN, "queue_full")
_DONE = Failure(Verdict.RAN, "done")


def _snapshot(weights: dict[str, float]) -> Snapshot:
    parts = tuple(SplitPart(service, weight) for service, weight in weights.items())
    route = Route("split", "/", "", split=parts)
    return EMPTY_SNAPSHOT._replace(
        version=1,
        services={name: Service(name, {}) for name in weights},
        routes={RouteMatch("", "/"): route},
        path_lengths=(1,),
    )


class _SplitFixture(ForwarderFixture):
    """A node whose services have one member each, which is named like its service."""

    def __init__(self, weights: dict[str, float], *, full: str, seed: int) -> None:
        links = {
            name: FakeLink(name, _QUEUE_FULL if name == full else _DONE)
            for name in weights
        }
        super().__init__(links, ManualClock())
        self.links = links
        self.weights = weights
        self._rng = random.Random(seed)

    def for_call(self, service: str, **options: object) -> list[Member]:
        """Return the member of a service, none if it has no backend server."""
        return [m for m in super().for_call(service, **options) if m.node_id == service]

    def pick(self, members: list[Member], *, excluded: frozenset[str]) -> Member | None:
        """Return the member."""
        return members[0] if members else None

    async def call_route(self) -> Call:
        """Build a call of the split route, and forward it."""
        context = SimpleNamespace(
            config_refusal=lambda: None,
            refusing=False,
            snapshot=lambda: _snapshot(self.weights),
            missing_version=lambda: 0,
            metrics=Metrics(),
            headers=OWN_HEADERS,
            rng=self._rng,
            availability_zone="z",
            node_id="n",
            clock=self.clock,
            shutdown=ShutdownLimit(),
            replaced_headers=frozenset(),
            may_wait=True,
        )
        start_line = RequestStartLine("GET", "/", "HTTP/1.1")
        call = make_call(context, start_line, HTTPHeaders())
        await self.forwarder.forward(call, None)
        return call


class TrafficSplitTest(testtools.TestCase):
    """Tests of which service the calls of a split route are sent to."""

    async def _shares(
        self, weights: dict[str, float], *, full: str = ""
    ) -> dict[str, float]:
        """Return the share of the calls that each service was sent."""
        calls: Counter[str] = Counter()
        for seed in range(_NODES):
            node = _SplitFixture(weights, full=full, seed=seed)
            for _ in range(_CALLS // _NODES):
                call = await node.call_route()
                calls[call.request.service] += 1
            for name, link in node.links.items():
                # Retries stay in the part that was drawn for the call.
                self.assertTrue(all(r.service == name for r in link.sent))
        return {name: calls[name] / _CALLS for name in weights}

    def _assert_shares(
        self, expected: dict[str, float], found: dict[str, float], tolerance: float
    ) -> None:
        for name, share in expected.items():
            self.assertTrue(abs(found[name] - share) <= tolerance, found)

    @async_test
    async def test_shares_equal_the_weights(self) -> None:
        found = await self._shares({"a": 70, "b": 20, "c": 10})
        self._assert_shares({"a": 0.7, "b": 0.2, "c": 0.1}, found, _WEIGHT_TOLERANCE)

    @async_test
    async def test_a_full_part_keeps_its_share(self) -> None:
        found = await self._shares({"a": 70, "b": 30}, full="a")
        self._assert_shares({"a": 0.7, "b": 0.3}, found, _SHORT_OF_ROOM_TOLERANCE)

    @async_test
    async def test_a_part_of_weight_0_gets_no_calls(self) -> None:
        self.assertEqual({"a": 1.0, "b": 0.0}, await self._shares({"a": 1, "b": 0}))

    @async_test
    async def test_changed_weights_apply_to_the_next_calls(self) -> None:
        node = _SplitFixture({"a": 1, "b": 0}, full="", seed=1)
        await node.call_route()
        sent_to_a = len(node.links["a"].sent)
        self.assertEqual([], node.links["b"].sent)
        node.weights = {"a": 0, "b": 1}
        await node.call_route()
        self.assertEqual(sent_to_a, len(node.links["a"].sent))
        self.assertTrue(node.links["b"].sent)
