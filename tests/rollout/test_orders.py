"""Tests of rollouts that operators order in the platform."""

import asyncio
from datetime import timedelta

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.platform.objects import DIALECT
from burdockdock.platform.orders import ORDER_FORMAT
from burdockdock.platform_api import PlatformClient
from burdockdock.rollout.model import ROLLOUT_PREFIX, Phase, Rollout
from burdockdock.rollout.orders import ORDER_PREFIX, Order, OrderProcessor, OrderView
from burdockdock.rollout.start import read_rollout
from burdockdock.rollout.view import RolloutView
from burdockdock.standin.local_fleet import free_port
from tests.platform.fake_object_store import FakeObjectStore
from tests.support import async_test, eventually

_HOST = "127.0.0.1"
# Long enough for several scans of the orders.
_SCANS_S = 1.0
_SPEC = {"service": "work", "target-version": "v2", "duration": "16s"}


def _member(name: str, version: str, slots: int) -> Member:
    return Member(
        name, _HOST, 1, "r", "z", 1, ready=True, service="work", slots=slots
    )._replace(service_version=version)


class _Clock(SystemClock):
    """A system clock whose monotonic time a test can move forward."""

    def __init__(self) -> None:
        self._ahead_s = 0.0

    def advance(self, duration_s: float) -> None:
        """Move the monotonic clock forward."""
        self._ahead_s += duration_s

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        return super().monotonic() + self._ahead_s


class _OrderFixture:
    """A platform store with one order, and nodes that process it."""

    def __init__(self) -> None:
        self.store = FakeObjectStore()
        port = free_port()
        self.store.serve(_HOST, port)
        self.clock = _Clock()
        self.platform = PlatformClient(
            f"http://{_HOST}:{port}", name="n", clock=self.clock, dialect=DIALECT
        )
        self.tasks: list[asyncio.Task[None]] = []

    def start_processor(self) -> tuple[OrderProcessor, RecordStore]:
        """Start a node's order processor; return it and the records it reads."""
        membership = MembershipTable(_member("a", "v1", 9), clock=self.clock)
        membership.merge(_member("b", "v1", 9))
        membership.merge(_member("c", "v2", 90))
        self.membership = membership
        records = RecordStore()
        processor = OrderProcessor(
            platform=self.platform,
            order_view=OrderView(records),
            order_format=ORDER_FORMAT,
            membership=membership,
            clock=self.clock,
            may_act=lambda service: True,
            rollout_of=RolloutView(records).get,
            spread=records.put,
        )
        self.tasks.append(asyncio.create_task(processor.run()))
        return processor, records

    async def place_order(self, *node_records: RecordStore, **changes: str) -> None:
        """Write an order to the store, and publish it to nodes' records."""
        await self.store.put("rollouts", "work", spec={**_SPEC, **changes})
        await self.publish_order(*node_records)

    async def publish_order(self, *node_records: RecordStore) -> Order:
        """Publish the order as currently stored to nodes' records."""
        found = await self.platform.read(ORDER_PREFIX + "work")
        order = ORDER_FORMAT.read(found)
        for records in node_records:
            records.put(Record(found.key, found.record_version, order.encode()))
        return order

    async def end_rollout(self, phase: Phase) -> Rollout:
        """End the rollout in a phase."""
        found = await read_rollout(self.platform, "work")
        ended = found.rollout.enter(phase, now=self.clock.now(), reason="test")
        await self.platform.try_update(
            ROLLOUT_PREFIX + "work",
            expected_version=found.stored.version,
            value=ended.to_value(),
        )
        return ended

    async def record_as_notified(self, ended: Rollout, records: RecordStore) -> Rollout:
        """Store that the outcome was reported, and publish it to a node's records."""
        notified = ended._replace(notified=True, step=ended.step + 1)
        found = await self.platform.read(ROLLOUT_PREFIX + "work")
        written = await self.platform.try_update(
            found.key, expected_version=found.version, value=notified.to_value()
        )
        records.put(Record(found.key, written.record_version, notified.encode()))
        return notified

    async def run_until_done(self) -> tuple[OrderProcessor, Rollout]:
        """Start a rollout from an order, and end it as done."""
        processor, records = self.start_processor()
        await self.place_order(records)
        await eventually(self.status)
        return processor, await self.end_rollout(Phase.DONE)

    def status(self) -> dict:
        """Return the status stored with the order."""
        return self.store.get("rollouts", "work")["status"]

    def close(self) -> None:
        """Stop the order processors."""
        for task in self.tasks:
            task.cancel()


