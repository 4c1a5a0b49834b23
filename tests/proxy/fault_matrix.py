"""The fault matrix of one request: every fault at every step, with a naive comparison.

``python -m tests.proxy.fault_matrix`` runs it and prints docs/FAULTS.md.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.curl_client import CurlClient
from burdockdock.gate.model import BackendServer
from burdockdock.gate.transfer import Transfer
from tests.fleet import CONFIG, HOST, Fleet, running_fleet
from tests.relay import Moment, Relay
from tests.support import eventually

ANSWER_BYTES = 400_000
# Only a freeze should run into the deadline. Other faults get a long one, so that their
# verdicts don't depend on the speed of the machine.
_TIMEOUT_MS = 30_000
_FREEZE_TIMEOUT_MS = 1500
_FREEZE_S = 2.0
_LATE_RUN_WAIT_S = 0.1
_FREEZE_FAULT = "frozen past the deadline"
_PEER_RELAY, _BACKEND_RELAY = "peer", "backend"

STEPS: dict[str, tuple[str, Moment]] = {
    "send": (_PEER_RELAY, Moment(True, "callStart", True)),
    "admit": (_PEER_RELAY, Moment(True, "callStart", False)),
    "start": (_BACKEND_RELAY, Moment(True, "", True)),
    "run": (_BACKEND_RELAY, Moment(True, "", False)),
    "answer": (_BACKEND_RELAY, Moment(False, "", True)),
    "answer body": (_BACKEND_RELAY, Moment(False, "", False)),
    "relay": (_PEER_RELAY, Moment(False, "answerHead", True)),
    "finish": (_PEER_RELAY, Moment(False, "answerHead", False)),
}


class Cell(NamedTuple):
    """One fault at one step for one kind of request."""

    step: str
    fault: str
    method: str
    calls: int = 1
    naive: bool = False


class CallOutcome(NamedTuple):
    """What one caller received, and how often its request ran.

    :param verdict: as reported, empty if the answer is the backend server's.
    :param whole: whether a complete answer arrived.
    :param broken: whether the transfer broke visibly.
    :param runs: how often the backend servers ran the request.
    """

    verdict: str
    whole: bool
    broken: bool
    runs: int


class _Testbed:
    """A fleet of three nodes, where calls go from node a to b first, then to c."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.peer = Relay(fleet.nodes["b"].membership.own.port, framed=True)
        self.backend: Relay | None = None
        self.platform_down = False

    async def build(self, *, naive: bool, timeout_ms: int) -> None:
        """Start the backend servers and the relays in front of them and of node b."""
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
            self._disable_safeguards()

    def _disable_safeguards(self) -> None:
        """Retry after any error, without dedupe, outcome queries or resend checks."""
        forwarder = self.fleet.nodes["a"].context.forwarder
        forwarder._should_retry = lambda call, body, failure, charges: True

        async def resolve_outcome(
            attempt: object, call: object, failure: Failure
        ) -> Failure:
            return failure._replace(verdict=Verdict.NOT_RUN)

        forwarder._resolve_outcome = resolve_outcome
        for node in self.fleet.nodes.values():
            node.gate._claim = lambda request, deadline_s: None
            _allow_resends(node.gate._backend_calls._client)

    async def _connect(self, host: str, port: int) -> IOStream:
        """Connect node a to other nodes, to node b through the relay."""
        own_b = self.fleet.nodes["b"].membership.own
        port = self.peer.port if port == own_b.port else port
        return await TCPClient().connect(host, port)

    def close(self) -> None:
        """Stop the relays."""
        self.peer.close()
        if self.backend is not None:
            self.backend.close()


def _allow_resends(client: CurlClient) -> None:
    """Let libcurl send requests again by itself."""
    start = client.start

    def start_unguarded(*args: Any, **options: Any) -> Transfer:
        transfer = start(*args, **options)
        transfer._may_send = lambda: True
        return transfer

    client.start = start_unguarded


async def _cut(testbed: _Testbed, relay: Relay) -> None:
    relay.cut()


async def _kill_node(testbed: _Testbed, relay: Relay) -> None:
    testbed.peer.refuse()
    await testbed.fleet.nodes["b"].close()


async def _restart_node(testbed: _Testbed, relay: Relay) -> None:
    """Simulate a restart: same id and address, new incarnation, no dedupe entries."""
    testbed.peer.cut()
    gate = testbed.fleet.nodes["b"].gate
    gate._dedupe._entries.clear()
    identity = testbed.fleet.nodes["b"]._peer_server._own
    testbed.fleet.nodes["b"]._peer_server._own = identity._replace(
        incarnation=identity.incarnation + 1
    )


