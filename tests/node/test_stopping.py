"""Tests that a stopping node process exits within its grace period."""

import asyncio
import json
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from subprocess import PIPE, STDOUT, Popen

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import Accepted, accept_over_newest
from burdockdock.configuration.ini import read_sections
from burdockdock.platform_api import PlatformClient
from burdockdock.standin.local_fleet import LocalFleet, NodeHandle, NodePlace, free_port
from tests import streams
from tests.node.stuck_process import BLOCKERS
from tests.support import PATIENCE_S, async_test

_HOST = "127.0.0.1"
_GRACE_S = 3.0
# The blockers in these tests last for minutes, so the margin for a slow machine does
# not hide a process that hangs.
_EXIT_TIMEOUT_S = _GRACE_S + 12.0
_CONFIG = """
[defaults]
timeout_ms = 300000
[service work]
[route all]
path = /
service = work
"""
_CHUNK = b"x" * 65536


class _Deployment:
    """A node process and the port of a backend server that the test implements."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.node: NodeHandle | None = None
        self.backend_port = free_port()

    def start_node(self) -> NodeHandle:
        """Start the node process."""
        self.node = self.fleet.start_node(
            NodePlace("node", "r", "z"), limits=f"grace_period = {_GRACE_S:g}s"
        )
        return self.node

    async def apply_config(self) -> None:
        """Store the configuration in the platform."""
        platform = PlatformClient(
            self.fleet.platform_url, name="test", clock=SystemClock()
        )
        async with asyncio.timeout(PATIENCE_S):
            while not isinstance(
                await accept_over_newest(
                    platform,
                    read_sections(_CONFIG),
                    author="test",
                    reason="test",
                    clock=SystemClock(),
                ),
                Accepted,
            ):
                await asyncio.sleep(0.1)

    async def announce(self, node: NodeHandle) -> None:
        """Announce the backend server to a node once."""
        body = {
            "service": "work",
            "version": "1",
            "host": _HOST,
            "port": self.backend_port,
            "slots": 64,
        }
        request = HTTPRequest(
            f"{node.operators_url}/backend", method="POST", body=json.dumps(body)
        )
        await CurlAsyncHTTPClient().fetch(request)

    async def stop(self) -> tuple[int | None, float]:
        """Send SIGTERM to the node.

        :returns: its exit status, None if it still runs, and the elapsed seconds.
        """
        process = self.node.process
        started_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None and time.monotonic() - started_s < _EXIT_TIMEOUT_S:
            await asyncio.sleep(0.02)
        return process.poll(), time.monotonic() - started_s

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection with a small read buffer."""
        return await streams.open_connection(
            _HOST, self.node.callers_port, limit=len(_CHUNK)
        )


@asynccontextmanager
async def _deployment(*, announced: bool = True) -> AsyncIterator[_Deployment]:
    """Run a platform and a serving node.

    :param announced: whether to announce the backend server to it.
    """
    fleet = LocalFleet(mesh="test")
    deployment = _Deployment(fleet)
    try:
        fleet.start_platform()
        await deployment.apply_config()
        deployment.start_node()
        await fleet.wait_ready(members=1, timeout_s=PATIENCE_S)
        if announced:
            await deployment.announce(deployment.node)
        yield deployment
    finally:
        if deployment.node.process.poll() is None:
            deployment.node.process.kill()
            deployment.node.process.wait()
        await asyncio.to_thread(fleet.stop)


async def _write_until_full(writer: asyncio.StreamWriter) -> None:
    """Write until the receiver has read nothing for one second."""
    try:
        while True:
            writer.write(_CHUNK)
            async with asyncio.timeout(1.0):
                await writer.drain()
    except TimeoutError:
        pass