async def _wait_for_old_calls_to_end(processor: OrderProcessor, ended: Rollout) -> None:
    """Wait until no call can still be running on the old version."""
    while processor._may_have_old_calls(ended):
        await asyncio.sleep(0.1)


class OrderProcessorTest(testtools.TestCase):
    """Tests of starting rollouts and reporting their outcomes."""

    @async_test
    async def test_an_order_starts_one_rollout_among_several_nodes(self) -> None:
        fixture = _OrderFixture()
        node_records = [fixture.start_processor()[1] for _ in range(3)]
        await fixture.place_order(*node_records)
        await eventually(fixture.status)
        for records in node_records:
            await eventually(lambda r=records: r.get(ROLLOUT_PREFIX + "work"))
        rollout, _ = await read_rollout(fixture.platform, "work")
        self.assertEqual(("v1", "v2"), (rollout.from_version, rollout.to_version))
        self.assertEqual(1, rollout.number)
        length = rollout.deadline - rollout.started_at
        self.assertLess(length, timedelta(seconds=16))
        self.assertEqual({"state": "running", "target-version": "v2"}, fixture.status())
        fixture.close()

    @async_test
    async def test_outcome_is_reported_once_and_never_changed(self) -> None:
        fixture = _OrderFixture()
        processor, records = fixture.start_processor()
        await fixture.place_order(records)
        await eventually(fixture.status)
        ended = await fixture.end_rollout(Phase.ROLLED_BACK)
        self.assertTrue(await processor.report_outcome(ended))
        self.assertEqual("rolled_back", fixture.status()["state"])
        done = ended._replace(phase=Phase.DONE)
        await _wait_for_old_calls_to_end(processor, done)
        self.assertTrue(await processor.report_outcome(done))
        self.assertEqual("rolled_back", fixture.status()["state"])
        self.assertFalse((await fixture.publish_order(records)).open)
        fixture.close()

    @async_test
    async def test_report_is_retried_after_a_lost_answer(self) -> None:
        fixture = _OrderFixture()
        processor, records = fixture.start_processor()
        await fixture.place_order(records)
        await eventually(fixture.status)
        ended = await fixture.end_rollout(Phase.DONE)
        await _wait_for_old_calls_to_end(processor, ended)
        fixture.store.lost_write_responses = 1
        self.assertFalse(await processor.report_outcome(ended))
        self.assertEqual("succeeded", fixture.status()["state"])
        self.assertTrue(await processor.report_outcome(ended))
        fixture.close()

    @async_test
    async def test_a_later_order_starts_from_the_version_left_in_use(self) -> None:
        fixture = _OrderFixture()
        processor, records = fixture.start_processor()
        await fixture.place_order(records)
        await eventually(fixture.status)
        ended = await fixture.end_rollout(Phase.DONE)
        await _wait_for_old_calls_to_end(processor, ended)
        await processor.report_outcome(ended)
        await fixture.place_order(records, **{"target-version": "v3"})
        await eventually(lambda: (fixture.status() or {}).get("target-version") == "v3")
        rollout, _ = await read_rollout(fixture.platform, "work")
        self.assertEqual((2, "v2"), (rollout.number, rollout.from_version))
        fixture.close()

    @async_test
    async def test_outcome_is_not_reported_while_old_calls_may_run(self) -> None:
        fixture = _OrderFixture()
        processor, ended = await fixture.run_until_done()
        self.assertFalse(await processor.report_outcome(ended))
        self.assertEqual("running", fixture.status()["state"])
        fixture.close()

    @async_test
    async def test_outcome_is_reported_once_every_old_gate_is_idle(self) -> None:
        fixture = _OrderFixture()
        processor, ended = await fixture.run_until_done()
        old = [m for m in fixture.membership.live() if m.service_version == "v1"]
        self.assertNotEqual([], old)
        for member in old:
            self.assertFalse(await processor.report_outcome(ended))
            if member == fixture.membership.own:
                fixture.membership.update_own(stopped=True)
                continue
            fixture.membership.merge(
                member._replace(incarnation=member.incarnation + 1, stopped=True)
            )
        self.assertTrue(await processor.report_outcome(ended))
        self.assertEqual("succeeded", fixture.status()["state"])
        fixture.close()

    @async_test
    async def test_silent_gate_delays_the_outcome_for_a_limited_time(
        self,
    ) -> None:
        fixture = _OrderFixture()
        processor, ended = await fixture.run_until_done()
        self.assertFalse(await processor.report_outcome(ended))
        fixture.clock.advance(1.65)
        self.assertFalse(await processor.report_outcome(ended))
        fixture.clock.advance(0.2)
        self.assertTrue(await processor.report_outcome(ended))
        fixture.close()

    @async_test
    async def test_invalid_orders_are_refused(self) -> None:
        fixture = _OrderFixture()
        for change in ({"duration": "soon"}, {"duration": 5}):
            await fixture.store.put("rollouts", "work", spec={**_SPEC, **change})
            found = await fixture.platform.read(ORDER_PREFIX + "work")
            self.assertEqual("order_unreadable", ORDER_FORMAT.read(found).reason)


