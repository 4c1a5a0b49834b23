"""Rollouts that operators order by writing an object to the platform."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from burdockdock.clock import Clock, sleep_to_tick
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.platform_api import PlatformClient, PlatformObject
from burdockdock.rollout.model import Phase, Rollout
from burdockdock.rollout.start import ChangeFailure, read_rollout, start_rollout
from burdockdock.rollout.view import is_behind

ORDER_PREFIX = "orders/"
_SCAN_INTERVAL_S = 0.25
# The outcome must be written to the platform and read by the operator before the
# order's duration is over, so the rollout's deadline is earlier by this margin.
_REPORT_MARGIN_S = 2.75
# Calls may still be running on the old version after it gets no new ones, and operators
# may stop its backend servers as soon as the outcome is reported. A node that doesn't
# report itself idle delays the outcome by at most this time, which leaves enough to
# write it.
_MAX_IDLE_WAIT_S = 1.75
_PLATFORM_RETRY_DELAY_S = 1.0
# Operators may write their orders again this long after the platform returned from an
# older copy; one whose rollout ended meanwhile gets the outcome that it had.
_RETURN_MEMORY_S = 30.0


class Order(NamedTuple):
    """An operator's order to move a service to a version.

    :param duration_s: seconds from the order within which the outcome must be reported.
    :param reported: the outcome written in the platform, empty while there is none.
    :param withdrawn: whether the operator deleted the order.
    """

    service: str
    to_version: str
    duration_s: float
    reported: str = ""
    withdrawn: bool = False

    @property
    def open(self) -> bool:
        """Whether its outcome is still to be reported."""
        return not self.withdrawn and not self.reported

    def encode(self) -> bytes:
        """Return the order as JSON bytes."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()


def decode_order(data: bytes) -> Order:
    """Decode an order from JSON bytes.

    :raises ValueError: if the bytes are not a valid order.
    """
    try:
        return Order(**json.loads(data))
    except TypeError as error:
        raise ValueError(str(error)) from None


OrderReader = Callable[[PlatformObject], Order | Failure]


class OrderFormat(NamedTuple):
    """The format of orders in the platform.

    :param read: parses an order from its object.
    :param status: builds the status object that reports a rollout's phase.
    """

    read: OrderReader
    status: Callable[[Rollout], dict[str, Any]]


class OrderView:
    """The newest order of each service, read from the records."""

    def __init__(self, records: RecordStore) -> None:
        self._orders: dict[str, Order] = {}
        records.subscribe(self._on_record)

    def get(self, service: str) -> Order | None:
        """Return the newest order for a service, None if there is none."""
        return self._orders.get(service)

    def all(self) -> list[Order]:
        """Return the newest order of every service."""
        return list(self._orders.values())

    def _on_record(self, record: Record) -> None:
        if record.key.startswith(ORDER_PREFIX):
            order = decode_order(record.value)
            self._orders[order.service] = order


