"""Measures how many requests are served beside backend servers that reset connections.

Usage: python -m bench.resets

One node sends calls to the backend servers of two others. For each way to break off it
prints the share of idempotent calls that are served, and how many arrivals beyond the
first the backend servers got for each call.
"""

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import click
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import accept_over_newest
from burdockdock.configuration.ini import read_sections
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodeHandle, NodePlace, free_port

_HOST = "127.0.0.1"
_CONFIG_TEXT = """
[defaults]
timeout_ms = 2000
retries = 1
[service work]
[route all]
path = /
service = work
"""
_CALLS = 800
_CALLERS = 8
_PAUSE_S = 0.02
_SLOTS = 64
_SEED = 1
_ANNOUNCE_INTERVAL_S = 1.0
_RESULTS_DIR = Path(__file__).parent / "results"


class _Arrival(NamedTuple):
    """A request that reached a backend server.

    :param is_first: whether its connection carried no request before.
    :param idle_s: time since the connection's last request.
    """

    is_first: bool
    idle_s: float


class _Way(NamedTuple):
    """A way to break off.

    :param breaks: returns whether to reset the connection on an arrival, given a random
        fraction.
    :param after_s: time from the arrival to the reset.
    """

    name: str
    breaks: Callable[[_Arrival, float], bool]
    after_s: float


_WAYS = (
    _Way("no resets", lambda arrival, fraction: False, 0.0),
    _Way("idle connections forgotten", lambda a, _: a.idle_s > 0.03, 0.0),
    _Way("every kept connection forgotten", lambda a, _: not a.is_first, 0.0),
    _Way("a tenth of the answers lost after 1 ms", lambda _, f: f < 0.1, 0.001),
    _Way("a third of the answers lost after 1 ms", lambda _, f: f < 0.33, 0.001),
    _Way("a third of the answers lost after 100 ms", lambda _, f: f < 0.33, 0.1),
)


class _Backend:
    """A backend server that resets connections and counts arrivals."""

    def __init__(self) -> None:
        self.way = _WAYS[0]
        self.arrivals: Counter[str] = Counter()
        self.rng = random.Random(_SEED)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        try:
            await self._serve_requests(reader, writer)
        finally:
            writer.transport.abort()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Return when the connection is to be reset or has ended."""
        answered_s = None
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            self.arrivals[_request_id(head)] += 1
            now_s = time.monotonic()
            is_first = answered_s is None
            arrival = _Arrival(is_first, 0.0 if is_first else now_s - answered_s)
            if self.way.breaks(arrival, self.rng.random()):
                await asyncio.sleep(self.way.after_s)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            answered_s = time.monotonic()


def _request_id(head: bytes) -> str:
    name = b"x-burdockdock-request-id:"
    lines = (line for line in head.split(b"\r\n") if line.lower().startswith(name))
    return next(lines).partition(b":")[2].strip().decode()


async def _start_backend(backend: _Backend, node: NodeHandle) -> None:
    """Listen, and announce the backend server to its node from now on."""
    port = free_port()
    await asyncio.start_server(backend.serve, _HOST, port)
    body = {"service": "work", "version": "1", "host": _HOST, "port": port}
    request = HTTPRequest(
        f"{node.operators_url}/backend",
        method="POST",
        body=json.dumps({**body, "slots": _SLOTS, "draining": False}),
    )
    while True:
        # The node may not listen yet.
        with suppress(HTTPError):
            await CurlAsyncHTTPClient().fetch(request)
        await asyncio.sleep(_ANNOUNCE_INTERVAL_S)


async def _call(url: str) -> bool:
    """Make one call; return whether it was served."""
    try:
        client = CurlAsyncHTTPClient()
        return (await client.fetch(url, raise_error=False)).code == 200
    except HTTPError:
        return False


async def _call_often(url: str, calls: int) -> int:
    served = 0
    for _ in range(calls):
        served += await _call(url)
        await asyncio.sleep(_PAUSE_S)
    return served


async def _measure(url: str, way: _Way, backends: list[_Backend]) -> dict[str, Any]:
    for backend in backends:
        backend.way = way
        backend.arrivals.clear()
    callers = [_call_often(url, _CALLS // _CALLERS) for _ in range(_CALLERS)]
    served = sum(await asyncio.gather(*callers))
    calls = _CALLS // _CALLERS * _CALLERS
    arrivals = sum((backend.arrivals for backend in backends), Counter())
    return {
        "way": way.name,
        "served": round(served / calls, 4),
        "repeats_per_call": round((arrivals.total() - len(arrivals)) / calls, 4),
    }


async def _run() -> list[dict[str, Any]]:
    fleet = LocalFleet(mesh="bench")
    announcing = []
    try:
        fleet.start_platform()
        nodes = [fleet.start_node(NodePlace(f"n{i}", "r", f"z{i}")) for i in range(3)]
        backends = [_Backend() for _ in nodes[1:]]
        for backend, node in zip(backends, nodes[1:], strict=True):
            task = asyncio.create_task(_start_backend(backend, node))
            announcing.append(task)
        await fleet.wait_ready(members=3)
        platform = PlatformClient(fleet.platform_url, name="bench", clock=SystemClock())
        await accept_over_newest(
            platform,
            read_sections(_CONFIG_TEXT),
            author="bench",
            reason="bench",
            clock=SystemClock(),
        )
        while not await _call(nodes[0].callers_url):
            await asyncio.sleep(0.1)
        results = []
        for way in _WAYS:
            results.append(await _measure(nodes[0].callers_url, way, backends))
            click.echo(json.dumps(results[-1]))
        return results
    finally:
        for task in announcing:
            task.cancel()
        await asyncio.to_thread(fleet.stop)


@click.command()
def main() -> None:
    """Measure the share of calls that are served beside resets."""
    results = asyncio.run(_run())
    (_RESULTS_DIR / "resets.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
