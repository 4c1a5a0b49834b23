"""Participation of a node in rollouts: evidence from its gate, and ownership."""

import asyncio
from collections.abc import Callable, Mapping

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.gate.model import BackendServer, CallResult
from burdockdock.node.notifier import Notifier
from burdockdock.node.supervise import supervise
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.platform_api.client import PlatformClient
from burdockdock.protocol import Message
from burdockdock.rollout.default_weights import default_weights
from burdockdock.rollout.evidence import (
    EvidenceCollector,
    EvidenceKey,
    EvidenceRow,
    pack_rows,
    unpack_rows,
)
from burdockdock.rollout.model import Rollout
from burdockdock.rollout.orders import OrderFormat, OrderProcessor, OrderView
from burdockdock.rollout.owner import OwnerDependencies
from burdockdock.rollout.owners import RolloutOwners, candidates, is_candidate
from burdockdock.rollout.view import RolloutView

_EVIDENCE_SEND_INTERVAL_S = 0.25
_MAX_ROWS_PER_MESSAGE = 8
# Assumed if a backend server does not report the remaining time of its warm-up.
_DEFAULT_WARM_UP_S = 3.0


class RolloutParticipant:
    """Sends the gate's results to the owner candidates; owns rollouts if it is one.

    :param holder: identifies this node as the holder of a rollout's lease.
    :param spread: stores a record and broadcasts it to every node.
    :param change_own: updates and broadcasts this node's own membership entry.
    :param running_calls: returns how many calls the gate is running.
    :param slots_of: returns the total slots of each version of a service, of the
        members that accept calls.
    :param order_format: format of rollout orders in the platform; None if operators
        start rollouts on the command line.
    """

    def __init__(
        self,
        *,
        records: RecordStore,
        membership: MembershipTable,
        ranking: MemberRanking,
        datagrams: Datagrams,
        platform: PlatformClient,
        clock: Clock,
        holder: str,
        spread: Callable[[Record], None],
        notifier: Notifier,
        change_own: Callable[..., None],
        running_calls: Callable[[], int],
        slots_of: Callable[[str], Mapping[str, int]],
        order_format: OrderFormat | None = None,
    ) -> None:
        self._change_own = change_own
        self._running_calls = running_calls
        self._slots_of = slots_of
        self._membership = membership
        self._ranking = ranking
        self._datagrams = datagrams
        self._clock = clock
        self._collector = EvidenceCollector()
        self._warm_up_end_s = clock.monotonic() + _DEFAULT_WARM_UP_S
        self._notifier = notifier
        self.view = RolloutView(records)
        self._order_view = OrderView(records)
        self._order_processor = None
        if order_format is not None:
            self._order_processor = OrderProcessor(
                platform=platform,
                order_view=self._order_view,
                order_format=order_format,
                membership=membership,
                clock=clock,
                may_act=self._is_candidate,
                rollout_of=self.view.get,
                spread=spread,
            )
        self._owners = RolloutOwners(
            OwnerDependencies(
                view=self.view,
                membership=membership,
                ranking=ranking,
                platform=platform,
                clock=clock,
                holder=holder,
                spread=spread,
                notify=self._report_outcome if self._reports_outcomes else None,
            )
        )
        datagrams.on("evidence", self._on_evidence)

    async def run(self) -> None:
        """Send evidence and own rollouts; runs until cancelled."""
        tasks = [asyncio.create_task(supervise("owners", self._owners.run))]
        if self._order_processor is not None:
            tasks.append(
                asyncio.create_task(supervise("orders", self._order_processor.run))
            )
        try:
            while True:
                await sleep_to_tick(_EVIDENCE_SEND_INTERVAL_S)
                self._send_evidence()
                self._update_stopped()
        finally:
            for task in tasks:
                task.cancel()

    def store_returned(self) -> None:
        """Note that the platform returned from an older copy."""
        if self._order_processor is not None:
            self._order_processor.store_returned()

    def close(self) -> None:
        """Stop owning rollouts."""
        self._owners.close()

    def weights(self, service: str) -> dict[str, float]:
        """Return the traffic weights of a service's versions."""
        slots = self._slots_of(service)
        standing = self.view.standing(service)
        if standing is not None:
            return standing.weights(slots)
        order = self._order_view.get(service)
        ordered = order.to_version if order is not None and order.open else ""
        return default_weights(slots, ordered_version=ordered)

    def new_version(self, service: str) -> str:
        """Return the target version of a service's active rollout, empty if none."""
        rollout = self.view.get(service)
        return "" if rollout is None or rollout.phase.final else rollout.to_version

    def is_stopped(self, service: str, version: str) -> bool:
        """Return whether a rollout has removed all traffic from a version."""
        weights = self.view.weights(service, self._slots_of(service))
        return bool(weights) and not weights.get(version)

    def backend_started(self, cold_s: float | None) -> None:
        """Restart the warm-up of the backend server.

        :param cold_s: its remaining seconds, None if unknown.
        """
        wait_s = _DEFAULT_WARM_UP_S if cold_s is None else cold_s
        self._warm_up_end_s = self._clock.monotonic() + wait_s

    def observe(
        self, result: CallResult, backend: BackendServer, *, cold: bool = False
    ) -> None:
        """Collect a call result as evidence if the service has an active rollout.

        :param cold: whether the backend server says that it is warming up.
        """
        rollout = self.view.get(backend.service)
        if rollout is None or rollout.phase.final:
            return
        cold |= self._clock.monotonic() < self._warm_up_end_s
        self._collector.add(result, version=backend.version, cold=cold)

    @property
    def _reports_outcomes(self) -> bool:
        return self._notifier.enabled or self._order_processor is not None

    def _is_candidate(self, service: str) -> bool:
        return is_candidate(service, self._membership, self._ranking)

    async def _report_outcome(self, rollout: Rollout) -> bool:
        """Report a rollout's outcome; return whether nothing is left to report."""
        if (
            self._order_processor is not None
            and not await self._order_processor.report_outcome(rollout)
        ):
            return False
        if not self._notifier.enabled:
            return True
        return await self._notifier.post(
            f"{rollout.rollout_id}/{rollout.phase.value}",
            "move",
            service=rollout.service,
            from_version=rollout.from_version,
            to_version=rollout.to_version,
            outcome=rollout.phase.value,
            reason=rollout.history[-1].reason,
        )

    def _send_evidence(self) -> None:
        rows = self._collector.take()
        service = self._membership.own.service
        if not rows and not self._owes_sign(service):
            return
        items = list(rows.items())
        for start in range(0, max(1, len(items)), _MAX_ROWS_PER_MESSAGE):
            self._send_rows(service, dict(items[start : start + _MAX_ROWS_PER_MESSAGE]))

    def _owes_sign(self, service: str) -> bool:
        """Return whether the candidates are waiting to hear from this node's gate."""
        rollout = self.view.get(service)
        is_open = rollout is not None and not rollout.phase.final
        return is_open and self._membership.own.ready

    def _update_stopped(self) -> None:
        """Publish whether the local version has no traffic and no running calls."""
        own = self._membership.own
        refused = self.is_stopped(own.service, own.service_version)
        stopped = refused and not self._running_calls()
        if stopped != own.stopped:
            self._change_own(stopped=stopped)

    def _send_rows(self, service: str, rows: dict[EvidenceKey, EvidenceRow]) -> None:
        own_id = self._membership.own.node_id
        for member in candidates(self._ranking, service):
            if member.node_id == own_id:
                self._owners.receive(service, own_id, rows)
                continue
            self._datagrams.send(
                (member.host, member.port),
                "evidence",
                nodeId=own_id,
                service=service,
                rows=pack_rows(rows),
            )

    def _on_evidence(self, evidence: Message, address: Address) -> None:
        rows = unpack_rows(evidence.rows)
        self._owners.receive(evidence.service, evidence.nodeId, rows)