class OrderProcessor:
    """Starts rollouts for open orders, and reports their outcomes.

    :param may_act: returns whether this node may process a service's orders.
    :param rollout_of: returns the newest rollout of a service known to this node.
    :param spread: stores a record and broadcasts it to every node.
    """

    def __init__(
        self,
        *,
        platform: PlatformClient,
        order_view: OrderView,
        order_format: OrderFormat,
        membership: MembershipTable,
        clock: Clock,
        may_act: Callable[[str], bool],
        rollout_of: Callable[[str], Rollout | None],
        spread: Callable[[Record], None],
    ) -> None:
        self._platform = platform
        self._order_view = order_view
        self._order_format = order_format
        self._membership = membership
        self._clock = clock
        self._may_act = may_act
        self._rollout_of = rollout_of
        self._spread = spread
        self._done_at_s: dict[str, float] = {}
        self._returned_s = float("-inf")

    async def run(self) -> None:
        """Start a rollout for each open order, until cancelled."""
        while True:
            for order in self._order_view.all():
                if order.open and self._may_act(order.service):
                    await self._process(order)
            await sleep_to_tick(_SCAN_INTERVAL_S)

    def store_returned(self) -> None:
        """Note that the platform returned from an older copy without late outcomes."""
        self._returned_s = self._clock.monotonic()

    async def report_outcome(self, rollout: Rollout) -> bool:
        """Write a rollout's outcome to the status of its order.

        :returns: whether nothing is left to report: the order has an outcome, or the
            order is gone or replaced.
        """
        order = self._order_view.get(rollout.service)
        if order is None or order.withdrawn or order.to_version != rollout.to_version:
            return True
        if rollout.phase is Phase.DONE and self._may_have_old_calls(rollout):
            return False
        return await self._write_status(rollout)

    def _may_have_old_calls(self, rollout: Rollout) -> bool:
        """Return whether calls may still be running on the old version."""
        now_s = self._clock.monotonic()
        done_at_s = self._done_at_s.setdefault(rollout.rollout_id, now_s)
        waited_s = now_s - done_at_s
        busy = [
            m.node_id
            for m in self._membership.live()
            if m.service == rollout.service
            and m.service_version == rollout.from_version
            and not m.stopped
        ]
        if busy and waited_s < _MAX_IDLE_WAIT_S:
            return True
        log_event(
            "order.old_version_idle",
            service=rollout.service,
            version=rollout.from_version,
            waited_s=waited_s,
            busy_nodes=len(busy),
            first_busy_node=busy[0] if busy else "",
        )
        return False

    async def _process(self, order: Order) -> None:
        """Start a rollout unless the order has one that is running or unreported."""
        if self._is_in_progress(self._rollout_of(order.service), order):
            return
        found = await read_rollout(self._platform, order.service)
        if isinstance(found, Failure):
            await asyncio.sleep(_PLATFORM_RETRY_DELAY_S)
            return
        rollout = found.rollout
        if self._is_in_progress(rollout, order):
            stored = found.stored
            self._spread(Record(stored.key, stored.record_version, rollout.encode()))
        elif self._was_lost(rollout, order):
            log_event("order.waiting", service=order.service, reason="store_returned")
        elif self._has_ended(order):
            await self._write_status(self._rollout_of(order.service))
        elif await self._is_still_open(order):
            await self._start(order, rollout)

    def _was_lost(self, rollout: Rollout | None, order: Order) -> bool:
        """Return whether the platform lost what this node knows of the rollout.

        It is written again first, by the nodes that noticed that the platform returned
        from an older copy.
        """
        known = self._rollout_of(order.service)
        if known is None or not self._returned_lately():
            return False
        return rollout is None or is_behind(rollout, known)

    def _has_ended(self, order: Order) -> bool:
        """Return whether an order has an outcome that the platform lost."""
        known = self._rollout_of(order.service)
        if known is None or known.to_version != order.to_version:
            return False
        return known.phase.final and self._returned_lately()

    def _returned_lately(self) -> bool:
        return self._clock.monotonic() - self._returned_s < _RETURN_MEMORY_S

    def _is_in_progress(self, rollout: Rollout | None, order: Order) -> bool:
        if rollout is None or rollout.to_version != order.to_version:
            return False
        return not rollout.notified

    async def _is_still_open(self, order: Order) -> bool:
        """Check in the platform that the order is unchanged.

        Another node may just have written its outcome.
        """
        found = await self._platform.read(ORDER_PREFIX + order.service)
        if isinstance(found, Failure):
            return False
        current = self._order_format.read(found)
        return current == order

    async def _start(self, order: Order, previous: Rollout | None) -> None:
        from_version = self._version_in_use(order, previous)
        if not from_version:
            log_event(
                "order.waiting", service=order.service, reason="no_version_in_use"
            )
            return
        duration = timedelta(seconds=order.duration_s - _REPORT_MARGIN_S)
        started = await start_rollout(
            self._platform,
            service=order.service,
            from_version=from_version,
            to_version=order.to_version,
            deadline=self._clock.now() + duration,
            author="operator",
            reason="ordered in the platform",
            clock=self._clock,
            last_number=self._last_number(order.service),
        )
        if isinstance(started, ChangeFailure):
            log_event(
                "order.not_started", service=order.service, reason=started.message
            )
            await asyncio.sleep(_PLATFORM_RETRY_DELAY_S)
            return
        log_event(
            "order.started",
            service=order.service,
            from_version=from_version,
            to_version=order.to_version,
            duration_s=order.duration_s,
        )
        await self._write_status(started)

    def _last_number(self, service: str) -> int:
        known = self._rollout_of(service)
        return 0 if known is None else known.number

    def _version_in_use(self, order: Order, previous: Rollout | None) -> str:
        """Return the version that the new rollout replaces, empty if there is none.

        This is the version that the previous rollout left in use if it still has
        members, else the version with the most slots. It is never the ordered version.
        """
        slots: Counter[str] = Counter()
        for member in self._membership.live():
            if member.service == order.service and member.service_version:
                slots[member.service_version] += max(1, member.slots)
        slots.pop(order.to_version, None)
        if previous is not None and previous.phase.final:
            done = previous.phase is Phase.DONE
            version_left = previous.to_version if done else previous.from_version
            if version_left in slots:
                return version_left
        return max(slots, key=slots.get, default="")

    async def _write_status(self, rollout: Rollout) -> bool:
        """Write a rollout's status to its order, by a conditional update.

        If the answer to a write is lost, the next call reads the order and finds the
        status already written.

        :returns: whether nothing is left to write.
        """
        key = ORDER_PREFIX + rollout.service
        status = self._order_format.status(rollout)
        found = await self._platform.read(key)
        if isinstance(found, Failure):
            return False
        if not found.version or found.status == status:
            return True
        order = self._order_format.read(found)
        if isinstance(order, Failure) or order.to_version != rollout.to_version:
            return True
        if order.reported:
            log_event("order.already_ended", service=order.service, was=order.reported)
            return True
        result = await self._platform.write_status(
            key, expected_version=found.version, status=status
        )
        log_event(
            "order.status_write",
            service=rollout.service,
            phase=rollout.phase.value,
            succeeded=bool(result),
        )
        return bool(result)
