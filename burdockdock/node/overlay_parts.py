"""Composition of a node's part in the overlay."""

import random
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import RecordStore
from burdockdock.metrics import Metrics
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.node.notices import tell_in_force, tell_late
from burdockdock.node.notifier import Notifier
from burdockdock.overlay.applied import AppliedTracker
from burdockdock.overlay.datagrams import Datagrams
from burdockdock.overlay.failure_detector import FailureDetector
from burdockdock.overlay.spread import DeltaCodec, Spreader
from burdockdock.overlay.sync import SyncClient
from burdockdock.protocol.handshake import PeerIdentity


class OverlayParts(NamedTuple):
    """The parts that speak with other nodes about members and records."""

    datagrams: Datagrams
    spreader: Spreader
    sync: SyncClient
    detector: FailureDetector
    applied: AppliedTracker


def build_overlay(
    mesh: str,
    *,
    own: PeerIdentity,
    membership: MembershipTable,
    ranking: MemberRanking,
    records: RecordStore,
    config: ConfigState,
    deltas: dict[str, DeltaCodec],
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
    notifier: Notifier,
) -> OverlayParts:
    """Build the parts and connect them.

    :param deltas: how the records under some keys are sent.
    """
    datagrams = Datagrams(mesh, count=metrics.count)
    sync = SyncClient(
        own=own,
        membership=membership,
        records=records,
        deltas=deltas,
        on_new_record=lambda record, before: spreader.forward_record(
            record, base_version=before
        ),
        clock=clock,
        rng=rng,
        head_key=CONFIG_KEY,
    )
    spreader = Spreader(
        membership=membership,
        ranking=ranking,
        records=records,
        datagrams=datagrams,
        deltas=deltas,
        pull=sync.pull_from,
    )
    detector = FailureDetector(
        membership=membership,
        records=records,
        datagrams=datagrams,
        clock=clock,
        rng=rng,
        on_digest=sync.compare,
        spread=spreader.broadcast_member,
        head_key=CONFIG_KEY,
    )
    records.subscribe(lambda _: detector.schedule_digest_pings())
    applied = AppliedTracker(
        membership=membership,
        ranking=ranking,
        datagrams=datagrams,
        clock=clock,
        own_state=config.applied_state,
        on_in_force=tell_in_force(notifier),
        on_late=tell_late(notifier),
    )
    return OverlayParts(datagrams, spreader, sync, detector, applied)
