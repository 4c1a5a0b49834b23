"""Builds and connects the overlay components of a node."""

import random
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import RecordStore
from burdockdock.metrics import Metrics
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.node.notices import in_force_callback, late_callback
from burdockdock.node.notifier import Notifier
from burdockdock.overlay.applied import AppliedTracker
from burdockdock.overlay.datagrams import Datagrams
from burdockdock.overlay.failure_detector import FailureDetector
from burdockdock.overlay.pings import PeerDigest
from burdockdock.overlay.repeats import RecordRepeater
from burdockdock.overlay.spread import DeltaCodec, Spreader
from burdockdock.overlay.sync import SyncClient
from burdockdock.protocol.handshake import PeerIdentity


class OverlayParts(NamedTuple):
    """The components that exchange members and records with other nodes."""

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
    """Build the overlay components and connect them.

    :param deltas: delta codecs by record key.
    """
    datagrams = Datagrams(mesh, count=metrics.count)
    sync = SyncClient(
        own=own,
        membership=membership,
        records=records,
        deltas=deltas,
        on_new_record=lambda record, previous_version: spreader.forward_record(
            record, base_version=previous_version
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
        fetch=sync.fetch_from,
    )
    repeater = RecordRepeater(
        membership=membership,
        ranking=ranking,
        records=records,
        clock=clock,
        rng=rng,
        send=spreader.send_record,
        head_key=CONFIG_KEY,
    )
    detector = FailureDetector(
        membership=membership,
        records=records,
        datagrams=datagrams,
        clock=clock,
        rng=rng,
        on_digest=on_digest_callback(sync, repeater),
        spread=spreader.broadcast_member,
        head_key=CONFIG_KEY,
    )
    records.subscribe(lambda _: detector.schedule_digest_pings())
    records.subscribe(repeater.schedule)
    applied = AppliedTracker(
        membership=membership,
        ranking=ranking,
        datagrams=datagrams,
        clock=clock,
        own_state=config.applied_state,
        on_in_force=in_force_callback(notifier),
        on_late=late_callback(notifier),
    )
    return OverlayParts(datagrams, spreader, sync, detector, applied)


def on_digest_callback(
    sync: SyncClient, repeater: RecordRepeater
) -> Callable[[PeerDigest], None]:
    """Return what a node does about the state that a peer reported."""

    def on_digest(digest: PeerDigest) -> None:
        sync.compare(digest)
        repeater.answer(digest)

    return on_digest
