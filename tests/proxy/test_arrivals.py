"""Tests that the retry budget is charged for each arrival beyond a request's first.

Stand-ins for backend servers reset connections and count what arrives. Whatever the
reason of an arrival is, the sum of the charges equals the arrivals beyond the first.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from burdockdock.coordination.backoff import FleetRetryBudget
from burdockdock.gate.model import BackendServer
from tests import streams
from tests.fleet import HOST, Fleet, running_fleet
from tests.support import async_test

_CONFIG = """
[defaults]
timeout_ms = 20000
retries = 2
[service front]
[service work]
[route front]
path = /front
service = front
[route work]
path = /work
service = work
[route repeatable]
path = /repeatable
service = work
kind = idempotent
[route large]
path = /large
service = work
kind = download
[route once]
path = /once
service = work
kind = non_idempotent
"""
_CALLS = 12
_REQUEST_ID = "x-burdockdock-request-id"
_DEPTH = "x-burdockdock-depth"


class _Kind(NamedTuple):
    """A kind of request."""

    method: str
    path: str
    body: bytes | None = None


_KINDS = (
    _Kind("GET", "/work"),
    _Kind("HEAD", "/work"),
    _Kind("DELETE", "/work"),
    _Kind("PUT", "/work", b"body"),
    _Kind("POST", "/work", b"body"),
    _Kind("POST", "/repeatable", b"body"),
    _Kind("POST", "/repeatable", b""),
    _Kind("GET", "/large"),
    _Kind("GET", "/once"),
)


class _Arrival(NamedTuple):
    """A request that reached a stand-in.

    :param number: of all arrivals there, from 1.
    :param number_on_connection: of the arrivals on its connection, from 1.
    """

    number: int
    number_on_connection: int


def _forgets_connections(arrival: _Arrival) -> bool:
    """Break off every request on a connection that carried another before."""
    return arrival.number_on_connection > 1


def _loses_answers(arrival: _Arrival) -> bool:
    """Break off most requests, also the first on a connection."""
    return arrival.number % 3 != 1


def _loses_all_answers(arrival: _Arrival) -> bool:
    """Break off every request."""
    return True


class _Break(NamedTuple):
    """When a stand-in resets connections.

    :param after_s: time from a request's arrival to the reset.
    """

    breaks: Callable[[_Arrival], bool]
    after_s: float


_BREAKS = (
    _Break(_forgets_connections, 0.0),
    _Break(_forgets_connections, 0.1),
    _Break(_loses_answers, 0.0),
    _Break(_loses_answers, 0.001),
    _Break(_loses_answers, 0.1),
    _Break(_loses_all_answers, 0.0),
)


class _CountingBackend:
    """Counts arrivals by request, and resets connections.

    :param work: awaited by each run with the request's headers and whether the request
        came before.
    """

    def __init__(
        self,
        breaks: _Break,
        work: Callable[[dict[str, str]], object] | None = None,
    ) -> None:
        self.arrivals: Counter[str] = Counter()
        self._breaks = breaks
        self._work = work

    @property
    def repeats(self) -> int:
        """Arrivals beyond the first of each request."""
        return self.arrivals.total() - len(self.arrivals)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        number_on_connection = 0
        while (request := await _read_request(reader)) is not None:
            method, headers = request
            number_on_connection += 1
            self.arrivals[headers[_REQUEST_ID]] += 1
            arrival = _Arrival(self.arrivals.total(), number_on_connection)
            if self._breaks.breaks(arrival):
                await asyncio.sleep(self._breaks.after_s)
                writer.transport.abort()
                return
            if self._work is not None:
                await self._work(headers)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
            writer.write(b"" if method == "HEAD" else b"ok")


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the method and headers of the next request, None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start_line, *lines = head.strip().split("\r\n")
        fields = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return start_line.split(" ")[0], headers


class _RecordingBudget(FleetRetryBudget):
    """A retry budget that counts its charges by service."""

    def __init__(self, reserve: float) -> None:
        super().__init__(share=0.0, reserve=reserve, nodes=lambda: 1)
        self.charges: Counter[str] = Counter()

    def try_spend(self, service: str) -> bool:
        """Count a charge."""
        spent = super().try_spend(service)
        self.charges[service] += spent
        return spent

    def give_back(self, service: str) -> None:
        """Count a charge less."""
        super().give_back(service)
        self.charges[service] -= 1


def _record_charges(fleet: Fleet, *, reserve: float) -> list[_RecordingBudget]:
    """Give each node a retry budget that counts its charges."""
    budgets = []
    for node in fleet.nodes.values():
        budgets.append(_RecordingBudget(reserve))
        node.context.forwarder._budget = budgets[-1]
    return budgets


def _charges(budgets: list[_RecordingBudget], service: str) -> int:
    return sum(budget.charges[service] for budget in budgets)


async def _place(
    fleet: Fleet, name: str, backend: _CountingBackend, *, service: str = "work"
) -> None:
    """Put a stand-in beside a node, in place of its backend server."""
    await fleet.add_backend(name, service=service)
    server = await streams.start_server(backend.serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    gate = fleet.nodes[name].gate
    gate.announce(BackendServer(service, "1", HOST, port, 8))
    gate.announce = lambda _: None


async def _call(
    fleet: Fleet, kind: _Kind, *, headers: dict[str, str] | None = None
) -> int:
    """Make one call through node a; return its status, 0 without an answer."""
    request = HTTPRequest(
        fleet.callers["a"] + kind.path,
        method=kind.method,
        body=kind.body,
        headers=headers,
        request_timeout=60,
    )
    try:
        client = CurlAsyncHTTPClient()
        return (await client.fetch(request, raise_error=False)).code
    except HTTPError:
        return 0


class ArrivalsTest(testtools.TestCase):
    """Tests that arrivals beyond the first equal the charges."""

    async def _check(self, breaks: _Break, names: str, *, reserve: float) -> None:
        """Make calls of each kind through node a, and compare the figures."""
        async with running_fleet(*names) as fleet:
            backends = [_CountingBackend(breaks) for _ in names]
            for name, backend in zip(names, backends, strict=True):
                await _place(fleet, name, backend)
            await fleet.apply(_CONFIG)
            for kind in _KINDS:
                await self._check_kind(fleet, kind, backends, reserve=reserve)

    async def _check_kind(
        self,
        fleet: Fleet,
        kind: _Kind,
        backends: list[_CountingBackend],
        *,
        reserve: float,
    ) -> None:
        for backend in backends:
            backend.arrivals.clear()
        budgets = _record_charges(fleet, reserve=reserve)
        for _ in range(_CALLS):
            await _call(fleet, kind)
        arrivals = sum((backend.arrivals for backend in backends), Counter())
        repeats = arrivals.total() - len(arrivals)
        self.assertEqual(repeats, _charges(budgets, "work"), kind)
        self.assertLessEqual(repeats, reserve, kind)


def _add_test(breaks: _Break, names: str, reserve: float) -> None:
    """Add a test of one way to break off, at as many nodes as there are names."""

    @async_test
    async def test(self: ArrivalsTest) -> None:
        await self._check(breaks, names, reserve=reserve)

    way = breaks.breaks.__name__.strip("_")
    after_ms = round(breaks.after_s * 1000)
    name = f"test_{way}_after_{after_ms}_ms_at_{len(names)}_with_{reserve:.0f}"
    setattr(ArrivalsTest, name, test)


for _breaks in _BREAKS:
    for _names in ("a", "abc"):
        _add_test(_breaks, _names, 100.0)
    _add_test(_breaks, "abc", 5.0)


class ChainTest(testtools.TestCase):
    """Tests of a service whose runs call another service."""

    async def _check(self, breaks: _Break) -> None:
        async with running_fleet("a", "b", "c") as fleet:

            async def call_work(headers: dict[str, str]) -> None:
                depth = {"X-Burdockdock-Depth": headers[_DEPTH]}
                await _call(fleet, _KINDS[0], headers=depth)

            front = _CountingBackend(breaks, call_work)
            work = _CountingBackend(breaks)
            await _place(fleet, "a", front, service="front")
            await _place(fleet, "b", work)
            await fleet.apply(_CONFIG)
            budgets = _record_charges(fleet, reserve=100.0)
            for _ in range(_CALLS):
                await _call(fleet, _Kind("GET", "/front"))
            for service, backend in (("front", front), ("work", work)):
                self.assertEqual(backend.repeats, _charges(budgets, service), service)


def _add_chain_test(breaks: _Break) -> None:
    """Add a test of one way to break off, at both services of a chain."""

    @async_test
    async def test(self: ChainTest) -> None:
        await self._check(breaks)

    after_ms = round(breaks.after_s * 1000)
    name = f"test_{breaks.breaks.__name__.strip('_')}_after_{after_ms}_ms"
    setattr(ChainTest, name, test)


for _breaks in _BREAKS:
    _add_chain_test(_breaks)
