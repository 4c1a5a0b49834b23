"""Tests of the admission of calls within quotas, in virtual time."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

import testtools

from burdockdock.coordination.quota import (
    QuotaAsk,
    QuotaBounds,
    QuotaGrant,
    QuotaLimit,
)
from burdockdock.coordination.quota_stock import Token
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.answers import build_refusal
from burdockdock.proxy.quota_client import OVER_QUOTA, QuotaClient
from burdockdock.proxy.quota_use import QuotaUse
from tests.virtual_time import LoopClock, run_virtually

_DELAY_S = 0.001


def _virtual_test(
    function: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    @wraps(function)
    def run(self: Any) -> None:
        run_virtually(function(self))

    return run


class _Grantors:
    """A client, and a grantor and a deputy that answer after a delay.

    :param grantor: returns the response to a request, None for none.
    """

    def __init__(
        self,
        grantor: Callable[[QuotaAsk], QuotaGrant | None],
        deputy: Callable[[QuotaAsk], QuotaGrant | None] = lambda ask: None,
    ) -> None:
        self.limits: dict[str, QuotaLimit] = {"w": QuotaLimit(100.0, 10.0)}
        self.asks: list[tuple[QuotaAsk, bool]] = []
        self.counts: dict[str, int] = defaultdict(int)
        self._respond = (grantor, deputy)
        self.client = QuotaClient(
            "a",
            limit_of=lambda workspace: self.limits.get(workspace),
            send=self._send,
            node_count=lambda: 10,
            bounds=QuotaBounds(),
            clock=LoopClock(),
            rng=random.Random(1),
            count=self._count,
        )

    def _send(self, ask: QuotaAsk, to_deputy: bool) -> None:
        self.asks.append((ask, to_deputy))
        grant = self._respond[to_deputy](ask)
        if grant is not None:
            asyncio.get_running_loop().call_later(
                _DELAY_S, self.client.take_grant, ask.workspace, grant
            )

    def _count(self, name: str, *, label: str = "") -> None:
        self.counts[name] += 1


def _grant_all(ask: QuotaAsk) -> QuotaGrant:
    return QuotaGrant(ask.number, ask.count)


def _deny(ask: QuotaAsk) -> QuotaGrant:
    return QuotaGrant(ask.number, 0, 0.3)


def _ignore(ask: QuotaAsk) -> None:
    return None


class QuotaClientTest(testtools.TestCase):
    """Tests of calls that take tokens."""

    @_virtual_test
    async def test_a_workspace_without_a_limit_costs_nothing(self) -> None:
        """Guards against datagrams and counters for workspaces without a limit."""
        grantors = _Grantors(_grant_all)
        self.assertTrue(await grantors.client.admit("other"))
        self.assertEqual(([], {}), (grantors.asks, grantors.counts))

    @_virtual_test
    async def test_calls_at_the_same_time_share_a_request(self) -> None:
        """Guards against a datagram for each call."""
        grantors = _Grantors(_grant_all)
        client = grantors.client
        results = await asyncio.gather(*(client.admit("w") for _ in range(20)))
        self.assertTrue(all(isinstance(r, Token) for r in results))
        self.assertLessEqual(len(grantors.asks), 2)

    @_virtual_test
    async def test_a_denial_is_remembered(self) -> None:
        """Guards against a datagram for each refused request of a hot workspace."""
        grantors = _Grantors(_deny)
        failures = [await grantors.client.admit("w") for _ in range(50)]
        self.assertEqual(1, len(grantors.asks))
        waits = [f.retry_after_s for f in failures]
        self.assertAlmostEqual(0.3, waits[0], places=3)
        self.assertEqual(sorted(waits), waits)
        await asyncio.sleep(0.31)
        await grantors.client.admit("w")
        self.assertEqual(2, len(grantors.asks))

    @_virtual_test
    async def test_the_failure_is_answered_with_429(self) -> None:
        """Guards against a status that doesn't say to send less."""
        failure = await _Grantors(_deny).client.admit("w")
        self.assertEqual(OVER_QUOTA, failure.reason)
        refusal = build_refusal(failure, random.Random(1))
        self.assertEqual(429, refusal.head.status)
        self.assertIn(("Retry-After", "0.300"), refusal.head.headers)

    @_virtual_test
    async def test_a_lost_request_is_repeated_with_its_number(self) -> None:
        """Guards against a refusal after one lost datagram."""
        lost: list[int] = []

        def lose_first(ask: QuotaAsk) -> QuotaGrant | None:
            lost.append(ask.number)
            return _grant_all(ask) if len(lost) > 1 else None

        grantors = _Grantors(lose_first)
        self.assertIsInstance(await grantors.client.admit("w"), Token)
        self.assertEqual([lost[0]] * 2, lost)

    @_virtual_test
    async def test_a_duplicate_grant_is_ignored(self) -> None:
        """Guards against tokens that are counted twice."""
        grantors = _Grantors(_grant_all)
        await grantors.client.admit("w")
        ask = grantors.asks[0][0]
        grantors.client.take_grant("w", QuotaGrant(ask.number, 50))
        await grantors.client.admit("w")
        self.assertEqual(2, len(grantors.asks))

    @_virtual_test
    async def test_the_deputy_is_asked_after_a_silent_grantor(self) -> None:
        """Guards against refusals until the failure detector finds a dead grantor."""
        grantors = _Grantors(_ignore, _grant_all)
        loop = asyncio.get_running_loop()
        self.assertIsInstance(await grantors.client.admit("w"), Token)
        self.assertLess(loop.time(), 0.06)
        started_s = loop.time()
        self.assertIsInstance(await grantors.client.admit("w"), Token)
        self.assertLess(loop.time() - started_s, 0.005)
        grantors.client.note_new_grantors()
        await grantors.client.admit("w")
        self.assertFalse(grantors.asks[-2][1])

    @_virtual_test
    async def test_calls_wait_a_bounded_time_for_silent_nodes(self) -> None:
        """Guards against calls that hang, and against datagrams for each of them."""
        grantors = _Grantors(_ignore)
        loop = asyncio.get_running_loop()
        await grantors.client.admit("w")
        self.assertLess(loop.time(), 0.11)
        for _ in range(100):
            started_s = loop.time()
            await grantors.client.admit("w")
            self.assertEqual(started_s, loop.time())
            await asyncio.sleep(0.01)
        self.assertLess(len(grantors.asks), 15)
        self.assertGreater(grantors.counts["quota_floor_admitted"], 0)
        self.assertLess(grantors.counts["quota_floor_admitted"], 10)

    @_virtual_test
    async def test_calls_wait_a_bounded_time_for_grants_of_too_few_tokens(self) -> None:
        """Guards against calls that wait for one grant after the other without end.

        Grants come without a token here, as those do whose life is over on arrival.
        """

        def grant_nothing(ask: QuotaAsk) -> QuotaGrant:
            return QuotaGrant(ask.number, 0)

        grantors = _Grantors(grant_nothing)
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(grantors.client.admit("w")) for _ in range(3)]
        done, waiting = await asyncio.wait(tasks, timeout=1.0)
        for task in waiting:
            task.cancel()
        self.assertEqual((3, 0), (len(done), len(waiting)))
        self.assertEqual({OVER_QUOTA}, {task.result().reason for task in done})
        await asyncio.sleep(0.1)
        asked = len(grantors.asks)
        await asyncio.sleep(0.1)
        self.assertEqual(asked, len(grantors.asks))
        self.assertLessEqual(loop.time(), 0.4)

    @_virtual_test
    async def test_nodes_that_point_at_each_other_dont_hold_a_call(self) -> None:
        """Guards against a call that is sent to and fro between two nodes."""

        def not_me(ask: QuotaAsk) -> QuotaGrant:
            return QuotaGrant(ask.number, 0, is_grantor=False)

        grantors = _Grantors(not_me, not_me)
        await grantors.client.admit("w")
        self.assertEqual([False, True], [to_deputy for _, to_deputy in grantors.asks])

    @_virtual_test
    async def test_a_cancelled_call_gives_its_token_back(self) -> None:
        """Guards against tokens that are lost with callers that leave."""
        grantors = _Grantors(_grant_all)
        task = asyncio.create_task(grantors.client.admit("w"))
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_later(_DELAY_S, task.cancel)
        await asyncio.wait({task})
        self.assertTrue(task.cancelled())
        self.assertIsInstance(await grantors.client.admit("w"), Token)
        self.assertEqual(1, len(grantors.asks))

    @_virtual_test
    async def test_a_limit_that_is_removed_frees_its_memory(self) -> None:
        """Guards against states of workspaces that are gone."""
        grantors = _Grantors(_grant_all)
        await grantors.client.admit("w")
        grantors.limits.clear()
        grantors.client.prune()
        self.assertEqual({}, grantors.client._states)


