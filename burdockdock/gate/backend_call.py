"""Sends admitted calls to the backend server and forwards its answers."""

import asyncio
import functools
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.coordination.limiter import SlotLimiter
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.answer_rules import check_answer
from burdockdock.gate.body_streaming import stream_answer, stream_request_body
from burdockdock.gate.curl_client import CurlClient
from burdockdock.gate.exchange import backend_request
from burdockdock.gate.headers import CallHeaders
from burdockdock.gate.model import KEPT_CONNECTION_ENDED, BackendServer, CallStream
from burdockdock.gate.results import ResultTracker
from burdockdock.gate.sent_requests import SentRequests
from burdockdock.gate.transfer import MAX_CONNECTION_AGE_S, Transfer
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest

# Connections may be used for up to 1 s beyond the age, which libcurl rounds.
_SENT_REQUESTS_KEPT_S = MAX_CONNECTION_AGE_S + 2.0
# For this long after a kept connection was found dead, only new ones are used.
_FRESH_CONNECTIONS_S = 1.0


class BackendCalls:
    """Runs admitted calls, each of which reaches the backend server once at most.

    :param limiter: has the slot of each call, which its holder releases.
    :param results: gets the result of each call.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        headers: CallHeaders,
        limiter: SlotLimiter,
        results: ResultTracker,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._headers = headers
        self._limiter = limiter
        self._results = results
        self._client = CurlClient()
        self._sent_requests = SentRequests(clock=clock, kept_s=_SENT_REQUESTS_KEPT_S)
        # Monotonic time until which no kept connection is used.
        self._fresh_until_s = float("-inf")

    def close(self) -> None:
        """Stop all calls and close the connections to the backend server."""
        self._client.close()

    async def run(
        self,
        request: CallRequest,
        backend: BackendServer,
        stream: CallStream,
        *,
        deadline_s: float,
        on_end: Callable[[Verdict], None],
    ) -> None:
        """Send a request; once its first byte is sent, it may have run.

        :param on_end: called with the outcome, also if the call is cancelled.
        """
        started_s = self._clock.monotonic()
        transfer = self._start(request, backend, time_left_s=deadline_s - started_s)
        verdict = Verdict.MAY_HAVE_RUN
        status = 0
        upload = _start_upload(request, stream, transfer)
        try:
            head = await transfer.head()
            if isinstance(head, Failure):
                verdict = head.verdict
                self._fail(request, stream, head, started_s)
                return
            verdict = Verdict.RAN
            status = head.status
            complete = await stream_answer(
                transfer,
                head,
                stream,
                load=self._limiter.in_use + self._limiter.queued,
                results=self._results.for_route(request.route),
                deadline_s=deadline_s,
                clock=self._clock,
            )
            self._record_result(
                request, started_s, status=head.status, complete=complete
            )
        finally:
            if upload is not None:
                upload.cancel()
            if verdict is not Verdict.RAN and not transfer.sent:
                verdict = Verdict.NOT_RUN
            self._log_end(request, backend, verdict, started_s, transfer, status=status)
            transfer.cancel()
            on_end(verdict)

    def _start(
        self, request: CallRequest, backend: BackendServer, *, time_left_s: float
    ) -> Transfer:
        was_sent = self._sent_requests.add(request.request_id)
        forgets = self._clock.monotonic() < self._fresh_until_s
        return self._client.start(
            backend_request(
                self._headers,
                request,
                backend,
                time_left_s=time_left_s,
                needs_fresh_connection=was_sent or forgets,
            ),
            check_head=functools.partial(check_answer, self._headers, request),
        )

    def _log_end(
        self,
        request: CallRequest,
        backend: BackendServer,
        verdict: Verdict,
        started_s: float,
        transfer: Transfer,
        *,
        status: int,
    ) -> None:
        log_event(
            "gate.ended",
            request=request.request_id,
            route=request.route,
            instance=backend.instance_id,
            verdict=verdict.name.lower(),
            status=status,
            connection=transfer.connection_port,
            first=transfer.first_on_connection,
            seconds_s=self._clock.monotonic() - started_s,
            in_use=self._limiter.in_use,
            queued=self._limiter.queued,
        )

    def _fail(
        self,
        request: CallRequest,
        stream: CallStream,
        failure: Failure,
        started_s: float,
    ) -> None:
        self._metrics.count("gate_failures", label=failure.reason)
        log_event(
            "gate.failed",
            request=request.request_id,
            reason=failure.reason,
            verdict=failure.verdict.name.lower(),
            detail=failure.detail,
        )
        if failure.reason == KEPT_CONNECTION_ENDED:
            # No evidence about the backend server, but other kept connections are most
            # likely dead as well.
            self._fresh_until_s = self._clock.monotonic() + _FRESH_CONNECTIONS_S
        else:
            # 503 counts as load shedding, as the request did not run; 0 means no
            # answer.
            status = 503 if failure.verdict is Verdict.NOT_RUN else 0
            self._record_result(request, started_s, status=status, complete=False)
        stream.fail(failure)

    def _record_result(
        self, request: CallRequest, started_s: float, *, status: int, complete: bool
    ) -> None:
        duration_s = self._clock.monotonic() - started_s
        self._results.record(request, duration_s, status=status, complete=complete)


def _start_upload(
    request: CallRequest, stream: CallStream, transfer: Transfer
) -> "asyncio.Task[None] | None":
    if request.body_length == 0:
        return None
    return asyncio.create_task(stream_request_body(request, stream, transfer))
