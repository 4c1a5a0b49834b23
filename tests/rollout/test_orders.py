"""Tests of orders that operators place in the platform."""

import asyncio
from datetime import timedelta

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.platform.objects import DIALECT
from burdockdock.platform.orders import FORMS
from burdockdock.platform_api import PlatformClient
from burdockdock.rollout.model import ROLLOUT_PREFIX, Phase, Rollout
from burdockdock.rollout.orders import ORDER_PREFIX, Order, OrderProcessor, OrderView
from burdockdock.rollout.owner import RolloutView
from burdockdock.rollout.start import read_rollout
from burdockdock.standin.local_fleet import free_port
from tests.platform.published_store import PublishedStore
from tests.support import async_test, eventually

_HOST = "127.0.0.1"
_SPEC = {"service": "work", "target-version": "v2", "duration": "16s"}


def _member(name: str, version: str, slots: int) -> Member:
    return Member(
        name, _HOST, 1, "r", "z", 1, ready=True, service="work", slots=slots
    )._replace(service_version=version)


class _Clock(SystemClock):
    """The machine's clock, which a test may set forward."""

    def __init__(self) -> None:
        self._ahead_s = 0.0

    def advance(self, seconds_s: float) -> None:
        """Set the monotonic clock forward."""
        self._ahead_s += seconds_s

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        return super().monotonic() + self._ahead_s


class _Desk:
    """A store with one order, and nodes that act on it."""

    def __init__(self) -> None:
        self.store = PublishedStore()
        port = free_port()
        self.store.serve(_HOST, port)
        self.clock = _Clock()
        self.platform = PlatformClient(
            f"http://{_HOST}:{port}", name="n", clock=self.clock, dialect=DIALECT
        )
        self.tasks: list[asyncio.Task[None]] = []

    def clerk(self) -> tuple[OrderProcessor, RecordStore]:
        """Return a node's clerk and the records that it acts on."""
        membership = MembershipTable(_member("a", "v1", 9), clock=self.clock)
        membership.merge(_member("b", "v1", 9))
        membership.merge(_member("c", "v2", 90))
        self.membership = membership
        records = RecordStore()
        clerk = OrderProcessor(
            platform=self.platform,
            order_view=OrderView(records),
            order_format=FORMS,
            membership=membership,
            clock=self.clock,
            may_act=lambda service: True,
            rollout_of=RolloutView(records).get,
            spread=records.put,
        )
        self.tasks.append(asyncio.create_task(clerk.run()))
        return clerk, records

    async def order(self, *books: RecordStore, **changes: str) -> None:
        """Place an order, and let nodes know of it."""
        await self.store.put("rollouts", "work", spec={**_SPEC, **changes})
        await self.tell(*books)

    async def tell(self, *books: RecordStore) -> Order:
        """Let nodes know of the order as it stands."""
        found = await self.platform.read(ORDER_PREFIX + "work")
        order = FORMS.read(found)
        for records in books:
            records.put(Record(found.key, found.version, order.encode()))
        return order

    async def end(self, phase: Phase) -> Rollout:
        """Let the rollout end."""
        rollout, version = await read_rollout(self.platform, "work")
        ended = rollout.enter(phase, now=self.clock.now(), reason="test")
        await self.platform.try_update(
            ROLLOUT_PREFIX + "work", expected_version=version, value=ended.to_value()
        )
        return ended

    async def done(self) -> tuple[OrderProcessor, Rollout]:
        """Let a node take up an order, and its rollout be done."""
        clerk, records = self.clerk()
        await self.order(records)
        await eventually(self.status)
        return clerk, await self.end(Phase.DONE)

    def status(self) -> dict:
        """Return the status that stands in the order."""
        return self.store.get("rollouts", "work")["status"]

    def close(self) -> None:
        """Stop the clerks."""
        for task in self.tasks:
            task.cancel()


async def _wait_for_old_calls(clerk: OrderProcessor, ended: Rollout) -> None:
    """Wait until no call can run at the old version any more."""
    while clerk._may_have_old_calls(ended):
        await asyncio.sleep(0.1)


