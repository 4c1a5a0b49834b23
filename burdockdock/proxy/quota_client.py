"""Admits calls within their workspaces' quotas, on the node of their callers."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.quota import (
    QuotaAsk,
    QuotaBounds,
    QuotaGrant,
    QuotaLimit,
)
from burdockdock.coordination.quota_stock import Stock, Token
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.logs import log_event

OVER_QUOTA = "over_quota"
# A grant takes a few milliseconds. A datagram that was lost is sent once more.
_REPEAT_AFTER_S = 0.02
_WAIT_S = 0.05
# Grantor and deputy are waited for in turn, and a grant may bring too few tokens, or
# arrive after its life; the next request for tokens must not prolong a call's wait
# beyond this.
_MAX_CALL_WAIT_S = 0.15
# A call whose first attempt is later than this after its token's expiry, such as for
# reading its body, takes a new token: many of them could run at the same moment. Tokens
# used in a window were then granted in it, or within their life and this time before:
# 0.55 s in all, at the plain rate less than the tolerance. docs/design/quotas.md says
# what isn't covered.
_MAX_START_AFTER_EXPIRY_S = 0.25
_IDLE_STOCK_S = 60.0
_LOG_INTERVAL_S = 5.0
_UNLIMITED = Token("", 0.0)


class _PendingAsk(NamedTuple):
    """A request for tokens without a response so far."""

    ask: QuotaAsk
    sent_at_s: float


class _WorkspaceState:
    """A workspace's stock, the calls that wait for a token, and the open request."""

    def __init__(self, stock: Stock) -> None:
        self.stock = stock
        self.waiting: deque[asyncio.Future[Token | Failure]] = deque()
        self.pending: _PendingAsk | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.asks_deputy = False
        self.failed_asks = 0
        self.logged_at_s = float("-inf")
        self.refused = 0


