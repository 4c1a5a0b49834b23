"""HTTP calls to the platform, their failures and its outages."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any, NamedTuple

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.http_syntax import is_final_status
from burdockdock.logs import log_event
from burdockdock.platform_api.dialect import ApiCall
from burdockdock.platform_api.era import StoreEra
from burdockdock.platform_api.json_text import parse_json
from burdockdock.platform_api.response_head import ResponseHead

_CONNECT_TIMEOUT_S = 1.0
_MAX_CONCURRENT_CALLS = 16
# Longest part of a line that is shown.
_MAX_LINE_BYTES = 200
# Statuses with which the platform rejects a call without running it.
_REFUSAL_STATUSES = frozenset({429, 503})
# Statuses of calls that the platform processed.
_PROCESSED_STATUSES = frozenset({200, 201, 204, 404, 409})
_HISTORY_GONE_STATUS = 410
_TOO_LARGE_STATUS = 413
# Stands for a call without a response.
_NO_RESPONSE_STATUS = 599


class Response(NamedTuple):
    """A response of the platform with its decoded JSON body.

    :param era: era of the store that it states, 0 if it states none.
    """

    status: int
    body: Any
    era: int = 0


class PlatformTransport:
    """Makes calls to the platform, and notes its outages.

    ``failures_in_row`` is the number of failed calls since the last that succeeded.

    :param url: base URL of the object API.
    :param name: name of the client, sent with each call.
    :param timeout_s: timeout of one call in seconds.
    :param count: increments a counter, given its name and label.
    :param era_header: name of the header that states the era of the store.
    """

    def __init__(
        self,
        url: str,
        *,
        name: str,
        clock: Clock,
        timeout_s: float,
        count: Callable[..., None],
        era_header: str,
    ) -> None:
        self._era_header = era_header
        self.era = StoreEra(count=lambda name: count(name, label=""))
        self._url = url.rstrip("/")
        self._name = name
        self._clock = clock
        self._timeout_s = timeout_s
        self._count = count
        self._http: CurlAsyncHTTPClient | None = None
        self._closed = False
        self._outage_started_at_s: float | None = None
        self.failures_in_row = 0

    async def call(
        self, call: ApiCall, *, label: str, timeout_s: float | None = None
    ) -> Response | Failure:
        """Make one call without retries.

        :param label: kind of the call, for its counter.
        :param timeout_s: timeout in seconds, None for that of all calls.
        :returns: the response if the platform processed the call.
        """
        if self._closed:
            return Failure(
                Verdict.NOT_RUN, "platform_unavailable", "the client is closed"
            )
        self._count("platform_calls", label=label)
        head = ResponseHead()
        try:
            # If the fetch were cancelled together with its caller, tornado would log
            # the response that arrives later.
            fetch = self._http_client().fetch(
                self._request(call, head, timeout_s=timeout_s or self._timeout_s),
                raise_error=False,
            )
            http_response = await asyncio.shield(fetch)
        except (HTTPError, OSError) as error:
            return self.record_failure(Verdict.MAY_HAVE_RUN, _detail_of(error, head))
        return self._read_response(http_response, head)

    def _request(
        self, call: ApiCall, head: ResponseHead, *, timeout_s: float
    ) -> HTTPRequest:
        return HTTPRequest(
            self._url + call.path,
            method=call.method,
            body=call.body,
            headers={"X-Client": self._name, "Content-Type": "application/json"},
            connect_timeout=_CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            prepare_curl_callback=functools.partial(
                _prepare, head, reconnects=self.failures_in_row > 0
            ),
        )

    def _read_response(
        self, response: HTTPResponse, head: ResponseHead
    ) -> Response | Failure:
        status = response.code
        if status == _NO_RESPONSE_STATUS:
            return self.record_failure(Verdict.MAY_HAVE_RUN, str(response.error))
        if not is_final_status(status):
            # Its era is none either.
            return self.record_failure(Verdict.MAY_HAVE_RUN, f"invalid status {status}")
        if not self.era.accept(head.get(self._era_header)):
            return self.record_failure(
                Verdict.MAY_HAVE_RUN, "the response is of an era that is over"
            )
        if status in _REFUSAL_STATUSES:
            return self.record_failure(
                Verdict.NOT_RUN, f"the platform refused the call: status {status}"
            )
        if status == _TOO_LARGE_STATUS:
            return Failure(
                Verdict.NOT_RUN, "too_large", "the platform refused the size"
            )
        if status == _HISTORY_GONE_STATUS:
            self._record_success()
            return Failure(
                Verdict.NOT_RUN, "history_gone", "the revision is too old; list again"
            )
        return self._parse_response(status, response.body)

    def close(self) -> None:
        """Close all connections; who still waits for a response gets none."""
        self._closed = True
        if self._http is not None:
            self._http.close()
            self._http = None

    def _parse_response(self, status: int, body: bytes) -> Response | Failure:
        if status not in _PROCESSED_STATUSES:
            return self.record_failure(
                Verdict.MAY_HAVE_RUN, f"status {status}: {body[:200]!r}"
            )
        try:
            decoded = parse_json(body, on_replaced=_log_odd_values) if body else {}
            response = Response(status, decoded, self.era.newest)
        except ValueError:
            if status == 200:
                return self.record_failure(
                    Verdict.MAY_HAVE_RUN, f"status {status} without a JSON body"
                )
            response = Response(status, {}, self.era.newest)
        self._record_success()
        return response

    def _record_success(self) -> None:
        """Reset the count of failures, and log the end of an outage."""
        self.failures_in_row = 0
        if self._outage_started_at_s is not None:
            outage_s = self._clock.monotonic() - self._outage_started_at_s
            self._outage_started_at_s = None
            log_event("platform.regained", outage_s=outage_s)

    def record_failure(self, verdict: Verdict, detail: str) -> Failure:
        """Count a failed call, and log the start of an outage; return the Failure."""
        self.failures_in_row += 1
        self._count("platform_failures", label=verdict.name.lower())
        if self._outage_started_at_s is None:
            self._outage_started_at_s = self._clock.monotonic()
            log_event("platform.lost", reason=detail)
        return Failure(verdict, "platform_unavailable", detail)

    def _http_client(self) -> CurlAsyncHTTPClient:
        """Return the HTTP client; the first call binds it to the running event loop."""
        if self._http is None:
            self._http = CurlAsyncHTTPClient(
                force_instance=True, max_clients=_MAX_CONCURRENT_CALLS
            )
        return self._http


def _log_odd_values(reason: str) -> None:
    log_event("platform.odd_values", reason=reason)


def _detail_of(error: Exception, head: ResponseHead) -> str:
    if head.malformed_line is None:
        return str(error)
    return f"the response has a malformed line: {head.malformed_line[:_MAX_LINE_BYTES]}"


def _prepare(head: ResponseHead, curl: pycurl.Curl, *, reconnects: bool) -> None:
    """Set options of a transfer that tornado doesn't set.

    :param reconnects: open a new connection: after a failure, all pooled ones may be
        dead.
    """
    head.listen(curl)
    if reconnects:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
