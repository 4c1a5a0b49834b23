"""Construction of the components that use the platform."""

import random
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.node.bootstrap import Bootstrap
from burdockdock.node.interface import Interface
from burdockdock.node.platform_reader import PlatformReader
from burdockdock.node.relay import Relay
from burdockdock.node.relay_beats import RelayBeats
from burdockdock.node.roster import Roster
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.overlay.sync import SyncClient
from burdockdock.platform_api.client import PlatformClient


class PlatformComponents(NamedTuple):
    """Components that read from the platform and discover other nodes there."""

    reader: PlatformReader
    relay: Relay
    beats: RelayBeats
    bootstrap: Bootstrap


def build_platform_components(
    platform: PlatformClient,
    *,
    interface: Interface,
    sync: SyncClient,
    records: RecordStore,
    spread: Callable[[Record], None],
    membership: MembershipTable,
    ranking: MemberRanking,
    datagrams: Datagrams,
    seeds: tuple[Address, ...],
    clock: Clock,
    rng: random.Random,
    change_own: Callable[..., None],
    count: Callable[[str], None],
    watches_evacuations: bool = False,
) -> PlatformComponents:
    """Build the components and connect them.

    :param spread: stores a record and broadcasts it to every node.
    :param change_own: updates and broadcasts this node's own membership entry.
    :param count: increments a counter, given its name.
    :param watches_evacuations: whether the deployment evacuates availability zones.
    """
    reader = PlatformReader(
        platform,
        source=interface.source,
        read_order=(
            None if interface.order_format is None else interface.order_format.read
        ),
        records=records,
        spread=spread,
        watches_evacuations=watches_evacuations,
    )
    roster = Roster(platform, own=membership.own, rng=rng)
    beats = RelayBeats(
        membership=membership,
        ranking=ranking,
        datagrams=datagrams,
        clock=clock,
        has_contact=lambda: relay.has_contact,
        on_change=lambda: relay.check_role_soon(),
        count=count,
    )
    relay = Relay(
        platform=platform,
        reader=reader,
        roster=roster,
        membership=membership,
        ranking=ranking,
        clock=clock,
        rng=rng,
        change_own=change_own,
        stands_in=lambda: beats.stands_in,
    )
    bootstrap = Bootstrap(
        roster=roster,
        reader=reader,
        sync=sync,
        membership=membership,
        seeds=seeds,
        rng=rng,
    )
    return PlatformComponents(reader, relay, beats, bootstrap)