class _SlowBackend:
    """Backend server that takes ``duration_s`` for a call; ``started`` counts them."""

    def __init__(self) -> None:
        self.started = 0
        self.duration_s = 0.02

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.started += 1
                await asyncio.sleep(self.duration_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def _post_until_answered(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> None:
    """Send calls until one is answered, since nodes learn of backend servers late."""
    async with asyncio.timeout(PATIENCE_S):
        while await _post_status(connection) != b"200":
            await asyncio.sleep(0.05)


async def _post_status(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> bytes:
    """Send a request; return the status of its answer, empty without one."""
    reader, writer = connection
    try:
        writer.write(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""
    return head.split()[1]


class HungDrainTest(testtools.TestCase):
    """Tests of a process whose drain hangs."""

    @async_test
    async def test_process_exits_before_the_kill(self) -> None:
        results = await asyncio.gather(
            *(asyncio.to_thread(_stop_stuck_process, n) for n in BLOCKERS)
        )
        for name, (status, output) in zip(BLOCKERS, results, strict=True):
            # Only a blocked event loop needs the faulthandler watchdog.
            expected = (1, "Timeout") if name == "loop" else (0, "node.drain_given_up")
            self.assertEqual(expected[0], status, (name, output))
            self.assertIn(expected[1], output, name)


def _stop_stuck_process(name: str) -> tuple[int | None, str]:
    """Send SIGTERM to a stuck process; return its exit status and output."""
    command = [sys.executable, "-m", "tests.node.stuck_process", name, str(_GRACE_S)]
    with Popen(command, stdout=PIPE, stderr=STDOUT, text=True) as process:
        process.stdout.readline()
        process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + _EXIT_TIMEOUT_S
        while process.poll() is None and time.monotonic() < end_s:
            time.sleep(0.02)
        status = process.poll()
        process.kill()
        return status, process.stdout.read()


class StoppingTest(testtools.TestCase):
    """Tests of node processes that get real signals."""

    async def _check_stop(self, deployment: _Deployment) -> None:
        status, elapsed_s = await deployment.stop()
        log = deployment.node.log_path.read_text()[-3000:]
        self.assertEqual(0, status, f"{elapsed_s:.2f} s\n{log}")

    @async_test
    async def test_backend_server_does_not_read_an_upload(self) -> None:
        arrived = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            await asyncio.sleep(300)

        async with _deployment() as deployment:
            server = await streams.start_server(
                serve, _HOST, deployment.backend_port, limit=len(_CHUNK)
            )
            _, writer = await deployment.connect()
            writer.write(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n")
            writer.write(b"\r\n")
            await _write_until_full(writer)
            await asyncio.wait_for(arrived.wait(), PATIENCE_S)
            await self._check_stop(deployment)
            writer.close()
            server.close()

    @async_test
    async def test_caller_does_not_read_its_answer(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
            await _write_until_full(writer)
            await asyncio.sleep(300)

        async with _deployment() as deployment:
            server = await streams.start_server(serve, _HOST, deployment.backend_port)
            reader, writer = await deployment.connect()
            writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
            await self._check_stop(deployment)
            writer.close()
            server.close()

    @async_test
    async def test_incomplete_requests(self) -> None:
        async with _deployment() as deployment:
            writers = []
            for request_part in (
                b"",
                b"GET /x HT",
                b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
                b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
                b"POST /x HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n9\r\n",
            ):
                _, writer = await deployment.connect()
                writer.write(request_part)
                writers.append(writer)
            await asyncio.sleep(0.3)
            await self._check_stop(deployment)
            for writer in writers:
                writer.close()

    @async_test
    async def test_repeated_signals_during_the_shutdown(self) -> None:
        async with _deployment() as deployment:
            loop = asyncio.get_running_loop()
            process = deployment.node.process
            for i, signal_number in enumerate(
                (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
            ):
                loop.call_later(0.3 * (i + 1), process.send_signal, signal_number)
            await self._check_stop(deployment)

    @async_test
    async def test_many_idle_connections(self) -> None:
        async with _deployment() as deployment:
            pairs = [await deployment.connect() for _ in range(500)]
            await asyncio.sleep(0.3)
            await self._check_stop(deployment)
            for _, writer in pairs:
                writer.close()

    @async_test
    async def test_calls_late_in_the_grace_period_are_refused_or_answered(self) -> None:
        # Guards against calls on kept connections that the end of a stop cuts.
        backend = _SlowBackend()
        async with _deployment(announced=False) as deployment:
            await streams.start_server(backend.serve, _HOST, deployment.backend_port)
            # The backend server's own node goes on, so its gate serves to the end.
            other = deployment.fleet.start_node(NodePlace("other", "r", "z"))
            await deployment.fleet.wait_ready(members=2, timeout_s=PATIENCE_S)
            await deployment.announce(other)
            connections = [await deployment.connect() for _ in range(8)]
            await asyncio.gather(*(_post_until_answered(c) for c in connections))
            backend.started = 0
            # Longer than before, so that the gate doesn't expect it.
            backend.duration_s = 1.0
            stop = asyncio.create_task(deployment.stop())
            calls = []
            for connection in connections:
                calls.append(asyncio.create_task(_post_status(connection)))
                await asyncio.sleep(0.25)
            statuses = await asyncio.gather(*calls)
            await stop
        self.assertEqual(backend.started, statuses.count(b"200"), statuses)
        # A call that crosses the close of its connection has no answer.
        self.assertEqual(set(), set(statuses) - {b"200", b"503", b""}, statuses)

    @async_test
    async def test_stop_while_joining_with_an_unresponsive_platform(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(300)

        fleet = LocalFleet(mesh="test")
        deployment = _Deployment(fleet)
        port = int(fleet.platform_url.rpartition(":")[2])
        server = await streams.start_server(serve, _HOST, port)
        try:
            for delay_s in (1.0, 3.0, 8.0):
                deployment.start_node()
                await asyncio.sleep(delay_s)
                status, elapsed_s = await deployment.stop()
                self.assertLess(elapsed_s, _EXIT_TIMEOUT_S)
                self.assertIn(status, (0, -signal.SIGTERM))
        finally:
            server.close()
            await asyncio.to_thread(fleet.stop)
