"""Load generator that sends requests and checks every answer."""

import asyncio
import json
import random
import time
import uuid
from collections import Counter
from typing import NamedTuple

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

_METHODS_AND_PATH_PREFIXES = (
    ("GET", "/profiles/"),
    ("POST", "/confirmations/"),
    ("GET", "/trips/"),
)
_REQUEST_TIMEOUT_S = 10.0
_MAX_CONCURRENT_REQUESTS = 500
_CALL_ID_HEADER = "X-Test-Id"


class LoadReport(NamedTuple):
    """Numbers of calls by outcome.

    :param complete: complete answers to the right request.
    :param faulty: those of them with status 500, which a faulty version sends.
    :param not_run: refused with the verdict that the request did not run.
    :param lost: no answer, or one that does not say whether the request ran.
    :param wrong: truncated, or the answer to another request.
    :param doubled: POST requests that ran more than once.
    """

    calls: int = 0
    complete: int = 0
    faulty: int = 0
    not_run: int = 0
    lost: int = 0
    wrong: int = 0
    doubled: int = 0


class LoadRunner:
    """Sends requests at a constant rate, however long the answers take.

    :param urls: URLs at which nodes accept requests of callers.
    :param calls_per_s: requests per second, over all URLs.
    :param seed: seed of the random choice of requests and nodes.
    """

    def __init__(self, urls: list[str], *, calls_per_s: float, seed: int = 1) -> None:
        self._urls = urls
        self._interval_s = 1.0 / calls_per_s
        self._rng = random.Random(seed)
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CONCURRENT_REQUESTS
        )
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._post_ids: set[str] = set()
        self.report = LoadReport()
        self.latencies_s: list[float] = []
        self.failure_reasons: Counter[str] = Counter()

    def stop(self) -> None:
        """Stop sending new requests."""
        self._stopped.set()

    async def run(self) -> None:
        """Send requests until stopped, then wait for the outstanding answers."""
        next_start_s = time.monotonic()
        while not self._stopped.is_set():
            task = asyncio.create_task(self._call_once())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_start_s += self._interval_s
            await asyncio.sleep(max(0.0, next_start_s - time.monotonic()))
        await asyncio.gather(*self._tasks)

    async def call_until_answered(self, path: str, *, timeout_s: float = 30.0) -> None:
        """Repeat a GET request until a backend server answers it.

        :raises TimeoutError: if none does in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            response = await self._fetch("GET", path, "first")
            if response.code == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"no answer to {path}")

    async def count_duplicates(self, backend_urls: list[str]) -> None:
        """Count the POST requests that ran more than once, and add this to the report.

        The backend servers report how often they ran each request.

        :param backend_urls: URLs of all backend servers.
        """
        runs: dict[str, int] = {}
        for url in backend_urls:
            response = await self._client.fetch(f"{url}/standin/ran")
            for request_id, count in json.loads(response.body).items():
                runs[request_id] = runs.get(request_id, 0) + count
        doubled = sum(runs.get(key, 0) > 1 for key in self._post_ids)
        self.report = self.report._replace(doubled=doubled)

    async def _call_once(self) -> None:
        method, prefix = self._rng.choice(_METHODS_AND_PATH_PREFIXES)
        call_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        path = prefix + call_id
        if method == "POST":
            self._post_ids.add(call_id)
        started_s = time.monotonic()
        response = await self._fetch(method, path, call_id)
        self.latencies_s.append(time.monotonic() - started_s)
        self._record_outcome(response, path, call_id)

    async def _fetch(self, method: str, path: str, call_id: str) -> HTTPResponse:
        """Send one request; return status 599 if the connection breaks."""
        headers = {_CALL_ID_HEADER: call_id}
        if method == "POST":
            headers["Idempotency-Key"] = call_id
        request = HTTPRequest(
            self._rng.choice(self._urls) + path,
            method=method,
            headers=headers,
            body=call_id if method == "POST" else None,
            request_timeout=_REQUEST_TIMEOUT_S,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return HTTPResponse(request, 599)

    def _record_outcome(self, response: HTTPResponse, path: str, call_id: str) -> None:
        report = self.report._replace(calls=self.report.calls + 1)
        verdict = response.headers.get("X-Burdockdock-Verdict")
        if response.code == 599 or verdict is not None:
            self.failure_reasons[_failure_reason(response)] += 1
        if verdict == "not_run":
            report = report._replace(not_run=report.not_run + 1)
        elif response.code == 599 or verdict is not None:
            report = report._replace(lost=report.lost + 1)
        elif response.code == 500:
            report = report._replace(
                faulty=report.faulty + 1, complete=report.complete + 1
            )
        elif _matches_request(response, path, call_id):
            report = report._replace(complete=report.complete + 1)
        else:
            report = report._replace(wrong=report.wrong + 1)
        self.report = report


def _failure_reason(response: HTTPResponse) -> str:
    """Return why a call has no answer of a backend server."""
    if response.code == 599:
        return "connection_broken"
    return json.loads(response.body)["reason"]


def _matches_request(response: HTTPResponse, path: str, call_id: str) -> bool:
    """Return whether an answer is complete and belongs to its request."""
    try:
        answer = json.loads(response.body)
    except ValueError:
        return False
    return (
        response.code == 200
        and answer.get("uri") == path
        and answer.get("test_headers", {}).get(_CALL_ID_HEADER) == call_id
    )