class QuotaClient:
    """Takes a token for each call of a workspace that has a limit.

    :param node_id: this node.
    :param limit_of: returns the limit of a workspace, None if it has none.
    :param send: sends a request for tokens to the workspace's grantor, or to its
        deputy if the second argument is true; returns the grant at once if that is this
        node, else None.
    :param node_count: returns the number of nodes that share the quotas.
    :param count: increments a counter, given its name and a label.
    """

    def __init__(
        self,
        node_id: str,
        *,
        limit_of: Callable[[str], QuotaLimit | None],
        send: Callable[[QuotaAsk, bool], QuotaGrant | None],
        node_count: Callable[[], int],
        bounds: QuotaBounds,
        clock: Clock,
        rng: random.Random,
        count: Callable[..., None],
    ) -> None:
        self._node_id = node_id
        self._limit_of = limit_of
        self._send = send
        self._node_count = node_count
        self._bounds = bounds
        self._clock = clock
        self._count = count
        self._states: dict[str, _WorkspaceState] = {}
        # A node that starts again must not repeat the numbers of its earlier life.
        self._number = rng.getrandbits(48)
        self._rng = rng

    async def admit(self, workspace: str) -> Token | Failure:
        """Take a token for a call.

        It waits for a grant where the node has no token and wasn't denied one: for a
        few milliseconds, for 0.1 s if neither grantor nor deputy responds, and for
        0.15 s at most.

        :returns: a failure if the workspace is over its quota, or if no token came
            within that time.
        """
        limit = self._limit_of(workspace)
        if limit is None:
            return _UNLIMITED
        now_s = self._clock.monotonic()
        state = self._state_of(workspace, limit, now_s)
        stock = state.stock
        stock.note_request(now_s)
        token = stock.take(now_s)
        if token is not None:
            if state.pending is None and stock.runs_low(now_s):
                self._ask(state, now_s)
            return token
        if stock.is_silent:
            return self._admit_by_floor(state, now_s)
        if now_s < stock.hold_until_s:
            return self._refuse(state, now_s)
        return await self._wait_for_token(state, now_s)

    def give_back(self, token: Token) -> None:
        """Take back the token of a call that hasn't run, once."""
        state = self._states.get(token.workspace)
        if state is None:
            return
        fresh = state.stock.give_back(token, self._clock.monotonic())
        self._count("quota_returned" if fresh else "quota_returned_late")

    def is_too_late(self, token: Token) -> bool:
        """Return whether a token expired too long ago to start a call with it."""
        if token == _UNLIMITED:
            return False
        return self._clock.monotonic() > token.expires_s + _MAX_START_AFTER_EXPIRY_S

    def take_grant(self, workspace: str, grant: QuotaGrant) -> None:
        """Take in a response of a grantor; one that isn't waited for is ignored."""
        state = self._states.get(workspace)
        pending = None if state is None else state.pending
        if pending is None or grant.number != pending.ask.number:
            return
        now_s = self._clock.monotonic()
        self._stop_waiting(state)
        if not grant.is_grantor:
            self._on_failed_ask(state, pending, now_s)
            return
        state.failed_asks = 0
        stock = state.stock
        if stock.is_silent:
            log_event(
                "quota.grantor_reached",
                workspace=workspace,
                silent_s=stock.silent_s(now_s),
            )
        stock.add_grant(grant, asked_at_s=pending.sent_at_s, now_s=now_s)
        self._serve_waiting(state, now_s)

    def note_new_grantors(self) -> None:
        """Ask the grantors again instead of their deputies."""
        for state in self._states.values():
            state.asks_deputy = False

    def prune(self) -> None:
        """Drop the states of workspaces without requests, and those without a limit.

        States in use follow the number of nodes.
        """
        now_s = self._clock.monotonic()
        for workspace, state in list(self._states.items()):
            idle = now_s - state.stock.used_at_s > _IDLE_STOCK_S
            limit = self._limit_of(workspace)
            if not state.waiting and (idle or limit is None):
                self._stop_waiting(state)
                del self._states[workspace]
            elif limit is not None:
                state.stock.set_limit(limit, nodes=self._node_count())

    def _state_of(
        self, workspace: str, limit: QuotaLimit, now_s: float
    ) -> _WorkspaceState:
        state = self._states.get(workspace)
        if state is None:
            stock = Stock(
                workspace,
                limit,
                bounds=self._bounds,
                nodes=self._node_count(),
                now_s=now_s,
            )
            state = self._states[workspace] = _WorkspaceState(stock)
        elif state.stock.limit != limit:
            state.stock.set_limit(limit, nodes=self._node_count())
        return state

    async def _wait_for_token(
        self, state: _WorkspaceState, now_s: float
    ) -> Token | Failure:
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        state.waiting.append(future)
        deadline = loop.call_later(_MAX_CALL_WAIT_S, self._end_wait, state, future)
        try:
            if state.pending is None:
                self._ask(state, now_s)
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                result = future.result()
                if isinstance(result, Token):
                    self.give_back(result)
            raise
        finally:
            deadline.cancel()

    def _end_wait(
        self, state: _WorkspaceState, future: asyncio.Future[Token | Failure]
    ) -> None:
        """End the wait of a call at its deadline."""
        if not future.done():
            state.waiting.remove(future)
            future.set_result(self._take_floor(state, self._clock.monotonic()))

    def _ask(self, state: _WorkspaceState, now_s: float) -> None:
        """Ask the grantor for tokens, and again if there is no response."""
        stock = state.stock
        self._number += 1
        count = stock.wanted(len(state.waiting), now_s)
        ask = QuotaAsk(stock.workspace, self._node_id, self._number, max(count, 1))
        state.pending = _PendingAsk(ask, now_s)
        self._count("quota_asks")
        grant = self._send(ask, state.asks_deputy)
        if grant is not None:
            self.take_grant(stock.workspace, grant)
            return
        loop = asyncio.get_running_loop()
        state.timer = loop.call_later(_REPEAT_AFTER_S, self._repeat, state)

    def _repeat(self, state: _WorkspaceState) -> None:
        if state.pending is None:
            return
        delay_s = _WAIT_S - _REPEAT_AFTER_S
        if not state.stock.is_silent:
            self._count("quota_asks_repeated")
            grant = self._send(state.pending.ask, state.asks_deputy)
            if grant is not None:
                self.take_grant(state.stock.workspace, grant)
                return
        loop = asyncio.get_running_loop()
        state.timer = loop.call_later(delay_s, self._give_up, state)

    def _give_up(self, state: _WorkspaceState) -> None:
        """Stop waiting; a late response still counts until the next request."""
        state.timer = None
        if state.pending is not None:
            self._on_failed_ask(state, state.pending, self._clock.monotonic())

    def _on_failed_ask(
        self, state: _WorkspaceState, pending: _PendingAsk, now_s: float
    ) -> None:
        """Ask the deputy after the grantor, and the other way round, once each."""
        state.failed_asks += 1
        state.asks_deputy = not state.asks_deputy
        if state.failed_asks < 2:
            self._ask(state, now_s)
            return
        state.failed_asks = 0
        self._on_silence(state, pending, now_s)

    def _on_silence(
        self, state: _WorkspaceState, pending: _PendingAsk, now_s: float
    ) -> None:
        stock = state.stock
        if not stock.is_silent:
            log_event(
                "quota.grantor_silent",
                workspace=stock.workspace,
                waiting=len(state.waiting),
            )
        stock.note_silence(since_s=pending.sent_at_s, now_s=now_s)
        while state.waiting:
            future = state.waiting.popleft()
            if not future.done():
                future.set_result(self._take_floor(state, now_s))

    def _admit_by_floor(self, state: _WorkspaceState, now_s: float) -> Token | Failure:
        """Use the floor at once, and see whether the grantor responds again."""
        if state.timer is None and now_s >= state.stock.hold_until_s:
            self._ask(state, now_s)
            token = state.stock.take(now_s)
            if token is not None:
                return token
        return self._take_floor(state, now_s)

    def _take_floor(self, state: _WorkspaceState, now_s: float) -> Token | Failure:
        token = state.stock.take_floor(now_s, self._rng.random())
        if token is None:
            return self._refuse(state, now_s)
        self._count("quota_floor_admitted")
        return token

    def _serve_waiting(self, state: _WorkspaceState, now_s: float) -> None:
        """Give tokens to the calls that wait; ask for more, or refuse the rest."""
        stock = state.stock
        while state.waiting:
            if state.waiting[0].done():
                state.waiting.popleft()
                continue
            token = stock.take(now_s)
            if token is None:
                break
            state.waiting.popleft().set_result(token)
        if state.waiting and now_s >= stock.hold_until_s:
            self._ask(state, now_s)
            return
        while state.waiting:
            future = state.waiting.popleft()
            if not future.done():
                future.set_result(self._refuse(state, now_s))

    def _refuse(self, state: _WorkspaceState, now_s: float) -> Failure:
        """Return the failure of a call over the quota; log some of them."""
        stock = state.stock
        after_s = stock.retry_after_s(now_s)
        self._count("quota_refused", label=stock.workspace)
        state.refused += 1
        if now_s - state.logged_at_s >= _LOG_INTERVAL_S:
            log_event(
                "quota.exceeded",
                workspace=stock.workspace,
                rate_per_s=stock.limit.rate_per_s,
                burst=stock.limit.burst,
                refused=state.refused,
                grantor_silent=stock.is_silent,
            )
            state.logged_at_s = now_s
            state.refused = 0
        detail = (
            f"workspace {stock.workspace} may send {stock.limit.rate_per_s:g} requests "
            f"per second"
        )
        if stock.is_silent:
            detail += ", and the node that grants them doesn't respond"
        return Failure(Verdict.NOT_RUN, OVER_QUOTA, detail, after_s)

    def _stop_waiting(self, state: _WorkspaceState) -> None:
        state.pending = None
        if state.timer is not None:
            state.timer.cancel()
            state.timer = None