class OrderProcessorTest(testtools.TestCase):
    """Tests of starting rollouts and telling how they ended."""

    @async_test
    async def test_an_order_starts_one_rollout_among_several_nodes(self) -> None:
        desk = _Desk()
        books = [desk.clerk()[1] for _ in range(3)]
        await desk.order(*books)
        await eventually(desk.status)
        for records in books:
            await eventually(lambda r=records: r.get(ROLLOUT_PREFIX + "work"))
        rollout, _ = await read_rollout(desk.platform, "work")
        self.assertEqual(("v1", "v2"), (rollout.from_version, rollout.to_version))
        self.assertEqual(1, rollout.number)
        length = rollout.deadline - rollout.started_at
        self.assertLess(length, timedelta(seconds=16))
        self.assertEqual({"state": "running", "target-version": "v2"}, desk.status())
        desk.close()

    @async_test
    async def test_the_end_is_told_once_and_never_taken_back(self) -> None:
        desk = _Desk()
        clerk, records = desk.clerk()
        await desk.order(records)
        await eventually(desk.status)
        ended = await desk.end(Phase.ROLLED_BACK)
        self.assertTrue(await clerk.report_outcome(ended))
        self.assertEqual("rolled_back", desk.status()["state"])
        done = ended._replace(phase=Phase.DONE)
        await _wait_for_old_calls(clerk, done)
        self.assertTrue(await clerk.report_outcome(done))
        self.assertEqual("rolled_back", desk.status()["state"])
        self.assertFalse((await desk.tell(records)).open)
        desk.close()

    @async_test
    async def test_an_end_whose_answer_was_lost_is_told_again(self) -> None:
        desk = _Desk()
        clerk, records = desk.clerk()
        await desk.order(records)
        await eventually(desk.status)
        ended = await desk.end(Phase.DONE)
        await _wait_for_old_calls(clerk, ended)
        desk.store.lose_answers = 1
        self.assertFalse(await clerk.report_outcome(ended))
        self.assertEqual("succeeded", desk.status()["state"])
        self.assertTrue(await clerk.report_outcome(ended))
        desk.close()

    @async_test
    async def test_a_later_order_starts_from_what_the_last_one_left(self) -> None:
        desk = _Desk()
        clerk, records = desk.clerk()
        await desk.order(records)
        await eventually(desk.status)
        ended = await desk.end(Phase.DONE)
        await _wait_for_old_calls(clerk, ended)
        await clerk.report_outcome(ended)
        await desk.order(records, **{"target-version": "v3"})
        await eventually(lambda: (desk.status() or {}).get("target-version") == "v3")
        rollout, _ = await read_rollout(desk.platform, "work")
        self.assertEqual((2, "v2"), (rollout.number, rollout.from_version))
        desk.close()

    @async_test
    async def test_the_end_is_not_told_while_old_calls_may_run(self) -> None:
        desk = _Desk()
        clerk, ended = await desk.done()
        self.assertFalse(await clerk.report_outcome(ended))
        self.assertEqual("running", desk.status()["state"])
        desk.close()

    @async_test
    async def test_the_end_is_told_once_every_old_gate_is_idle(self) -> None:
        desk = _Desk()
        clerk, ended = await desk.done()
        old = [m for m in desk.membership.live() if m.service_version == "v1"]
        self.assertNotEqual([], old)
        for member in old:
            self.assertFalse(await clerk.report_outcome(ended))
            if member == desk.membership.own:
                desk.membership.update_own(stopped=True)
                continue
            desk.membership.merge(
                member._replace(incarnation=member.incarnation + 1, stopped=True)
            )
        self.assertTrue(await clerk.report_outcome(ended))
        self.assertEqual("succeeded", desk.status()["state"])
        desk.close()

    @async_test
    async def test_a_gate_that_says_nothing_holds_the_end_up_for_a_while(self) -> None:
        desk = _Desk()
        clerk, ended = await desk.done()
        self.assertFalse(await clerk.report_outcome(ended))
        desk.clock.advance(1.65)
        self.assertFalse(await clerk.report_outcome(ended))
        desk.clock.advance(0.2)
        self.assertTrue(await clerk.report_outcome(ended))
        desk.close()

    @async_test
    async def test_orders_that_cannot_be_read_are_refused(self) -> None:
        desk = _Desk()
        for change in ({"duration": "soon"}, {"duration": 5}):
            await desk.store.put("rollouts", "work", spec={**_SPEC, **change})
            found = await desk.platform.read(ORDER_PREFIX + "work")
            self.assertEqual("order_unreadable", FORMS.read(found).reason)
