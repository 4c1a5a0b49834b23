"""A node's part in rollouts: evidence from its gate, and ownership."""

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
from burdockdock.rollout.owner import (
    OwnerDependencies,
    RolloutOwners,
    RolloutView,
    candidates,
    is_candidate,
)

_SEND_INTERVAL_S = 0.25
_ROWS_PER_MESSAGE = 8
# Where a backend server does not tell how long it is slow after its start.
_UNKNOWN_COLD_S = 3.0


class RolloutPart:
    """Sends this gate's results to the candidates for owner, and may be one.

    :param change_own: changes this node's own entry in the membership.
    :param running: returns how many calls the gate has.
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
        running: Callable[[], int],
        orders: OrderFormat | None = None,
    ) -> None:
        self._change_own = change_own
        self._running = running
        self._membership = membership
        self._ranking = ranking
        self._datagrams = datagrams
        self._clock = clock
        self._collector = EvidenceCollector()
        self._warm_at_s = clock.monotonic() + _UNKNOWN_COLD_S
        self._notifier = notifier
        self.view = RolloutView(records)
        self._book = OrderView(records)
        self._clerk = None
        if orders is not None:
            self._clerk = OrderProcessor(
                platform=platform,
                order_view=self._book,
                order_format=orders,
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
                notify=self._tell_end if self._has_listeners else None,
            )
        )
        datagrams.on("evidence", self._on_evidence)

    async def run(self) -> None:
        """Send evidence and own rollouts, for ever."""
        tasks = [asyncio.create_task(supervise("owners", self._owners.run))]
        if self._clerk is not None:
            tasks.append(asyncio.create_task(supervise("orders", self._clerk.run)))
        try:
            while True:
                await sleep_to_tick(_SEND_INTERVAL_S)
                self._send_evidence()
                self._tell_stopped()
        finally:
            for task in tasks:
                task.cancel()

    def close(self) -> None:
        """Stop owning rollouts."""
        self._owners.close()

    def weights(self, service: str, slots: Mapping[str, int]) -> dict[str, float]:
        """Return the traffic weights of a service's versions.

        :param slots: calls that the members of each version run at a time, of those
            members that take calls.
        """
        weights = self.view.weights(service)
        if weights:
            return weights
        order = self._book.get(service)
        ordered = order.to_version if order is not None and order.open else ""
        return default_weights(slots, ordered_version=ordered)

    def new_version(self, service: str) -> str:
        """Return the version that a service is being moved to, empty without one."""
        rollout = self.view.get(service)
        return "" if rollout is None or rollout.phase.final else rollout.to_version

    def is_stopped(self, service: str, version: str) -> bool:
        """Tell whether a rollout has taken all calls from a version."""
        weights = self.view.weights(service)
        return bool(weights) and not weights.get(version)

    def backend_started(self, cold_s: float | None) -> None:
        """Note how long the backend server is slow from now on, if it told that."""
        wait_s = _UNKNOWN_COLD_S if cold_s is None else cold_s
        self._warm_at_s = self._clock.monotonic() + wait_s

    def observe(self, result: CallResult, backend: BackendServer) -> None:
        """Take in one result of the gate, if its service is being moved."""
        rollout = self.view.get(backend.service)
        if rollout is None or rollout.phase.final:
            return
        cold = self._clock.monotonic() < self._warm_at_s
        self._collector.add(result, version=backend.version, cold=cold)

    @property
    def _has_listeners(self) -> bool:
        return self._notifier.enabled or self._clerk is not None

    def _is_candidate(self, service: str) -> bool:
        return is_candidate(service, self._membership, self._ranking)

    async def _tell_end(self, rollout: Rollout) -> bool:
        """Tell the operators how a rollout ended; return whether all know."""
        if self._clerk is not None and not await self._clerk.report_outcome(rollout):
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
        if not rows:
            return
        items = list(rows.items())
        for start in range(0, len(items), _ROWS_PER_MESSAGE):
            self._send_rows(service, dict(items[start : start + _ROWS_PER_MESSAGE]))

    def _tell_stopped(self) -> None:
        """Tell when the version beside this node takes no calls and none runs."""
        own = self._membership.own
        refused = self.is_stopped(own.service, own.service_version)
        stopped = refused and not self._running()
        if stopped != own.stopped:
            self._change_own(stopped=stopped)

    def _send_rows(self, service: str, rows: dict[EvidenceKey, EvidenceRow]) -> None:
        own_id = self._membership.own.node_id
        for member in candidates(self._ranking, service):
            if member.node_id == own_id:
                self._owners.receive(service, rows)
                continue
            self._datagrams.send(
                (member.host, member.port),
                "evidence",
                nodeId=own_id,
                service=service,
                rows=pack_rows(rows),
            )

    def _on_evidence(self, evidence: Message, address: Address) -> None:
        self._owners.receive(evidence.service, unpack_rows(evidence.rows))