class QuotaUseTest(testtools.TestCase):
    """Tests of the token of one call."""

    @_virtual_test
    async def test_a_call_that_hasnt_run_returns_its_token_once(self) -> None:
        """Guards against requests that are charged without having run."""
        grantors = _Grantors(_grant_all)
        use = QuotaUse(grantors.client, "w")
        self.assertIsNone(await use.take())
        not_run = Failure(Verdict.NOT_RUN, "queue_full")
        use.end(not_run)
        use.end(not_run)
        self.assertEqual(1, grantors.counts["quota_returned"])
        await grantors.client.admit("w")
        self.assertEqual(1, len(grantors.asks))

    @_virtual_test
    async def test_a_call_that_may_have_run_keeps_its_token(self) -> None:
        """Guards against requests that run without a token."""
        for failure in (None, Failure(Verdict.MAY_HAVE_RUN, "deadline_passed")):
            grantors = _Grantors(_grant_all)
            use = QuotaUse(grantors.client, "w")
            await use.take()
            use.end(failure)
            self.assertEqual(0, grantors.counts["quota_returned"])

    @_virtual_test
    async def test_a_call_with_a_slow_body_takes_a_new_token(self) -> None:
        """Guards against many slow bodies that end, and run, at the same moment."""
        grantors = _Grantors(_grant_all)
        use = QuotaUse(grantors.client, "w")
        await use.take()
        self.assertIsNone(await use.renew())
        self.assertEqual(1, len(grantors.asks))
        # The token lasts 0.3 s from the request for it, and may be used 0.25 s longer.
        await asyncio.sleep(0.54)
        self.assertIsNone(await use.renew())
        self.assertEqual(1, len(grantors.asks))
        await asyncio.sleep(0.02)
        self.assertIsNone(await use.renew())
        self.assertEqual(2, len(grantors.asks))
