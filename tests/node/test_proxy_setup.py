"""Tests of the construction of the proxy of a node."""

import random
from typing import NamedTuple

import testtools

from burdockdock.clock import ManualClock
from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.workspaces import key_digest, key_id
from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.node.proxy_setup import (
    build_retry_budget,
    forget_dead_nodes,
    key_check,
)
from burdockdock.node.settings import NodeSettings
from burdockdock.protocol.calls import CallRequest, GateResults
from burdockdock.proxy.balancer import Balancer

_SETTINGS = NodeSettings(
    name="a",
    mesh="m",
    region="r",
    availability_zone="z",
    callers=("127.0.0.1", 1),
    peers=("127.0.0.1", 2),
    operators=("127.0.0.1", 3),
    platform_url="",
    retry_share=0.2,
    retry_reserve=60.0,
)


class _Arrivals(NamedTuple):
    """Arrivals at one service.

    :param repeats: those beyond the first of each request, and the calls of runs that
        were repeats.
    """

    requests: int
    repeats: int


def _play_chain(
    budgets: list[FleetRetryBudget], requests: int
) -> tuple[_Arrivals, _Arrivals]:
    """Let every answer be lost in a chain of two services.

    Each run of the first service calls the second once. Every request is sent once more
    while the budget allows it.
    """
    first_repeats = second_requests = second_repeats = 0
    for i in range(requests):
        budget = budgets[i % len(budgets)]
        budget.record_call("first")
        runs = 1 + budget.try_spend("first")
        first_repeats += runs - 1
        second_repeats += runs - 1
        for _ in range(runs):
            second_requests += 1
            budget.record_call("second")
            second_repeats += budget.try_spend("second")
    return (
        _Arrivals(requests, first_repeats),
        _Arrivals(second_requests, second_repeats),
    )


class RetryBudgetTest(testtools.TestCase):
    """Tests that repeated arrivals stay within the settings."""

    def test_chain_of_two_services_stays_within_the_settings(self) -> None:
        # Guards against calls of repeated runs beyond what the settings allow.
        # With more nodes, each of them still has one retry saved up.
        for nodes in (1, 10, 30):
            for requests in (60, 600, 6000):
                budgets = [
                    build_retry_budget(_SETTINGS, nodes=lambda n=nodes: n)
                    for _ in range(nodes)
                ]
                for service in _play_chain(budgets, requests):
                    allowed = _SETTINGS.retry_share * service.requests
                    allowed += _SETTINGS.retry_reserve
                    self.assertLessEqual(service.repeats, allowed, (nodes, requests))


class ForgetDeadNodesTest(testtools.TestCase):
    """Tests that the balancer drops its state of dead nodes."""

    def test_forgets_dead_but_not_suspected_nodes(self) -> None:
        clock = ManualClock()
        own = Member("own", "h", 1, "r", "z", 1)
        table = MembershipTable(own, clock=clock)
        balancer = Balancer(
            availability_zone="z", region="r", clock=clock, rng=random.Random(1)
        )
        table.subscribe(forget_dead_nodes(balancer))
        quick, slow = (own._replace(node_id=name) for name in ("quick", "slow"))
        for member, service_s in ((quick, 0.1), (slow, 0.4)):
            table.merge(member)
            balancer.record_gate_state(member.node_id, 0, GateResults(service_s))

        def picks() -> set[Member]:
            return {balancer.pick([quick, slow]) for _ in range(50)}

        table.suspect("slow")
        self.assertEqual({quick}, picks())
        table.confirm_dead("slow", incarnation=1)
        self.assertEqual({quick, slow}, picks())


class KeyCheckTest(testtools.TestCase):
    """Tests of the gate's check of API keys."""

    def _reason(self, *, by: int, held: int, keys: bytes, name: str = "acme") -> str:
        """Return why a request with key ``a`` of workspace acme is refused.

        :param by: version by which the caller's node authenticated it.
        :param held: version of the gate's node.
        :param keys: keys that the workspace has in it.
        """
        digests = ",".join(key_digest(bytes([key])) for key in keys)
        section = {f"workspace {name}": {"key_digests": digests}}
        snapshot = build_snapshot(section, version=held)
        request = CallRequest(
            "id", "acme", "c", "r", "work", 500, True, "GET", "/", ()
        )._replace(key_id=key_id(key_digest(b"a")), authenticated_version=by)
        refusal = key_check(lambda: snapshot)(request)
        return "" if refusal is None else refusal.reason

    def test_newer_version_without_the_key_revokes_it(self) -> None:
        self.assertEqual("", self._reason(by=3, held=4, keys=b"ab"))
        self.assertEqual("key_revoked", self._reason(by=3, held=4, keys=b"b"))
        self.assertEqual(
            "key_revoked", self._reason(by=3, held=4, keys=b"a", name="other")
        )

    def test_version_that_may_not_have_the_key_yet_revokes_nothing(self) -> None:
        # Guards against refusals of new keys by gates that lag behind.
        for held in (2, 3):
            self.assertEqual("", self._reason(by=3, held=held, keys=b""))

    def test_request_without_a_workspace_is_not_checked(self) -> None:
        self.assertEqual("", self._reason(by=0, held=4, keys=b""))
