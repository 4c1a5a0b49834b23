"""Construction of the quotas of a node."""

import random
from collections.abc import Callable, Sequence

from burdockdock.clock import Clock
from burdockdock.configuration.model import Snapshot
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.quota import QuotaBounds, QuotaLimit
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.metrics import Metrics
from burdockdock.node.quota_service import QuotaDatagrams, QuotaService


def build_quota_service(
    bounds: QuotaBounds,
    *,
    membership: MembershipTable,
    ranking: MemberRanking,
    datagrams: QuotaDatagrams,
    snapshot: Callable[[], Snapshot],
    probe_answers: Callable[[], Sequence[bool]],
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> QuotaService:
    """Return the quotas of the workspaces in the configuration.

    :param snapshot: returns the configuration that this node applies.
    :param probe_answers: returns whether this node's latest probes were answered.
    """

    def limit_of(workspace: str) -> QuotaLimit | None:
        found = snapshot().workspaces.by_name.get(workspace)
        if found is None or found.rate_per_s <= 0:
            return None
        return QuotaLimit(found.rate_per_s, found.burst)

    return QuotaService(
        membership=membership,
        ranking=ranking,
        datagrams=datagrams,
        limit_of=limit_of,
        probe_answers=probe_answers,
        bounds=bounds,
        clock=clock,
        rng=rng,
        count=metrics.count,
    )
