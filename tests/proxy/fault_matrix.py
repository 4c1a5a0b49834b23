"""The fault matrix of one request: every fault at every step, beside a naive version.

``python -m tests.proxy.fault_matrix`` runs it and prints docs/FAULTS.md.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.model import BackendServer
from tests.fleet import CONFIG, HOST, Fleet, running_fleet
from tests.relay import Moment, Relay
from tests.support import eventually

ANSWER_BYTES = 400_000
# Only a freeze waits for the deadline; no other verdict may hang on the machine.
_TIMEOUT_MS = 30_000
_FROZEN_TIMEOUT_MS = 1500
_HOLD_S = 2.0
_SETTLE_S = 0.1
_FROZEN = "frozen past the deadline"
_PEER, _BACKEND = "peer", "backend"

STEPS: dict[str, tuple[str, Moment]] = {
    "send": (_PEER, Moment(True, "callStart", True)),
    "admit": (_PEER, Moment(True, "callStart", False)),
    "start": (_BACKEND, Moment(True, "", True)),
    "run": (_BACKEND, Moment(True, "", False)),
    "answer": (_BACKEND, Moment(False, "", True)),
    "answer body": (_BACKEND, Moment(False, "", False)),
    "relay": (_PEER, Moment(False, "answerHead", True)),
    "finish": (_PEER, Moment(False, "answerHead", False)),
}


class Cell(NamedTuple):
    """One fault at one step for one kind of request."""

    step: str
    fault: str
    method: str
    calls: int = 1
    naive: bool = False


class CallOutcome(NamedTuple):
    """What one caller saw, and how often the request ran.

    :param verdict: as told, empty with an answer of the backend server.
    :param whole: whether a whole answer arrived.
    :param broken: whether the transfer broke visibly.
    """

    verdict: str
    whole: bool
    broken: bool
    runs: int


class _Stage:
    """A fleet of three nodes; the call goes from a to b first, then to c."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.peer = Relay(fleet.nodes["b"].membership.own.port, framed=True)
        self.backend: Relay | None = None
        self.platform_down = False

    async def build(self, *, naive: bool, timeout_ms: int) -> None:
        """Start backend servers and put the relays in between."""
        for name in ("b", "c"):
            await self.fleet.add_backend(name, slots=200, latency_ms=30.0)
        await self.fleet.apply(CONFIG.replace("20000", str(timeout_ms)))
        port = int(self.fleet.backends["b"].rpartition(":")[2])
        self.backend = Relay(port, framed=False)
        for relay in (self.peer, self.backend):
            await relay.start()
        node_b = self.fleet.nodes["b"]
        node_b.gate.announce(BackendServer("work", "1", HOST, self.backend.port, 200))
        node_b.gate.announce = lambda backend: None
        node_a = self.fleet.nodes["a"]
        node_a.links.connect = self._connect
        node_a.context.forwarder._balancer.pick = _pick_b_first
        if naive:
            self._make_naive()

    def _make_naive(self) -> None:
        """Forward, and retry on any error; no ids, no questions, no guard."""
        forwarder = self.fleet.nodes["a"].context.forwarder
        forwarder._should_retry = lambda call, body, failure, left: left > 0

        async def resolve_outcome(
            attempt: object, call: object, failure: Failure
        ) -> Failure:
            return failure._replace(verdict=Verdict.NOT_RUN)

        forwarder._resolve_outcome = resolve_outcome
        for node in self.fleet.nodes.values():
            node.gate._claim = lambda request, deadline_s: None
            node.gate.resend_allowed = True

    async def _connect(self, host: str, port: int) -> IOStream:
        """Lead node a's connections to node b through the relay."""
        own_b = self.fleet.nodes["b"].membership.own
        port = self.peer.port if port == own_b.port else port
        return await TCPClient().connect(host, port)

    def close(self) -> None:
        """Stop the relays."""
        self.peer.close()
        if self.backend is not None:
            self.backend.close()


async def _cut(stage: _Stage, relay: Relay) -> None:
    relay.cut()


async def _kill_node(stage: _Stage, relay: Relay) -> None:
    stage.peer.refuse()
    await stage.fleet.nodes["b"].close()


async def _restart_node(stage: _Stage, relay: Relay) -> None:
    """A node that comes back under its name and address remembers nothing."""
    stage.peer.cut()
    gate = stage.fleet.nodes["b"].gate
    gate._dedupe._entries.clear()
    identity = stage.fleet.nodes["b"]._peer_server._own
    stage.fleet.nodes["b"]._peer_server._own = identity._replace(
        incarnation=identity.incarnation + 1
    )


async def _kill_backend(stage: _Stage, relay: Relay) -> None:
    stage.backend.refuse()


async def _freeze(stage: _Stage, relay: Relay) -> None:
    """Hold everything past the deadline, then let the late bytes arrive."""
    relay.hold()
    asyncio.get_running_loop().call_later(_HOLD_S, relay.release)


async def _drain(stage: _Stage, relay: Relay) -> None:
    stage.fleet.nodes["b"].gate.start_draining()


async def _change_config(stage: _Stage, relay: Relay) -> None:
    await stage.fleet.apply(CONFIG.replace("20000", str(_TIMEOUT_MS - 1)))


async def _platform_down(stage: _Stage, relay: Relay) -> None:
    request = HTTPRequest(
        f"{stage.fleet.platform_url}/switches", method="POST", body='{"down": true}'
    )
    await CurlAsyncHTTPClient().fetch(request)


