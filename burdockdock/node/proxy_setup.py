"""Construction of the proxy that serves a node's callers."""

import random
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.configuration.model import Snapshot
from burdockdock.configuration.workspaces import revocation
from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.verdict import Failure
from burdockdock.gate.cold_admission import ColdLimits
from burdockdock.gate.headers import CallHeaders
from burdockdock.metrics import Metrics
from burdockdock.node.rollouts import RolloutParticipant
from burdockdock.node.settings import NodeSettings
from burdockdock.protocol.calls import CallRequest
from burdockdock.proxy.authentication import identity_refusal
from burdockdock.proxy.balancer import Balancer
from burdockdock.proxy.cold_share import ColdShares
from burdockdock.proxy.context import CallContext
from burdockdock.proxy.endpoints import Endpoints
from burdockdock.proxy.forwarder import Forwarder
from burdockdock.proxy.listener import connection_bound
from burdockdock.proxy.local_link import LocalLink
from burdockdock.proxy.member_choice import ZoneCost
from burdockdock.proxy.memory_budget import MemoryBudget, budget_bytes
from burdockdock.proxy.peer_link import PeerLinks
from burdockdock.proxy.quota_client import QuotaClient
from burdockdock.proxy.shed_log import ShedLog

# Share of the fleet's retry budget for retries by this proxy. The rest is left for the
# calls that a backend server makes again while it handles a retried call: no message
# says which calls these are. A service called once by each run of another gets at most
# as many of them as the other's retries, whose budget isn't larger than its own.
_PROXY_RETRY_SHARE = 0.5


def build_endpoints(
    membership: MembershipTable,
    *,
    snapshot: Callable[[], Snapshot],
    rollouts: Callable[[], RolloutParticipant],
    rng: random.Random,
) -> Endpoints:
    """Return the endpoints of all services, weighted by the rollouts.

    :param snapshot: returns the configuration that this node applies.
    :param rollouts: returns this node's part in the rollouts, which may be built later.
    """

    def weights_of(service: str) -> dict[str, float]:
        found = snapshot().services.get(service)
        has_rollout = rollouts().view.get(service) is not None
        if not has_rollout and found is not None and found.initial_version:
            return {found.initial_version: 1.0}
        return rollouts().weights(service)

    endpoints = Endpoints(
        membership,
        weights_of=weights_of,
        rng=rng,
        new_version_of=lambda service: rollouts().new_version(service),
    )
    return endpoints


def build_context(
    settings: NodeSettings,
    *,
    links: PeerLinks,
    local_link: LocalLink,
    endpoints: Endpoints,
    membership: MembershipTable,
    snapshot: Callable[[], Snapshot],
    missing_version: Callable[[], int],
    config_refusal: Callable[[], Failure | None],
    own_service: Callable[[], str],
    quota: QuotaClient,
    cold_limits: Callable[[str], ColdLimits],
    headers: CallHeaders,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
    memory: MemoryBudget,
) -> CallContext:
    """Return the context of the caller listener, with its forwarder and balancer.

    :param local_link: way to this node's own gate.
    :param membership: reports dead nodes and the number of nodes that share the retry
        budget.
    :param snapshot: returns the configuration that this node applies.
    :param missing_version: returns the newest known configuration version if this node
        does not have it yet, otherwise 0.
    :param config_refusal: returns why calls must not be routed by that configuration.
    :param cold_limits: returns what the cold backend servers of a service take.
    :param own_service: returns the service of this node's backend server.
    :param memory: bounds what this process holds for callers.
    :param quota: admits calls within the quotas of their workspaces.
    """
    balancer = Balancer(
        availability_zone=settings.availability_zone,
        region=settings.region,
        clock=clock,
        rng=rng,
        node_id=settings.name,
        cold_shares=ColdShares(
            clock=clock,
            rng=rng,
            rate_of=lambda service: cold_limits(service).rate_per_s,
            nodes=lambda: len(membership.live()),
        ),
    )
    membership.subscribe(forget_dead_nodes(balancer))
    zone_cost = None
    if settings.zone_cost:
        zone_cost = ZoneCost(settings.zone_cost, clock=clock, metrics=metrics)
    forwarder = Forwarder(
        links=links,
        endpoints=endpoints,
        balancer=balancer,
        clock=clock,
        metrics=metrics,
        retry_budget=build_retry_budget(settings, nodes=lambda: len(membership)),
        local_link=local_link,
        signature=headers.signature,
        identity_refusal=lambda identity: identity_refusal(
            identity, snapshot(), missing_version
        ),
        zone_cost=zone_cost,
    )
    return CallContext(
        node_id=settings.name,
        availability_zone=settings.availability_zone,
        snapshot=snapshot,
        missing_version=missing_version,
        config_refusal=config_refusal,
        forwarder=forwarder,
        clock=clock,
        metrics=metrics,
        rng=rng,
        own_service=own_service,
        quota=quota,
        headers=headers,
        memory=memory,
    )


def build_memory_budget(
    settings: NodeSettings, *, clock: Clock, metrics: Metrics
) -> MemoryBudget:
    """Return the bound for what this process holds for callers and calls."""
    shed_log = ShedLog(metrics=metrics, clock=clock)
    return MemoryBudget(
        limit_bytes=budget_bytes(settings.memory_mb),
        clock=clock,
        note_shed=lambda: shed_log.note("memory"),
    )


def max_caller_connections(settings: NodeSettings) -> int:
    """Return how many connections of callers this node keeps open."""
    return connection_bound(
        max_fds=settings.max_fds, memory_bytes=budget_bytes(settings.memory_mb)
    )


def key_check(
    snapshot: Callable[[], Snapshot],
) -> Callable[[CallRequest], Failure | None]:
    """Return the gate's check of the API keys of other nodes' requests.

    Only a version newer than the one that the caller's node used can say that a key is
    not valid any more: it may be missing from an older one because it is new.

    :param snapshot: returns the configuration that this node applies.
    """

    def refusal(request: CallRequest) -> Failure | None:
        held = snapshot()
        if not 0 < request.authenticated_version < held.version:
            return None
        return revocation(
            held.workspaces, request.workspace, request.key_id, version=held.version
        )

    return refusal


def build_retry_budget(
    settings: NodeSettings, *, nodes: Callable[[], int]
) -> FleetRetryBudget:
    """Return the budget of the retries by one node's proxy.

    :param nodes: returns the number of nodes that share the fleet's budget.
    """
    return FleetRetryBudget(
        share=settings.retry_share * _PROXY_RETRY_SHARE,
        reserve=settings.retry_reserve * _PROXY_RETRY_SHARE,
        nodes=nodes,
    )


def forget_dead_nodes(balancer: Balancer) -> Callable[[Member, Member | None], None]:
    """Return a membership listener that drops the balancer's state of dead nodes."""

    def on_member_change(member: Member, _previous: Member | None) -> None:
        if member.state is MemberState.DEAD:
            balancer.forget(member.node_id)

    return on_member_change


def retire_links_to_lost_nodes(
    links: PeerLinks,
) -> Callable[[Member, Member | None], None]:
    """Return a membership listener that retires links to nodes that died or moved."""

    def on_member_change(member: Member, previous: Member | None) -> None:
        address = (member.host, member.port)
        if previous is not None and (previous.host, previous.port) != address:
            links.retire(
                previous.node_id, previous.host, previous.port, reason="member_moved"
            )
        if member.state is MemberState.DEAD:
            links.retire(member.node_id, *address, reason="member_dead")

    return on_member_change
