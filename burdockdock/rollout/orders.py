"""Orders of rollouts that operators place in the platform themselves."""

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
from burdockdock.rollout.model import ROLLOUT_PREFIX, Phase, Rollout
from burdockdock.rollout.start import ChangeFailure, read_rollout, start_rollout

ORDER_PREFIX = "orders/"
_TICK_S = 0.25
# The end must be written, and be read there, before the order's time is over.
_END_MARGIN_S = 2.75
# Calls still run at the old version when it takes no more, and its backend servers may
# be stopped as soon as the end is told. A node that does not say that it is idle holds
# the end up for so long, which leaves time to write it.
_LONGEST_IDLE_WAIT_S = 1.75
_PLATFORM_PAUSE_S = 1.0


class Order(NamedTuple):
    """An operator's order to move a service to a version.

    :param duration_s: seconds from the order to its end.
    :param reported: the outcome that stands in the platform, empty before the end.
    :param withdrawn: the order is gone.
    """

    service: str
    to_version: str
    duration_s: float
    reported: str = ""
    withdrawn: bool = False

    @property
    def open(self) -> bool:
        """Whether its outcome is still to be told."""
        return not self.withdrawn and not self.reported

    def encode(self) -> bytes:
        """Return the order as JSON bytes."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()


def decode_order(data: bytes) -> Order:
    """Read an order.

    :raises ValueError: if the bytes are none.
    """
    try:
        return Order(**json.loads(data))
    except TypeError as error:
        raise ValueError(str(error)) from None


OrderReader = Callable[[PlatformObject], Order | Failure]


class OrderFormat(NamedTuple):
    """How orders stand in the platform.

    :param read: reads an order out of its object.
    :param status: makes the status that tells a rollout's phase.
    """

    read: OrderReader
    status: Callable[[Rollout], dict[str, Any]]


class OrderView:
    """The newest order of each service, from the records."""

    def __init__(self, records: RecordStore) -> None:
        self._orders: dict[str, Order] = {}
        records.subscribe(self._on_record)

    def get(self, service: str) -> Order | None:
        """Return the newest order for a service."""
        return self._orders.get(service)

    def all(self) -> list[Order]:
        """Return the newest order of every service."""
        return list(self._orders.values())

    def _on_record(self, record: Record) -> None:
        if record.key.startswith(ORDER_PREFIX):
            order = decode_order(record.value)
            self._orders[order.service] = order


class OrderProcessor:
    """Turns open orders into rollouts, and writes their outcomes.

    :param may_act: whether this node is one of those that act for a service.
    :param rollout_of: returns the newest rollout of a service that this node knows.
    :param spread: stores a record and sends it to every node.
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

    async def run(self) -> None:
        """Start a rollout for each open order, for ever."""
        while True:
            for order in self._order_view.all():
                if order.open and self._may_act(order.service):
                    await self._take_up(order)
            await sleep_to_tick(_TICK_S)

    async def report_outcome(self, rollout: Rollout) -> bool:
        """Write a rollout's outcome into its order; return whether it stands there."""
        order = self._order_view.get(rollout.service)
        if order is None or order.withdrawn or order.to_version != rollout.to_version:
            return True
        if rollout.phase is Phase.DONE and self._old_calls_run(rollout):
            return False
        return await self._write_status(rollout)

    def _old_calls_run(self, rollout: Rollout) -> bool:
        """Tell whether calls may still run at the version that was left."""
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
        if busy and waited_s < _LONGEST_IDLE_WAIT_S:
            return True
        log_event(
            "order.old_version_idle",
            service=rollout.service,
            version=rollout.from_version,
            waited_s=waited_s,
            not_idle=len(busy),
            first_not_idle=busy[0] if busy else "",
        )
        return False

    async def _take_up(self, order: Order) -> None:
        """Start the rollout, unless it runs already or its end is being told."""
        if self._is_under_way(self._rollout_of(order.service), order):
            return
        found = await read_rollout(self._platform, order.service)
        if isinstance(found, Failure):
            await asyncio.sleep(_PLATFORM_PAUSE_S)
            return
        rollout, version = found
        if self._is_under_way(rollout, order):
            key = ROLLOUT_PREFIX + order.service
            self._spread(Record(key, version, rollout.encode()))
        elif await self._is_still_open(order):
            await self._start(order, rollout)

    def _is_under_way(self, rollout: Rollout | None, order: Order) -> bool:
        if rollout is None or rollout.to_version != order.to_version:
            return False
        return not rollout.notified

    async def _is_still_open(self, order: Order) -> bool:
        """Ask the platform: its outcome may have been written a moment ago."""
        found = await self._platform.read(ORDER_PREFIX + order.service)
        if isinstance(found, Failure):
            return False
        current = self._order_format.read(found)
        return current == order

    async def _start(self, order: Order, last: Rollout | None) -> None:
        from_version = self._version_in_use(order, last)
        if not from_version:
            log_event("order.waits", service=order.service, reason="no_version_in_use")
            return
        duration = timedelta(seconds=order.duration_s - _END_MARGIN_S)
        started = await start_rollout(
            self._platform,
            service=order.service,
            from_version=from_version,
            to_version=order.to_version,
            deadline=self._clock.now() + duration,
            author="operator",
            reason="ordered in the platform",
            clock=self._clock,
        )
        if isinstance(started, ChangeFailure):
            log_event("order.not_started", service=order.service, why=started.message)
            await asyncio.sleep(_PLATFORM_PAUSE_S)
            return
        log_event(
            "order.started",
            service=order.service,
            from_version=from_version,
            to_version=order.to_version,
            duration_s=order.duration_s,
        )
        await self._write_status(started)

    def _version_in_use(self, order: Order, last: Rollout | None) -> str:
        """Return the version that most slots of the service run, but the ordered one.

        After an ended rollout it is the version that rollout left in use.
        """
        slots: Counter[str] = Counter()
        for member in self._membership.live():
            if member.service == order.service and member.service_version:
                slots[member.service_version] += max(1, member.slots)
        slots.pop(order.to_version, None)
        if last is not None and last.phase.final:
            done = last.phase is Phase.DONE
            kept = last.to_version if done else last.from_version
            if kept in slots:
                return kept
        return max(slots, key=slots.get, default="")

    async def _write_status(self, rollout: Rollout) -> bool:
        """Write the status conditionally; a lost answer is found out by reading."""
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
            log_event(
                "order.ended_otherwise", service=order.service, was=order.reported
            )
            return True
        result = await self._platform.write_status(
            key, expected_version=found.version, status=status
        )
        log_event(
            "order.status_written",
            service=rollout.service,
            phase=rollout.phase.value,
            written=bool(result),
        )
        return bool(result)