FAULTS: dict[str, Callable[[_Stage, Relay], Awaitable[None]]] = {
    "connection cut": _cut,
    "node b killed": _kill_node,
    "node b restarted": _restart_node,
    "backend server killed": _kill_backend,
    _FROZEN: _freeze,
    "node b draining": _drain,
    "configuration changed": _change_config,
    "platform down": _platform_down,
}
HARMLESS = ("node b draining", "configuration changed", "platform down")


async def run_cell(cell: Cell) -> list[CallOutcome]:
    """Run one cell in a fleet of its own and return what every caller saw."""
    async with running_fleet("a", "b", "c") as fleet:
        stage = _Stage(fleet)
        try:
            frozen = cell.fault == _FROZEN
            timeout_ms = _FROZEN_TIMEOUT_MS if frozen else _TIMEOUT_MS
            await stage.build(naive=cell.naive, timeout_ms=timeout_ms)
            await _warm_up(stage)
            return await _run_calls(stage, cell)
        finally:
            stage.close()


async def _warm_up(stage: _Stage) -> None:
    """Open the connections that a running node has; nothing is counted yet."""
    outcome = await _call(stage, "GET", "warm-up")
    assert outcome[1], "the warm-up call was not answered"


async def _run_calls(stage: _Stage, cell: Cell) -> list[CallOutcome]:
    where, moment = STEPS[cell.step]
    relay = stage.peer if where == _PEER else stage.backend
    relay.moment = moment
    relay.action = lambda: FAULTS[cell.fault](stage, relay)
    ids = [f"call-{i}" for i in range(cell.calls)]
    calls = [_call(stage, cell.method, call_id) for call_id in ids]
    seen = await asyncio.gather(*calls)
    assert relay.fired, f"the moment of {cell} never came"
    await eventually(lambda: relay._flowing.is_set())
    await asyncio.sleep(_SETTLE_S)
    runs = await _witness(stage.fleet)
    return [
        CallOutcome(verdict, whole, broken, runs.get(call_id, 0))
        for call_id, (verdict, whole, broken) in zip(ids, seen, strict=True)
    ]


async def _call(stage: _Stage, method: str, call_id: str) -> tuple[str, bool, bool]:
    """Make one call; return the verdict told, whether whole, whether broken."""
    request = HTTPRequest(
        f"{stage.fleet.callers['a']}/bytes/{ANSWER_BYTES}",
        method=method,
        headers={"X-Test-Id": call_id},
        body=call_id if method == "POST" else None,
        request_timeout=60,
    )
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=200)
    try:
        response = await client.fetch(request, raise_error=False)
    except HTTPError:
        return "", False, True
    verdict = response.headers.get("X-Burdockdock-Verdict", "")
    whole = not verdict and len(response.body) == ANSWER_BYTES
    return verdict, whole, False


async def _witness(fleet: Fleet) -> dict[str, int]:
    """Return how often each request ran, as the backend servers logged it."""
    runs: dict[str, int] = {}
    for url in fleet.backends.values():
        response = await CurlAsyncHTTPClient().fetch(f"{url}/standin/ran")
        for call_id, count in json.loads(response.body).items():
            runs[call_id] = runs.get(call_id, 0) + count
    return runs


def _pick_b_first(
    members: list[Member], *, excluded: frozenset[str] = frozenset()
) -> Member | None:
    order = sorted(members, key=lambda m: (m.node_id in excluded, m.node_id))
    return order[0] if order else None


def find_fault(cell: Cell, outcome: CallOutcome) -> str:
    """Return which promise an outcome breaks, empty for none."""
    if cell.method == "POST" and outcome.runs > 1:
        return f"ran {outcome.runs} times"
    if outcome.verdict == "not_run" and outcome.runs:
        return "said not run, but it ran"
    if outcome.verdict == "ran" and outcome.runs != 1:
        return "said ran, but it did not run once"
    if outcome.whole and not outcome.runs:
        return "an answer without a run"
    if not (outcome.whole or outcome.broken or outcome.verdict):
        return "a short body passed for whole"
    if cell.fault in HARMLESS and not outcome.whole:
        return "a planned change lost the call"
    return ""


def describe(cell: Cell, outcomes: list[CallOutcome]) -> str:
    """Return a cell of the table."""
    faults = {find_fault(cell, outcome) for outcome in outcomes} - {""}
    if faults:
        return "**" + ", ".join(sorted(faults)) + "**"
    texts = {
        "whole answer" if o.whole else o.verdict.replace("_", " ") or "broken off"
        for o in outcomes
    }
    return ", ".join(sorted(texts))


_HEADER = """# Faults of one request

Every fault at every step of a call from node a to the backend server beside node b,
with a second backend server beside node c. Printed by
`python -m tests.proxy.fault_matrix` from the run itself;
`tests/proxy/test_fault_matrix.py` runs the same cells. The witness is the backend
servers' log of what ran. The naive version forwards and retries on any error. Bold: a
promise was broken.

Steps: *send* before node b gets the request, *admit* after; *start* before the
backend server gets it, *run* after; *answer* before its answer leaves, *answer body*
in the middle of it; *relay* before node b's answer reaches node a, *finish* in the
middle of it.

| step | fault | GET | POST | GET, naive | POST, naive |
|---|---|---|---|---|---|"""


async def _print_table() -> None:
    print(_HEADER)
    for step in STEPS:
        for fault in FAULTS:
            texts = []
            for naive in (False, True):
                for method in ("GET", "POST"):
                    cell = Cell(step, fault, method, naive=naive)
                    texts.append(describe(cell, await run_cell(cell)))
            print(f"| {step} | {fault} | {' | '.join(texts)} |", flush=True)


if __name__ == "__main__":
    asyncio.run(_print_table())