class StoreReturnTest(testtools.TestCase):
    """Tests of orders whose outcomes the store lost when it returned from a copy."""

    @async_test
    async def test_order_that_was_answered_starts_no_second_rollout(self) -> None:
        # Guards against a version in use again that was rolled back.
        fixture = _OrderFixture()
        processor, records = fixture.start_processor()
        fixture.store.take_copy()
        await fixture.place_order(records)
        await eventually(fixture.status)
        ended = await fixture.end_rollout(Phase.ROLLED_BACK)
        self.assertTrue(await processor.report_outcome(ended))
        ended = await fixture.record_as_notified(ended, records)
        outcome = fixture.status()
        await fixture.store.return_from_copy()
        # The operator places its order again, without a status.
        await fixture.place_order()
        processor.store_returned()
        await fixture.publish_order(records)
        await asyncio.sleep(_SCANS_S)
        self.assertIsNone(fixture.status())
        self.assertIsNone(fixture.store.get("rollout-states", "work"))
        # What the nodes do that noticed the return.
        await fixture.platform.update(
            ROLLOUT_PREFIX + "work", expected_version=0, value=ended.to_value()
        )
        await eventually(fixture.status)
        self.assertEqual(outcome, fixture.status())
        rollout, _ = await read_rollout(fixture.platform, "work")
        self.assertEqual((1, Phase.ROLLED_BACK), (rollout.number, rollout.phase))
        fixture.close()

    @async_test
    async def test_order_of_another_version_starts_after_the_return(self) -> None:
        fixture = _OrderFixture()
        processor, records = fixture.start_processor()
        await fixture.place_order(records)
        await eventually(fixture.status)
        ended = await fixture.end_rollout(Phase.ROLLED_BACK)
        await processor.report_outcome(ended)
        await fixture.record_as_notified(ended, records)
        fixture.store.take_copy()
        await fixture.store.return_from_copy()
        fixture.membership.merge(_member("d", "v3", 90))
        processor.store_returned()
        await fixture.place_order(records, **{"target-version": "v3"})
        await eventually(lambda: (fixture.status() or {}).get("target-version") == "v3")
        rollout, _ = await read_rollout(fixture.platform, "work")
        self.assertEqual((2, "v3"), (rollout.number, rollout.to_version))
        fixture.close()
