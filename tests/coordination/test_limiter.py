"""Tests of slots, their queue, and estimated request durations."""

import asyncio

import testtools

from burdockdock.clock import ManualClock, SystemClock
from burdockdock.coordination.duration_estimator import DurationEstimator
from burdockdock.coordination.limiter import SlotLimiter
from burdockdock.coordination.verdict import Failure, Verdict
from tests.support import async_test


def _reasons(tasks: list[asyncio.Task]) -> list[str]:
    """Return the reasons of the requests that were refused."""
    return [task.result().reason for task in tasks if task.done()]


class SlotLimiterTest(testtools.TestCase):
    """Tests of one slot limiter."""

    @async_test
    async def test_slots_in_use_never_exceed_the_limit(self) -> None:
        limiter = SlotLimiter(slots=3, clock=SystemClock())
        deadline_s = SystemClock().monotonic() + 60
        peak = 0

        async def run_request(i: int) -> None:
            nonlocal peak
            workspace = f"t{i % 4}"
            refusal = await limiter.acquire(
                workspace=workspace, deadline_s=deadline_s, queue_length=100
            )
            self.assertIsNone(refusal)
            peak = max(peak, limiter.in_use)
            await asyncio.sleep(0)
            limiter.release(workspace)

        await asyncio.gather(*(run_request(i) for i in range(60)))
        self.assertEqual((3, 0, 0), (peak, limiter.in_use, limiter.queued))

    @async_test
    async def test_queue_length_zero_refuses_as_not_run(self) -> None:
        limiter = SlotLimiter(slots=1, clock=ManualClock())
        self.assertIsNone(await limiter.acquire(workspace="t", deadline_s=5))
        refusal = await limiter.acquire(workspace="t", deadline_s=5, queue_length=0)
        self.assertEqual(
            (Verdict.NOT_RUN, "queue_full"), (refusal.verdict, refusal.reason)
        )

    @async_test
    async def test_deadline_ends_the_wait(self) -> None:
        limiter = SlotLimiter(slots=1, clock=ManualClock())
        await limiter.acquire(workspace="t", deadline_s=5)
        refusal = await limiter.acquire(workspace="t", deadline_s=0.01)
        self.assertEqual("queue_timeout", refusal.reason)
        self.assertEqual(0, limiter.queued)

    @async_test
    async def test_request_with_queue_length_zero_evicts_nothing(self) -> None:
        limiter = SlotLimiter(slots=1, clock=SystemClock())
        deadline_s = SystemClock().monotonic() + 60
        await limiter.acquire(workspace="a", deadline_s=deadline_s)
        waiting = [
            asyncio.create_task(limiter.acquire(workspace="a", deadline_s=deadline_s))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        refusal = await limiter.acquire(
            workspace="b", deadline_s=deadline_s, queue_length=0
        )
        self.assertEqual("queue_full", refusal.reason)
        self.assertEqual(3, limiter.queued)
        for task in waiting:
            task.cancel()

    @async_test
    async def test_on_target_requests_go_first_and_late_ones_are_refused(self) -> None:
        clock = ManualClock()
        limiter = SlotLimiter(slots=1, clock=clock)
        await limiter.acquire(workspace="t", deadline_s=99)

        def start_acquire(target_s: float) -> asyncio.Task:
            return asyncio.create_task(
                limiter.acquire(workspace="t", deadline_s=99, target_s=target_s)
            )

        late = [start_acquire(1.0), start_acquire(1.0)]
        await asyncio.sleep(0)
        on_target = [start_acquire(9.0), start_acquire(9.0)]
        await asyncio.sleep(0)
        clock.advance(2.0)
        limiter.release("t")
        refusals = await asyncio.gather(*late)
        self.assertEqual(["too_late_to_wait"] * 2, [r.reason for r in refusals])
        self.assertIsNone(await on_target[0])
        limiter.release("t")
        self.assertIsNone(await on_target[1])

    @async_test
    async def test_late_request_is_served_when_no_other_waits(self) -> None:
        clock = ManualClock()
        limiter = SlotLimiter(slots=1, clock=clock)
        await limiter.acquire(workspace="t", deadline_s=99)
        late = asyncio.create_task(
            limiter.acquire(workspace="t", deadline_s=99, target_s=1.0)
        )
        await asyncio.sleep(0)
        clock.advance(2.0)
        limiter.release("t")
        self.assertIsNone(await late)

    @async_test
    async def test_noisy_workspace_can_not_fill_the_queue(self) -> None:
        limiter = SlotLimiter(slots=1, clock=SystemClock())
        deadline_s = SystemClock().monotonic() + 60
        await limiter.acquire(workspace="noisy", deadline_s=deadline_s)
        quiet = asyncio.create_task(
            limiter.acquire(workspace="quiet", deadline_s=deadline_s, queue_length=4)
        )
        await asyncio.sleep(0)
        noisy = [
            asyncio.create_task(
                limiter.acquire(
                    workspace="noisy", deadline_s=deadline_s, queue_length=4
                )
            )
            for _ in range(6)
        ]
        await asyncio.sleep(0)
        refused = [task for task in noisy if task.done()]
        self.assertEqual(4, len(refused))
        limiter.release("noisy")
        self.assertIsNone(await quiet)
        for task in noisy:
            task.cancel()

    @async_test
    async def test_cancelled_waiter_releases_its_slot(self) -> None:
        limiter = SlotLimiter(slots=1, clock=ManualClock())
        await limiter.acquire(workspace="t", deadline_s=60)
        waiter = asyncio.create_task(limiter.acquire(workspace="t", deadline_s=60))
        await asyncio.sleep(0)
        limiter.release("t")
        waiter.cancel()
        await asyncio.wait([waiter])
        self.assertEqual((0, 0), (limiter.in_use, limiter.queued))

    @async_test
    async def test_full_queue_evicts_a_noisy_workspace_for_a_quiet_one(self) -> None:
        limiter = SlotLimiter(slots=1, clock=SystemClock())
        deadline_s = SystemClock().monotonic() + 60
        await limiter.acquire(workspace="noisy", deadline_s=deadline_s)
        noisy = [
            asyncio.create_task(
                limiter.acquire(
                    workspace="noisy", deadline_s=deadline_s, queue_length=4
                )
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0)
        quiet = asyncio.create_task(
            limiter.acquire(workspace="quiet", deadline_s=deadline_s, queue_length=4)
        )
        await asyncio.sleep(0)
        limiter.release("noisy")
        self.assertIsNone(await quiet)
        refused = [task.result() for task in noisy if task.done()]
        self.assertEqual(["tenant_queue_full"], [f.reason for f in refused])
        self.assertEqual((1, 3), (limiter.in_use, limiter.queued))
        for task in noisy:
            task.cancel()

    async def _fill(self, limiter: SlotLimiter, *workspaces: str) -> list[asyncio.Task]:
        """Occupy the only slot, then let requests of these workspaces queue."""
        await limiter.acquire(workspace="x", deadline_s=99)
        tasks = [
            asyncio.create_task(limiter.acquire(workspace=w, deadline_s=99))
            for w in workspaces
        ]
        await asyncio.sleep(0)
        self.assertEqual(len(workspaces), limiter.queued)
        return tasks

    @async_test
    async def test_public_requests_are_not_held_to_the_share_of_one_workspace(
        self,
    ) -> None:
        # Guards against refusals of the calls that running requests make, which all
        # have no workspace, beside a queue that has room.
        for workspace, reason in (("a", "tenant_queue_full"), ("", None)):
            limiter = SlotLimiter(slots=1, clock=ManualClock())
            tasks = await self._fill(limiter, "b", "c", "d", *[workspace] * 4)
            refused = asyncio.create_task(
                limiter.acquire(workspace=workspace, deadline_s=99, queue_length=16)
            )
            await asyncio.sleep(0)
            self.assertEqual(reason is not None, refused.done())
            self.assertEqual(reason, refused.done() and refused.result().reason or None)
            for task in (*tasks, refused):
                task.cancel()

    @async_test
    async def test_full_queue_of_public_requests_makes_room_for_a_workspace(
        self,
    ) -> None:
        limiter = SlotLimiter(slots=1, clock=ManualClock())
        tasks = await self._fill(limiter, *[""] * 4)
        other = asyncio.create_task(
            limiter.acquire(workspace="a", deadline_s=99, queue_length=4)
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(["tenant_queue_full"], _reasons(tasks))
        self.assertFalse(other.done())
        for task in (*tasks, other):
            task.cancel()

    @async_test
    async def test_public_requests_are_not_ordered_as_one_busy_workspace(self) -> None:
        # Guards against public requests that start after those of all workspaces.
        limiter = SlotLimiter(slots=1, clock=ManualClock())
        await limiter.acquire(workspace="x", deadline_s=99)
        order: list[str] = []

        async def run(workspace: str) -> None:
            await limiter.acquire(workspace=workspace, deadline_s=99)
            order.append(workspace)
            limiter.release(workspace)

        names = ["a", "b", "c", "", "", "", "a", "b", "c"]
        tasks = [asyncio.create_task(run(name)) for name in names]
        await asyncio.sleep(0)
        limiter.release("x")
        await asyncio.gather(*tasks)
        self.assertEqual(["a", "b", "c", "", "", "", "a", "b", "c"], order)

    @async_test
    async def test_recheck_refuses_only_what_must_not_start(self) -> None:
        limiter = SlotLimiter(slots=1, clock=ManualClock())
        await limiter.acquire(workspace="x", deadline_s=99)
        refusal = Failure(Verdict.NOT_RUN, "over")
        results: list[Failure | None] = [None, None]
        tasks = [
            asyncio.create_task(
                limiter.acquire(
                    workspace="a", deadline_s=99, recheck=lambda i=i: results[i]
                )
            )
            for i in range(2)
        ]
        await asyncio.sleep(0)
        limiter.recheck_queue()
        self.assertEqual(2, limiter.queued)
        results[0] = refusal
        limiter.recheck_queue()
        self.assertIs(refusal, await tasks[0])
        self.assertEqual(1, limiter.queued)
        limiter.release("x")
        self.assertIsNone(await tasks[1])


class DurationEstimatorTest(testtools.TestCase):
    """Tests of the time that a request needs."""

    def test_refusals_lower_the_estimate_after_a_slow_period(self) -> None:
        durations = DurationEstimator()
        self.assertEqual(0.0, durations.min_time_left_s("r"))
        for _ in range(50):
            durations.record("r", 0.1)
        self.assertTrue(0.1 < durations.min_time_left_s("r") < 0.15)
        for _ in range(200):
            durations.record_refusal("r")
        self.assertLess(durations.min_time_left_s("r"), 0.01)
