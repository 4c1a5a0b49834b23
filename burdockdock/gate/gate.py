"""Admission to one backend server: dedupe, slots, and the call itself."""

import asyncio
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.coordination.dedupe import DedupeTable
from burdockdock.coordination.duration_estimator import DurationEstimator
from burdockdock.coordination.limiter import SlotLimiter
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.body_streaming import stream_answer, stream_request_body
from burdockdock.gate.curl_client import CurlClient, Transfer
from burdockdock.gate.exchange import backend_request, check_answer
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.gate.model import (
    DEFAULT_SLOTS,
    BackendServer,
    CallResult,
    CallStream,
)
from burdockdock.gate.results import LatestResults
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest, GateResults

# Other nodes learn within this that the backend server leaves; what is on its way
# until then is still served.
_LEAVE_NOTICE_S = 1.0
# Answers on their way from one gate, all together; at 10 Mbit/s other messages wait for
# 0.1 s behind them. A few calls may exceed it, each by its smallest share.
_ANSWERS_BYTES = 128 * 1024
_SMALLEST_SHARE_BYTES = 16 * 1024
# A wait in vain ends this long before the deadline, for the refusal's way back.
_REFUSAL_WAY_S = 0.005


class Gate:
    """The only way into one backend server.

    ``resend_allowed`` takes the guard against libcurl's own resending out, for
    measurements against a version without it.

    :param observe: told the result of every call that reached the backend server.
    :param is_stopped: tells whether the backend server's version takes no calls.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        observe: Callable[[CallResult], None] = lambda _: None,
        headers: CallHeaders = OWN_HEADERS,
        is_stopped: Callable[[BackendServer], bool] = lambda _: False,
    ) -> None:
        self._is_stopped = is_stopped
        self._clock = clock
        self._headers = headers
        self._closes_at_s = float("inf")
        self._metrics = metrics
        self._client = CurlClient()
        self._limiter = SlotLimiter(slots=DEFAULT_SLOTS, clock=clock)
        self._dedupe = DedupeTable(clock=clock)
        self._durations = DurationEstimator()
        self._results = LatestResults(
            durations=self._durations, metrics=metrics, observe=observe
        )
        self._backend: BackendServer | None = None
        self.resend_allowed = False
        self._draining = False
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def backend(self) -> BackendServer | None:
        """The backend server, None before it announced itself."""
        return self._backend

    @property
    def load(self) -> int:
        """Calls that run or wait here."""
        return self._limiter.in_use + self._limiter.queued

    @property
    def answer_window_bytes(self) -> int:
        """Bytes of one answer that may be on their way, so that none fills the link."""
        share_bytes = _ANSWERS_BYTES // max(1, self._limiter.in_use)
        return max(_SMALLEST_SHARE_BYTES, share_bytes)

    def results(self, route: str) -> GateResults:
        """Return what callers' nodes need to know of this gate's latest calls."""
        return self._results.of_route(route)

    @property
    def running(self) -> int:
        """Calls that run or wait here, until their answers have been passed on."""
        return self._running

    def announce(self, backend: BackendServer) -> None:
        """Take in what the backend server says of itself."""
        self._backend = backend
        self._limiter.resize(backend.slots)

    def set_leaving(self, leaving: bool) -> None:
        """Take in whether the backend server takes no new calls from soon on."""
        if not leaving:
            self._closes_at_s = float("inf")
        elif self._closes_at_s == float("inf"):
            self._closes_at_s = self._clock.monotonic() + _LEAVE_NOTICE_S

    def start_draining(self) -> None:
        """Refuse new calls from now on."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Wait until no call runs or waits."""
        await self._idle.wait()

    def resolve(self, request_id: str, *, time_left_s: float) -> Failure:
        """Tell what became of a request, barring it if it never started."""
        deadline_s = self._clock.monotonic() + time_left_s
        return self._dedupe.resolve(request_id, deadline_s=deadline_s)

    async def run(self, request: CallRequest, stream: CallStream) -> None:
        """Run one call from admission to the end of its answer."""
        self._running += 1
        self._idle.clear()
        try:
            await self._admit(request, stream)
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    async def _admit(self, request: CallRequest, stream: CallStream) -> None:
        deadline_s = self._clock.monotonic() + request.time_left_ms / 1000
        refusal = self._refuse(request)
        if refusal is None:
            refusal = self._claim(request, deadline_s)
        if refusal is not None:
            self._refused(request, refusal, stream)
            return
        try:
            refusal = await self._acquire(request, deadline_s)
        except asyncio.CancelledError:
            self._dedupe.finish(request.request_id, Verdict.NOT_RUN)
            self._refused(request, Failure(Verdict.NOT_RUN, "withdrawn"), stream)
            raise
        if refusal is not None:
            self._dedupe.release(request.request_id)
            self._refused(request, refusal, stream)
            return
        try:
            # The backend server may have begun to leave while the call waited.
            refusal = self._refuse_backend(request)
            if refusal is not None:
                self._dedupe.release(request.request_id)
                self._refused(request, refusal, stream)
                return
            await self._call_backend(request, stream, deadline_s)
        finally:
            self._limiter.release(request.workspace)

    async def _acquire(self, request: CallRequest, deadline_s: float) -> Failure | None:
        """Wait for a slot for as long as there is time to use it."""
        needed_s = max(self._durations.min_time_left_s(request.route), _REFUSAL_WAY_S)
        start_by_s = deadline_s - needed_s
        start_by_s = min(start_by_s, self._closes_at_s)
        now_s = self._clock.monotonic()
        wait_s = self._expected_wait_s(request) if request.queue_length else 0.0
        if start_by_s <= now_s + wait_s:
            self._durations.record_refusal(request.route)
            return Failure(Verdict.NOT_RUN, "too_little_time", f"wait {wait_s:.3f} s")
        refusal = await self._limiter.acquire(
            workspace=request.workspace,
            deadline_s=start_by_s,
            priority=request.priority,
            queue_length=request.queue_length,
            target_s=self._start_for_target_s(request, now_s),
        )
        if refusal is not None and refusal.reason == "queue_timeout":
            self._durations.record_refusal(request.route)
        return refusal

    def _expected_wait_s(self, request: CallRequest) -> float:
        """Return how long a request would wait for a slot, by the work ahead of it."""
        ahead = self._limiter.ahead_of(request.priority)
        service_s = self._durations.mean_s(request.route)
        return ahead * service_s / self._limiter.slots

    def _start_for_target_s(self, request: CallRequest, now_s: float) -> float:
        """Return when a request must start for an answer of full value."""
        if not request.target_left_ms:
            return float("inf")
        left_s = request.target_left_ms / 1000
        return now_s + left_s - self._durations.mean_s(request.route)

    def _claim(self, request: CallRequest, deadline_s: float) -> Failure | None:
        """Claim the id; an idempotent request may run again and needs none."""
        if request.idempotent:
            return None
        return self._dedupe.claim(request.request_id, deadline_s=deadline_s)

    def _refuse(self, request: CallRequest) -> Failure | None:
        if self._draining:
            return Failure(Verdict.NOT_RUN, "draining")
        return self._refuse_backend(request)

    def _refuse_backend(self, request: CallRequest) -> Failure | None:
        """Return why the backend server gets no calls now."""
        if self._clock.monotonic() >= self._closes_at_s:
            return Failure(Verdict.NOT_RUN, "backend_leaving")
        if self._backend is None or self._backend.service != request.service:
            return Failure(
                Verdict.NOT_RUN, "not_here", f"{request.service} does not run here"
            )
        if self._is_stopped(self._backend):
            return Failure(Verdict.NOT_RUN, "version_stopped", self._backend.version)
        return None

    def _refused(
        self, request: CallRequest, refusal: Failure, stream: CallStream
    ) -> None:
        self._metrics.count("gate_refusals", label=refusal.reason)
        log_event(
            "gate.refused",
            request=request.request_id,
            route=request.route,
            reason=refusal.reason,
            load=self.load,
            left_ms=request.time_left_ms,
        )
        stream.fail(refusal)

    async def _call_backend(
        self, request: CallRequest, stream: CallStream, deadline_s: float
    ) -> None:
        """Send the request; from the first byte on it may have run."""
        started_s = self._clock.monotonic()
        transfer = self._client.start(
            backend_request(
                self._headers,
                request,
                self._backend,
                left_s=deadline_s - started_s,
                resend_allowed=self.resend_allowed,
            )
        )
        verdict = Verdict.MAY_HAVE_RUN
        upload = self._start_upload(request, stream, transfer)
        try:
            head = await transfer.head()
            if not isinstance(head, Failure):
                wrong = check_answer(self._headers, request, head)
                head = head if wrong is None else wrong
            if isinstance(head, Failure):
                verdict = head.verdict
                self._end_without_answer(request, stream, head, started_s)
                return
            verdict = Verdict.RAN
            complete = await stream_answer(
                transfer,
                head,
                stream,
                load=self.load,
                results=self.results(request.route),
                deadline_s=deadline_s,
                clock=self._clock,
            )
            self._record(request, started_s, status=head.status, complete=complete)
        finally:
            if upload is not None:
                upload.cancel()
            if verdict is not Verdict.RAN and not transfer.sent:
                verdict = Verdict.NOT_RUN
            self._log_end(request, verdict, started_s)
            transfer.cancel()
            self._finish_id(request, verdict)

    def _log_end(
        self, request: CallRequest, verdict: Verdict, started_s: float
    ) -> None:
        backend = self._backend
        log_event(
            "gate.ended",
            request=request.request_id,
            route=request.route,
            instance=backend.instance_id if backend else "",
            verdict=verdict.name.lower(),
            seconds_s=self._clock.monotonic() - started_s,
            in_use=self._limiter.in_use,
            queued=self._limiter.queued,
        )

    def _finish_id(self, request: CallRequest, verdict: Verdict) -> None:
        """Keep the id of what may have run; a refused one may be sent again."""
        if verdict is Verdict.NOT_RUN:
            self._dedupe.release(request.request_id)
        else:
            self._dedupe.finish(request.request_id, verdict)

    def _start_upload(
        self, request: CallRequest, stream: CallStream, transfer: Transfer
    ) -> "asyncio.Task[None] | None":
        if request.body_length == 0:
            return None
        return asyncio.create_task(stream_request_body(request, stream, transfer))

    def _end_without_answer(
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
        status = 503 if failure.verdict is Verdict.NOT_RUN else 0
        self._record(request, started_s, status=status, complete=False)
        stream.fail(failure)

    def _record(
        self, request: CallRequest, started_s: float, *, status: int, complete: bool
    ) -> None:
        seconds_s = self._clock.monotonic() - started_s
        self._results.record(request, seconds_s, status=status, complete=complete)
