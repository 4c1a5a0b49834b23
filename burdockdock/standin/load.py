"""Callers that send requests and check every answer."""

import asyncio
import json
import random
import time
import uuid
from collections import Counter
from typing import NamedTuple

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

_PATHS = (
    ("GET", "/profiles/"),
    ("POST", "/confirmations/"),
    ("GET", "/trips/"),
)
_TIMEOUT_S = 10.0
_MAX_CLIENTS = 500
_ID_HEADER = "X-Test-Id"


class LoadReport(NamedTuple):
    """What became of the calls.

    :param complete: complete answers to the right request.
    :param faulty: those of them with a status of 500, the version's own fault.
    :param not_run: refused with the verdict that the request did not run.
    :param lost: no answer, or one that does not say whether the request ran.
    :param wrong: cut, or the answer to another request.
    :param doubled: requests that ran more than once without being idempotent.
    """

    calls: int = 0
    complete: int = 0
    faulty: int = 0
    not_run: int = 0
    lost: int = 0
    wrong: int = 0
    doubled: int = 0


class LoadRunner:
    """Calls at a steady rate, whatever the answers take.

    :param urls: callers' addresses of nodes.
    """

    def __init__(self, urls: list[str], *, calls_per_s: float, seed: int = 1) -> None:
        self._urls = urls
        self._interval_s = 1.0 / calls_per_s
        self._rng = random.Random(seed)
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._posted: set[str] = set()
        self.report = LoadReport()
        self.latencies_s: list[float] = []
        self.failure_reasons: Counter[str] = Counter()

    def stop(self) -> None:
        """Start no further call."""
        self._stopped.set()

    async def run(self) -> None:
        """Call until stopped, then wait for the answers under way."""
        next_s = time.monotonic()
        while not self._stopped.is_set():
            task = asyncio.create_task(self._call_once())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_s += self._interval_s
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        await asyncio.gather(*self._tasks)

    async def call_until_answered(self, path: str, *, timeout_s: float = 30.0) -> None:
        """Repeat one call until a backend server answers it."""
        give_up_at_s = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at_s:
            response = await self._fetch("GET", path, "first")
            if response.code == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"no answer to {path}")

    async def check_doubled(self, backend_urls: list[str]) -> None:
        """Count the posted requests that ran more than once, from the witnesses."""
        runs: dict[str, int] = {}
        for url in backend_urls:
            response = await self._client.fetch(f"{url}/standin/ran")
            for request_id, count in json.loads(response.body).items():
                runs[request_id] = runs.get(request_id, 0) + count
        doubled = sum(runs.get(key, 0) > 1 for key in self._posted)
        self.report = self.report._replace(doubled=doubled)

    async def _call_once(self) -> None:
        method, prefix = self._rng.choice(_PATHS)
        call_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        path = prefix + call_id
        if method == "POST":
            self._posted.add(call_id)
        started_s = time.monotonic()
        response = await self._fetch(method, path, call_id)
        self.latencies_s.append(time.monotonic() - started_s)
        self._count(response, path, call_id)

    async def _fetch(self, method: str, path: str, call_id: str) -> HTTPResponse:
        """Send one request; a broken one gives status 599."""
        headers = {_ID_HEADER: call_id}
        if method == "POST":
            headers["Idempotency-Key"] = call_id
        request = HTTPRequest(
            self._rng.choice(self._urls) + path,
            method=method,
            headers=headers,
            body=call_id if method == "POST" else None,
            request_timeout=_TIMEOUT_S,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return HTTPResponse(request, 599)

    def _count(self, response: HTTPResponse, path: str, call_id: str) -> None:
        report = self.report._replace(calls=self.report.calls + 1)
        verdict = response.headers.get("X-Burdockdock-Verdict")
        if response.code == 599 or verdict is not None:
            self.failure_reasons[_reason_of(response)] += 1
        if verdict == "not_run":
            report = report._replace(not_run=report.not_run + 1)
        elif response.code == 599 or verdict is not None:
            report = report._replace(lost=report.lost + 1)
        elif response.code == 500:
            report = report._replace(
                faulty=report.faulty + 1, complete=report.complete + 1
            )
        elif _is_right(response, path, call_id):
            report = report._replace(complete=report.complete + 1)
        else:
            report = report._replace(wrong=report.wrong + 1)
        self.report = report


def _reason_of(response: HTTPResponse) -> str:
    """Return why a call has no answer."""
    if response.code == 599:
        return "connection_broken"
    return json.loads(response.body)["reason"]


def _is_right(response: HTTPResponse, path: str, call_id: str) -> bool:
    """Tell whether an answer belongs to its request."""
    try:
        answer = json.loads(response.body)
    except ValueError:
        return False
    return (
        response.code == 200
        and answer.get("uri") == path
        and answer.get("test_headers", {}).get(_ID_HEADER) == call_id
    )