async def _kill_backend(testbed: _Testbed, relay: Relay) -> None:
    testbed.backend.refuse()


async def _freeze(testbed: _Testbed, relay: Relay) -> None:
    """Hold all data until after the deadline, then pass it on late."""
    relay.hold()
    asyncio.get_running_loop().call_later(_FREEZE_S, relay.release)


async def _drain(testbed: _Testbed, relay: Relay) -> None:
    testbed.fleet.nodes["b"].gate.start_draining()


async def _change_config(testbed: _Testbed, relay: Relay) -> None:
    await testbed.fleet.apply(CONFIG.replace("20000", str(_TIMEOUT_MS - 1)))


async def _platform_down(testbed: _Testbed, relay: Relay) -> None:
    request = HTTPRequest(
        f"{testbed.fleet.platform_url}/switches", method="POST", body='{"down": true}'
    )
    await CurlAsyncHTTPClient().fetch(request)


FAULTS: dict[str, Callable[[_Testbed, Relay], Awaitable[None]]] = {
    "connection cut": _cut,
    "node b killed": _kill_node,
    "node b restarted": _restart_node,
    "backend server killed": _kill_backend,
    _FREEZE_FAULT: _freeze,
    "node b draining": _drain,
    "configuration changed": _change_config,
    "platform down": _platform_down,
}
HARMLESS_FAULTS = ("node b draining", "configuration changed", "platform down")


async def run_cell(cell: Cell) -> list[CallOutcome]:
    """Run one cell in its own fleet and return the outcome of each call."""
    async with running_fleet("a", "b", "c") as fleet:
        testbed = _Testbed(fleet)
        try:
            frozen = cell.fault == _FREEZE_FAULT
            timeout_ms = _FREEZE_TIMEOUT_MS if frozen else _TIMEOUT_MS
            await testbed.build(naive=cell.naive, timeout_ms=timeout_ms)
            await _warm_up(testbed)
            return await _run_calls(testbed, cell)
        finally:
            testbed.close()


async def _warm_up(testbed: _Testbed) -> None:
    """Open the connections between the nodes before the fault is armed."""
    outcome = await _call(testbed, "GET", "warm-up")
    assert outcome[1], "the warm-up call was not answered"


async def _run_calls(testbed: _Testbed, cell: Cell) -> list[CallOutcome]:
    relay_name, moment = STEPS[cell.step]
    relay = testbed.peer if relay_name == _PEER_RELAY else testbed.backend
    relay.moment = moment
    relay.action = lambda: FAULTS[cell.fault](testbed, relay)
    ids = [f"call-{i}" for i in range(cell.calls)]
    calls = [_call(testbed, cell.method, call_id) for call_id in ids]
    results = await asyncio.gather(*calls)
    assert relay.fired, f"the fault of {cell} was never triggered"
    await eventually(lambda: relay._flowing.is_set())
    await asyncio.sleep(_LATE_RUN_WAIT_S)
    runs = await _count_runs(testbed.fleet)
    return [
        CallOutcome(verdict, whole, broken, runs.get(call_id, 0))
        for call_id, (verdict, whole, broken) in zip(ids, results, strict=True)
    ]


async def _call(testbed: _Testbed, method: str, call_id: str) -> tuple[str, bool, bool]:
    """Make one call.

    :returns: verdict, whole and broken as in ``CallOutcome``.
    """
    request = HTTPRequest(
        f"{testbed.fleet.callers['a']}/bytes/{ANSWER_BYTES}",
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


async def _count_runs(fleet: Fleet) -> dict[str, int]:
    """Return how often each request ran, according to the backend servers."""
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


def find_violation(cell: Cell, outcome: CallOutcome) -> str:
    """Return which guarantee an outcome violates, empty for none."""
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
    if cell.fault in HARMLESS_FAULTS and not outcome.whole:
        return "a planned change lost the call"
    return ""


def describe(cell: Cell, outcomes: list[CallOutcome]) -> str:
    """Return the text of a cell in the printed table."""
    violations = {find_violation(cell, outcome) for outcome in outcomes} - {""}
    if violations:
        return "**" + ", ".join(sorted(violations)) + "**"
    texts = {
        "whole answer" if o.whole else o.verdict.replace("_", " ") or "broken off"
        for o in outcomes
    }
    return ", ".join(sorted(texts))


_TABLE_HEADER = """# Faults of one request

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
    print(_TABLE_HEADER)
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
