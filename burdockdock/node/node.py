"""A node: proxy for callers, gate of a backend server and overlay member."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from burdockdock.clock import Clock, SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer, CallResult
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.node.announcements import Announcement, BackendState
from burdockdock.node.backend_parts import build_backend_parts
from burdockdock.node.cold_servers import cold_limits_callback, suspect_cold_with_zone
from burdockdock.node.config_freshness import ConfigFreshness
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.node.draining import drain, drain_timing
from burdockdock.node.evacuations import EvacuationParts
from burdockdock.node.interface import (
    OWN_INTERFACE,
    BackendActions,
    Interface,
    serve_backend_and_readiness,
)
from burdockdock.node.notices import report_outcome
from burdockdock.node.notifier import Notifier
from burdockdock.node.operator_api import OperatorActions, serve_operators
from burdockdock.node.overlay_parts import build_overlay
from burdockdock.node.peer_server import PeerServer
from burdockdock.node.platform_setup import build_platform_components
from burdockdock.node.proxy_setup import (
    build_context,
    build_endpoints,
    build_memory_budget,
    key_check,
    max_caller_connections,
    retire_links_to_lost_nodes,
)
from burdockdock.node.quota_setup import build_quota_service
from burdockdock.node.rollouts import RolloutParticipant
from burdockdock.node.settings import NodeSettings
from burdockdock.node.status import StatusReport, report_status
from burdockdock.node.store_returns import StoreReturns
from burdockdock.node.supervise import supervise
from burdockdock.overlay.sync_server import SyncServer
from burdockdock.platform_api.client import PlatformClient
from burdockdock.protocol.handshake import PeerIdentity
from burdockdock.proxy.listener import CallerServer, serve_callers
from burdockdock.proxy.local_link import LocalLink
from burdockdock.proxy.peer_link import PeerLinks


class Node:
    """Builds the components of a node, runs them and stops them gracefully.

    ``stopping`` is set when a graceful stop is requested.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        clock: Clock | None = None,
        interface: Interface = OWN_INTERFACE,
    ) -> None:
        self._settings = settings
        self._interface = interface
        self._clock = clock or SystemClock()
        self._rng = random.Random()
        self.stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        incarnation = int(self._clock.now().timestamp() * 1000)
        self.metrics = Metrics()
        self._identity = PeerIdentity(settings.mesh, settings.name, incarnation)
        self._caller_server: CallerServer | None = None
        self._build_state(incarnation)
        self._build_overlay()
        self._build_call_path()
        self._build_control_plane()

    def stop(self) -> None:
        """Request a graceful stop."""
        self.stopping.set()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Store changed settings; most of them take effect at the next start."""
        self._settings = settings

    def _build_state(self, incarnation: int) -> None:
        settings = self._settings
        own = Member(
            node_id=settings.name,
            host=settings.peers[0],
            port=settings.peers[1],
            region=settings.region,
            availability_zone=settings.availability_zone,
            incarnation=incarnation,
        )
        self.membership = MembershipTable(own, clock=self._clock)
        self.ranking = MemberRanking(self.membership)
        self.config = ConfigState(
            settings.name, is_binding=self._interface.source.is_binding
        )
        self.records = RecordStore(accept=self._accept_record, clock=self._clock)
        self._deltas = {CONFIG_KEY: self.config.codec}
        self.freshness = ConfigFreshness(
            self.records,
            apply_timeout_s=settings.config_apply_timeout_s,
            held_version=lambda: self.config.snapshot.version,
            has_peers=lambda: len(self.membership.live()) > 1,
            ask_peers=lambda: self.detector.ping_some(),
            clock=self._clock,
            count=self.metrics.count,
        )

    def _build_overlay(self) -> None:
        settings = self._settings
        self._notifier = Notifier(settings.notify_url, rng=self._rng)
        parts = build_overlay(
            settings.mesh,
            own=self._identity,
            membership=self.membership,
            ranking=self.ranking,
            records=self.records,
            config=self.config,
            deltas=self._deltas,
            clock=self._clock,
            rng=self._rng,
            metrics=self.metrics,
            notifier=self._notifier,
        )
        self.datagrams, self.spreader, self.sync, self.detector, self.applied = parts

    def _build_call_path(self) -> None:
        self.memory = build_memory_budget(
            self._settings, clock=self._clock, metrics=self.metrics
        )
        cold_limits = cold_limits_callback(
            self._settings, snapshot=lambda: self.config.snapshot
        )
        self.gate = Gate(
            clock=self._clock,
            metrics=self.metrics,
            observe=self._on_call_result,
            headers=self._interface.headers,
            is_stopped=lambda b: self.rollouts.is_stopped(b.service, b.version),
            cold_limits=cold_limits,
            key_refusal=key_check(lambda: self.config.snapshot),
        )
        suspect_cold_with_zone(self.membership, self.gate.cold)
        self._endpoints = build_endpoints(
            self.membership,
            snapshot=lambda: self.config.snapshot,
            rollouts=lambda: self.rollouts,
            rng=self._rng,
        )
        self.quota = build_quota_service(
            self._settings.quota_bounds,
            membership=self.membership,
            ranking=self.ranking,
            datagrams=self.datagrams,
            snapshot=lambda: self.config.snapshot,
            probe_answers=lambda: self.detector.recent_answers,
            clock=self._clock,
            rng=self._rng,
            metrics=self.metrics,
        )
        self.evacuations = EvacuationParts(
            self._settings.availability_zone,
            records=self.records,
            endpoints=self._endpoints,
            gate=self.gate,
            clock=self._clock,
            metrics=self.metrics,
        )
        self.links = PeerLinks(self._identity, count=self.metrics.count)
        self.context = build_context(
            self._settings,
            links=self.links,
            local_link=LocalLink(
                self.gate, self._identity, open_account=self.memory.open
            ),
            endpoints=self._endpoints,
            membership=self.membership,
            snapshot=lambda: self.config.snapshot,
            missing_version=lambda: self.records.missing_version(CONFIG_KEY),
            config_refusal=self.freshness.refusal,
            own_service=self._own_service,
            quota=self.quota.client,
            cold_limits=cold_limits,
            headers=self._interface.headers,
            clock=self._clock,
            rng=self._rng,
            metrics=self.metrics,
            memory=self.memory,
        )
        self.membership.subscribe(retire_links_to_lost_nodes(self.links))

    def _build_control_plane(self) -> None:
        settings = self._settings
        holder = f"{settings.name}/{self._identity.incarnation}"
        self.platform = PlatformClient(
            settings.platform_url,
            name=settings.name,
            clock=self._clock,
            dialect=self._interface.dialect,
            count=self.metrics.count,
        )
        components = build_platform_components(
            self.platform,
            interface=self._interface,
            sync=self.sync,
            records=self.records,
            spread=self.spreader.broadcast_record,
            membership=self.membership,
            ranking=self.ranking,
            datagrams=self.datagrams,
            seeds=settings.seeds,
            clock=self._clock,
            rng=self._rng,
            change_own=self._change_own,
            count=self.metrics.count,
            watches_evacuations=settings.evacuation_s > 0,
        )
        self._reader, self._relay, self._relay_beats, self._bootstrap = components
        self.rollouts = RolloutParticipant(
            records=self.records,
            membership=self.membership,
            ranking=self.ranking,
            datagrams=self.datagrams,
            platform=self.platform,
            clock=self._clock,
            holder=holder,
            spread=self.spreader.broadcast_record,
            notifier=self._notifier,
            change_own=self._change_own,
            running_calls=lambda: self.gate.running,
            slots_of=self._endpoints.slots,
            order_format=self._interface.order_format,
        )
        self._backend_watch, self._departure_log = build_backend_parts(
            settings,
            gate=self.gate,
            platform=self.platform,
            clock=self._clock,
            rng=self._rng,
            change_own=self._change_own,
            on_start=self.rollouts.backend_started,
        )
        self._store_returns = StoreReturns(
            platform=self.platform,
            records=self.records,
            view=self.rollouts.view,
            spread=self.spreader.broadcast_record,
            on_return=self._on_store_return,
            rng=self._rng,
        )

    def _on_store_return(self) -> None:
        """Write again what this node wrote and still stands for."""
        self._relay.renew_roster_soon()
        self._departure_log.save_again()
        self.rollouts.store_returned()

    async def start(self) -> None:
        """Join first, then serve calls, so that none uses an old configuration."""
        settings = self._settings
        self._peer_server = PeerServer(
            own=self._identity,
            gate=self.gate,
            sync_server=SyncServer(
                membership=self.membership,
                records=self.records,
                deltas=self._deltas,
                clock=self._clock,
            ),
            clock=self._clock,
            metrics=self.metrics,
            open_account=self.memory.open,
        )
        host, port = settings.peers
        await self.datagrams.open(host, port)
        self._peer_server.listen(port, address=host, backlog=1024)
        # Listens before the join, so that announcements during the join are not lost.
        self._backend_facing_servers = serve_backend_and_readiness(
            self._interface,
            settings,
            actions=BackendActions(
                self._backend_watch.handle_announcement,
                self._backend_watch.handle_departure,
                self._departure_log.wait_saved,
            ),
            is_ready=self.is_ready,
        )
        self._run_in_background("departure_log", self._departure_log.run)
        await self._bootstrap.join()
        self.spreader.broadcast_member(self.membership.own)
        self._start_tasks()
        self._operator_server = serve_operators(
            OperatorActions(
                announce=self._announce,
                status=self._status,
                services=self._endpoints.counts,
                refresh=self._reader.refresh,
                drain=self.stop,
            ),
            self.metrics,
            host=settings.operators[0],
            port=settings.operators[1],
        )
        self._caller_server = serve_callers(
            self.context,
            host=settings.callers[0],
            port=settings.callers[1],
            max_pipelined_calls=settings.pipelined_calls,
            max_connections=max_caller_connections(settings),
        )
        log_event(
            "node.serving",
            mesh=settings.mesh,
            availability_zone=settings.availability_zone,
            config_version=self.config.snapshot.version,
        )

    def is_ready(self) -> bool:
        """Return whether this node accepts calls."""
        serving = self._caller_server is not None and not self.context.draining
        if not serving or not self.config.snapshot.version:
            return False
        return self.freshness.refusal() is None

    def _start_tasks(self) -> None:
        loops = {
            "failure_detector": self.detector.run,
            "applied_tracker": self.applied.run,
            "relay": self._relay.run,
            "relay_beats": self._relay_beats.run,
            "rejoin": self._bootstrap.run,
            "rollouts": self.rollouts.run,
            "backend_watch": self._backend_watch.run,
            "config_freshness": self.freshness.run,
            "quota": self.quota.run,
        }
        for name, loop in loops.items():
            self._run_in_background(name, loop)

    def _run_in_background(
        self, name: str, loop: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        self._tasks.append(asyncio.create_task(supervise(name, loop)))

    async def drain(self) -> None:
        """Announce that this node leaves, finish its calls, then close it."""
        self._change_own(leaving=True)
        await drain(
            self.context,
            self.gate,
            self._caller_server,
            finish=self._peer_server.finish,
            timing=drain_timing(self._settings),
            clock=self._clock,
        )
        await self.close()
        log_event("node.stopped")

    async def close(self) -> None:
        """Close all connections immediately, without draining."""
        self._operator_server.stop()
        for server in self._backend_facing_servers:
            server.stop()
        await self._caller_server.close_all_connections()
        for task in self._tasks:
            task.cancel()
        self.rollouts.close()
        self._store_returns.close()
        self._notifier.close()
        self.evacuations.close()
        self.platform.close()
        self.sync.close()
        self.links.close()
        self._peer_server.close()
        self.datagrams.close()

    def _announce(self, backend: BackendServer, draining: bool) -> None:
        """Handle an announcement received at the operators' address."""
        state = BackendState.DRAINING if draining else BackendState.READY
        self._backend_watch.handle_announcement(Announcement(backend, state))

    def _own_service(self) -> str:
        """Return the local service, from the settings even before it is announced."""
        return self._settings.backend_service or self.membership.own.service

    def _change_own(self, **changes: object) -> None:
        member = self.membership.update_own(**changes)
        self.spreader.broadcast_member(member)

    def _accept_record(self, record: Record) -> bool:
        """Return whether a record may be stored; apply a new configuration."""
        if record.key != CONFIG_KEY:
            held_version = self.records.held_version(record.key)
            return self.rollouts.view.accepts(record, held_version)
        workspaces = self.config.snapshot.workspaces
        accepted = self.config.accept(record)
        if self.config.snapshot.workspaces is not workspaces:
            self.gate.recheck_keys()
        self.applied.wake()
        told_s = self.records.told_s(CONFIG_KEY, record.version)
        waited_s = 0.0 if told_s is None else self._clock.monotonic() - told_s
        report_outcome(
            self.config,
            record.version,
            accepted=accepted,
            waited_s=waited_s,
            count=self.metrics.count,
        )
        return accepted

    def _on_call_result(self, result: CallResult) -> None:
        backend = self.gate.backend
        if backend is not None:
            cold = self.gate.cold.is_warming_up
            self.rollouts.observe(result, backend, cold=cold)

    async def _status(self) -> StatusReport:
        return await report_status(
            self.membership,
            config_version=self.config.snapshot.version,
            unused_sections=self.config.unused,
            is_relay=self._relay.is_relay,
            platform=self.platform,
            applied=self.applied,
            rollouts=self.rollouts.view,
            evacuated_zones=self.evacuations.zones,
            datagrams=self.datagrams,
            sync=self.sync,
            server=self._peer_server,
        )
