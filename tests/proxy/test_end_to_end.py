"""Tests of calls through two nodes, compared with direct calls to the backend."""

import asyncio
import hashlib
import json
from typing import NamedTuple

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from tests import streams
from tests.fleet import CONFIG, Fleet, running_fleet
from tests.support import async_test, eventually

_VARYING_HEADERS = {"Date", "Connection", "Transfer-Encoding", "Keep-Alive"}
_OWN_HEADERS = {"X-Burdockdock"}
_LARGE_BYTES = 50 * 1024 * 1024


class Answer(NamedTuple):
    """What a caller receives."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body_digest: str
    body_bytes: int


async def _call(url: str, path: str, **options: object) -> Answer:
    """Make one call; a broken transfer gives status 599."""
    digest = hashlib.sha256()
    size_bytes = 0

    def receive(chunk: bytes) -> None:
        nonlocal size_bytes
        size_bytes += len(chunk)
        digest.update(chunk)

    client = CurlAsyncHTTPClient()
    request = HTTPRequest(
        url + path,
        streaming_callback=receive,
        request_timeout=60,
        decompress_response=False,
        follow_redirects=False,
        **options,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except HTTPError as error:
        return Answer(error.code, "broken", (), "", size_bytes)
    headers = sorted(
        (name, value)
        for name, value in response.headers.get_all()
        if name not in _VARYING_HEADERS
    )
    return Answer(
        response.code, response.reason, tuple(headers), digest.hexdigest(), size_bytes
    )


_REQUESTS = {
    "plain": ("/a/b?c=d&e=%2F", {}),
    "dots are kept": ("/a/../b//c", {}),
    "headers": ("/x", {"headers": {"X-Test-One": "1", "X-Test-Empty": ""}}),
    "head": ("/x", {"method": "HEAD"}),
    "delete": ("/x", {"method": "DELETE"}),
    "options": ("/x", {"method": "OPTIONS"}),
    "post empty": ("/x", {"method": "POST", "body": ""}),
    "post": ("/x", {"method": "POST", "body": "hello" * 100}),
    "put": ("/x", {"method": "PUT", "body": b"\x00\xff" * 5000}),
    "patch": ("/x", {"method": "PATCH", "body": "p"}),
    "post large": ("/x", {"method": "POST", "body": b"x" * _LARGE_BYTES}),
    "204": ("/status/204", {}),
    "304": ("/status/304", {}),
    "404": ("/status/404", {}),
    "500": ("/status/500", {}),
    "empty body": ("/bytes/0", {}),
    "large body": (f"/bytes/{_LARGE_BYTES}", {}),
    "chunked body": ("/bytes/1000000?chunked=1", {}),
    "head of a large body": (f"/bytes/{_LARGE_BYTES}", {"method": "HEAD"}),
    "short body": ("/short/100000", {}),
}


class EndToEndTest(testtools.TestCase):
    """Tests of calls from node a to the backend server of node b."""

    async def _start_backend(self, fleet: Fleet) -> tuple[str, str]:
        backend = await fleet.add_backend("b", slots=100)
        await fleet.apply()
        return fleet.callers["a"], backend

    @async_test
    async def test_answers_equal_those_of_the_backend_server(self) -> None:
        async with running_fleet("a", "b") as fleet:
            through, direct = await self._start_backend(fleet)
            for name, (path, options) in _REQUESTS.items():
                expected = await _call(direct, path, **options)
                self.assertEqual(expected, await _call(through, path, **options), name)

    @async_test
    async def test_every_answer_belongs_to_its_request(self) -> None:
        async with running_fleet("a", "b") as fleet:
            through, _ = await self._start_backend(fleet)

            async def check(i: int) -> None:
                request = HTTPRequest(f"{through}/call/{i}", method="GET")
                response = await CurlAsyncHTTPClient().fetch(request)
                self.assertEqual(f"/call/{i}", json.loads(response.body)["uri"])

            await asyncio.gather(*(check(i) for i in range(200)))

    @async_test
    async def test_slow_reader_gets_everything_and_blocks_no_other_call(self) -> None:
        async with running_fleet("a", "b") as fleet:
            through, _ = await self._start_backend(fleet)
            port = int(through.rpartition(":")[2])
            reader, writer = await streams.open_connection(
                "127.0.0.1", port, limit=1024
            )
            writer.write(
                b"GET /bytes/20000000 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
            await reader.readuntil(b"\r\n\r\n")
            answer = await _call(through, "/quick")
            self.assertEqual(200, answer.status)
            size_bytes = 0
            while chunk := await reader.read(1 << 20):
                size_bytes += len(chunk)
            self.assertEqual(20_000_000, size_bytes)
            writer.close()

    @async_test
    async def test_caller_that_leaves_early_frees_its_slot(self) -> None:
        async with running_fleet("a", "b") as fleet:
            through, _ = await self._start_backend(fleet)
            port = int(through.rpartition(":")[2])
            reader, writer = await streams.open_connection(
                "127.0.0.1", port, limit=1024
            )
            writer.write(b"GET /bytes/50000000 HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            gate = fleet.nodes["b"].gate
            self.assertEqual(1, gate.load)
            writer.close()
            await eventually(lambda: gate.load == 0)

    @async_test
    async def test_refusals_carry_their_verdict(self) -> None:
        async with running_fleet("a", "b") as fleet:
            await fleet.apply(CONFIG.replace("path = /\n", "path = /only\n"))
            through = fleet.callers["a"]
            for path, reason, status in (
                ("/other", "no_route", 404),
                ("/only/x", "no_backend_server", 503),
            ):
                client = CurlAsyncHTTPClient()
                try:
                    await client.fetch(through + path)
                except HTTPError as error:
                    answer = json.loads(error.response.body)
                    self.assertEqual(status, error.code)
                    self.assertEqual(("not_run", reason), tuple(answer.values())[:2])
                    self.assertEqual(
                        "not_run", error.response.headers["X-Burdockdock-Verdict"]
                    )
                else:
                    self.fail("the call was not refused")

    @async_test
    async def test_a_caller_that_left_cancels_its_running_call(self) -> None:
        async with running_fleet("a", "b") as fleet:
            await fleet.apply()
            await fleet.add_backend("b", latency_ms=15_000.0)
            port = int(fleet.callers["a"].rpartition(":")[2])
            gate = fleet.nodes["b"].gate
            for method in ("GET", "POST"):
                _, writer = await streams.open_connection("127.0.0.1", port)
                head = f"{method} /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
                await eventually(lambda: gate.running == 1)
                writer.close()
                await eventually(lambda: gate.running == 0, patience_s=10.0)

    @async_test
    async def test_draining_backend_server_gets_no_new_calls(self) -> None:
        async with running_fleet("a", "b", "c") as fleet:
            await fleet.add_backend("b", slots=100)
            await fleet.add_backend("c", slots=100)
            await fleet.apply()
            backend = fleet.nodes["b"].gate.backend
            fleet.nodes["b"].gate.announce = lambda _: None
            fleet.nodes["b"]._announce(backend, draining=True)
            known = fleet.nodes["a"].membership
            await eventually(lambda: not known.get("b").takes_work)
            await asyncio.gather(
                *(_call(fleet.callers["a"], f"/x/{i}") for i in range(30))
            )
            request = HTTPRequest(f"{fleet.backends['b']}/standin/ran")
            ran = json.loads((await CurlAsyncHTTPClient().fetch(request)).body)
            self.assertEqual({}, ran)

    @async_test
    async def test_repeated_key_runs_once_on_whichever_node_it_arrives(self) -> None:
        async with running_fleet("a", "b", "c", "d") as fleet:
            for name in ("b", "c", "d"):
                await fleet.add_backend(name, slots=100, latency_ms=20.0)
            await fleet.apply()

            async def post(i: int) -> Answer:
                caller = fleet.callers["abcd"[i % 4]]
                headers = {"Idempotency-Key": f"key-{i % 5}"}
                return await _call(
                    caller, "/x", method="POST", body="", headers=headers
                )

            first = await asyncio.gather(*(post(i) for i in range(40)))
            again = [await post(i) for i in range(20)]
            self.assertEqual(5, sum(answer.status == 200 for answer in first))
            self.assertEqual({409}, {answer.status for answer in again})
            runs = 0
            for url in fleet.backends.values():
                response = await CurlAsyncHTTPClient().fetch(f"{url}/standin/ran")
                runs += sum(json.loads(response.body).values())
            self.assertEqual(5, runs)
