"""Composition of a node's side towards callers."""

import random
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.configuration.model import Snapshot
from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.gate.headers import CallHeaders
from burdockdock.metrics import Metrics
from burdockdock.node.settings import NodeSettings
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.context import CallContext
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.forwarder import Forwarder
from burdockdock.proxy.peer_link import PeerLinks

# The rest is for the calls that a repeated call's backend server makes again.
_RETRY_PART = 0.75


def build_context(
    settings: NodeSettings,
    *,
    links: PeerLinks,
    endpoints: Endpoints,
    membership: MembershipTable,
    snapshot: Callable[[], Snapshot],
    missing_version: Callable[[], int],
    own_service: Callable[[], str],
    headers: CallHeaders,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> CallContext:
    """Return what the listener needs, down to the links to other nodes.

    :param membership: tells which nodes are gone, and how many share a retry budget.
    :param snapshot: returns the configuration in force here.
    :param missing_version: returns the version that this node misses, 0 for none.
    :param own_service: returns the service beside this node.
    """
    balancer = Balancer(
        availability_zone=settings.availability_zone,
        region=settings.region,
        clock=clock,
        rng=rng,
        node_id=settings.name,
    )
    membership.subscribe(forget_dead(balancer))
    forwarder = Forwarder(
        links=links,
        endpoints=endpoints,
        balancer=balancer,
        clock=clock,
        metrics=metrics,
        retry_budget=FleetRetryBudget(
            share=settings.retry_share * _RETRY_PART,
            reserve=settings.retry_reserve * _RETRY_PART,
            nodes=lambda: len(membership),
        ),
    )
    return CallContext(
        node_id=settings.name,
        availability_zone=settings.availability_zone,
        snapshot=snapshot,
        missing_version=missing_version,
        forwarder=forwarder,
        clock=clock,
        metrics=metrics,
        rng=rng,
        own_service=own_service,
        headers=headers,
    )


def forget_dead(balancer: Balancer) -> Callable[[Member, Member | None], None]:
    """Return a listener of the membership that drops what is known of the dead."""

    def on_member(member: Member, _known: Member | None) -> None:
        if member.state is MemberState.DEAD:
            balancer.forget(member.node_id)

    return on_member
