"""Admission control for one backend server: deduplication and slots."""

import asyncio
import functools
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.coordination.dedupe import DedupeTable
from burdockdock.coordination.duration_estimator import DurationEstimator
from burdockdock.coordination.limiter import SlotLimiter
from burdockdock.coordination.shutdown import ShutdownLimit
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_call import BackendCalls
from burdockdock.gate.cold_admission import ColdAdmission, ColdLimits
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.gate.model import (
    BACKEND_COLD,
    DEFAULT_SLOTS,
    ZONE_EVACUATED,
    BackendServer,
    CallResult,
    CallStream,
)
from burdockdock.gate.results import ResultTracker
from burdockdock.gate.work_tracker import (
    ExpectedWork,
    WorkTracker,
    yields_until_s,
)
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import CallRequest, GateResults

# Time for other nodes to learn that the backend server is leaving. Calls that they
# send until then are still served.
_LEAVE_PROPAGATION_S = 1.0
# Limit for the bytes in flight of all answers of one gate together. At 10 Mbit/s it
# delays other messages on the link by 0.1 s. Concurrent calls may exceed it, because
# each gets at least the minimum window.
_MAX_ANSWER_BYTES_IN_FLIGHT = 128 * 1024
_MIN_ANSWER_WINDOW_BYTES = 16 * 1024
# Queueing ends at least this long before the deadline, so that a refusal reaches the
# caller's node in time.
_REFUSAL_TRANSIT_S = 0.005


class Gate:
    """Admits calls to one backend server and runs them.

    All calls to the backend server pass through its gate, which sends each of them
    once at most.

    :param observe: called with the result of each call that got past admission.
    :param headers: names of the headers that the backend server understands.
    :param is_stopped: returns whether the backend server's version was stopped and
        gets no more calls.
    :param cold_limits: returns what the cold backend servers of a service take.
    :param key_refusal: returns why the API key of a request is not valid any more, None
        if it is, or if the request needs none.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        observe: Callable[[CallResult], None] = lambda _: None,
        headers: CallHeaders = OWN_HEADERS,
        is_stopped: Callable[[BackendServer], bool] = lambda _: False,
        cold_limits: Callable[[str], ColdLimits] = lambda _: ColdLimits(),
        key_refusal: Callable[[CallRequest], Failure | None] = lambda _: None,
    ) -> None:
        self._key_refusal = key_refusal
        self._is_stopped = is_stopped
        self._clock = clock
        self._refuses_calls_from_s = float("inf")
        self._metrics = metrics
        self._limiter = SlotLimiter(slots=DEFAULT_SLOTS, clock=clock)
        self._dedupe = DedupeTable(clock=clock)
        self._durations = DurationEstimator()
        self._work = WorkTracker(clock=clock)
        self._results = ResultTracker(
            durations=self._durations,
            work=self._work,
            metrics=metrics,
            observe=observe,
        )
        self._backend_calls = BackendCalls(
            clock=clock,
            metrics=metrics,
            headers=headers,
            limiter=self._limiter,
            results=self._results,
        )
        self._backend: BackendServer | None = None
        self._draining = False
        self._evacuated = False
        self.cold = ColdAdmission(clock=clock, metrics=metrics, limits_of=cold_limits)
        self._shutdown = ShutdownLimit()
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def backend(self) -> BackendServer | None:
        """The backend server, or None if it has not announced itself yet."""
        return self._backend

    @property
    def is_cold(self) -> bool:
        """Whether the backend server takes fewer requests since it is cold.

        It may turn cold while its zone is evacuated, so it counts as cold until then.
        """
        check = self.cold.is_limited if self._evacuated else self.cold.is_cold
        return self._backend is not None and check(self._backend.service)

    @property
    def load(self) -> int:
        """Number of calls that hold or wait for a slot."""
        return self._limiter.in_use + self._limiter.queued

    @property
    def answer_window_bytes(self) -> int:
        """Flow control window in bytes that keeps one answer from filling the link."""
        fair_share_bytes = _MAX_ANSWER_BYTES_IN_FLIGHT // max(1, self._limiter.in_use)
        return max(_MIN_ANSWER_WINDOW_BYTES, fair_share_bytes)

    def results(self, route: str) -> GateResults:
        """Return statistics of recent calls, which callers' nodes balance the load by.

        The call duration is the route's own, the share of failures the whole gate's.
        """
        return self._results.for_route(route)

    @property
    def running(self) -> int:
        """Number of calls in progress, from admission to the end of their answers."""
        return self._running

    def announce(self, backend: BackendServer) -> None:
        """Update the backend server's address, version and slots."""
        self._backend = backend
        self._limiter.resize(backend.slots)

    def announce_cold(self, cold_s: float | None, *, new_start: bool) -> None:
        """Note what the backend server says of its warm-up.

        :param cold_s: remaining seconds, None if it doesn't say.
        :param new_start: whether this is the first message of a start.
        """
        service = self._backend.service
        self.cold.record_announcement(service, cold_s, new_start=new_start)
        if self.cold.is_limiting(service):
            # They wait for slots, but few of them would get a start.
            self._limiter.refuse_waiting(Failure(Verdict.NOT_RUN, BACKEND_COLD))

    def recheck_keys(self) -> None:
        """Refuse the queued calls whose API keys are not valid any more."""
        self._limiter.recheck_queue()

    def set_leaving(self, leaving: bool) -> None:
        """Set whether to refuse calls once other nodes know that the backend leaves."""
        if not leaving:
            self._refuses_calls_from_s = float("inf")
        elif self._refuses_calls_from_s == float("inf"):
            self._refuses_calls_from_s = self._clock.monotonic() + _LEAVE_PROPAGATION_S

    def set_evacuated(self, evacuated: bool) -> None:
        """Refuse new and queued calls while the availability zone is evacuated."""
        self._evacuated = evacuated
        if evacuated:
            self._limiter.refuse_waiting(Failure(Verdict.NOT_RUN, ZONE_EVACUATED))
        elif self._backend is not None:
            self.cold.evacuation_ended(self._backend.service)

    def limit_to_shutdown(self, limit: ShutdownLimit) -> None:
        """Refuse calls that may take longer than this node runs."""
        self._shutdown = limit

    def start_draining(self) -> None:
        """Refuse new calls from now on."""
        self._draining = True

    def close(self) -> None:
        """Stop all calls and close the connections to the backend server."""
        self._backend_calls.close()

    async def wait_idle(self) -> None:
        """Wait until no call is in progress."""
        await self._idle.wait()

    def resolve(self, request_id: str, *, time_left_s: float) -> Failure:
        """Return the outcome of a request.

        A request that has not started is barred, so that "not run" stays true if it
        arrives late.

        :param time_left_s: seconds until the request's deadline.
        """
        deadline_s = self._clock.monotonic() + time_left_s
        return self._dedupe.resolve(request_id, deadline_s=deadline_s)

    async def run(self, request: CallRequest, stream: CallStream) -> None:
        """Admit a call, run it and forward its answer to the end."""
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
        refusal = self._admission_refusal(request)
        if refusal is None:
            refusal = self._claim(request, deadline_s)
        if refusal is not None:
            self._send_refusal(request, refusal, stream)
            return
        work = self._work.add(request)
        try:
            refusal = await self._acquire_slot(request, deadline_s, work)
        except asyncio.CancelledError:
            self._work.end(work)
            # Bar the id rather than release it, so that "not run" stays true.
            self._dedupe.finish(request.request_id, Verdict.NOT_RUN)
            self._send_refusal(request, Failure(Verdict.NOT_RUN, "withdrawn"), stream)
            raise
        if refusal is not None:
            self._work.end(work)
            self._dedupe.release(request.request_id)
            self._send_refusal(request, refusal, stream)
            return
        self._work.start(work)
        try:
            # The backend server may have started to leave while the call was queued.
            refusal = self._backend_refusal(request)
            if refusal is None:
                refusal = self.cold.take(request.service)
            if refusal is not None:
                self._dedupe.release(request.request_id)
                self._send_refusal(request, refusal, stream)
                return
            await self._backend_calls.run(
                request,
                self._backend,
                stream,
                deadline_s=deadline_s,
                on_end=functools.partial(self._finish_request_id, request),
            )
        finally:
            self._work.end(work)
            self._limiter.release(request.workspace)

    async def _acquire_slot(
        self, request: CallRequest, deadline_s: float, work: ExpectedWork
    ) -> Failure | None:
        """Wait for a slot, but no longer than the call could still finish in time."""
        needed_s = max(
            self._durations.min_time_left_s(request.route), _REFUSAL_TRANSIT_S
        )
        latest_start_s = deadline_s - needed_s
        latest_start_s = min(latest_start_s, self._refuses_calls_from_s)
        now_s = self._clock.monotonic()
        wait_s = self._expected_wait_s(request) if request.queue_length else 0.0
        if latest_start_s <= now_s + wait_s:
            self._durations.record_refusal(request.route)
            return Failure(
                Verdict.NOT_RUN, "too_little_time", f"expected wait {wait_s:.3f} s"
            )
        target_s = self._latest_start_for_target_s(request, now_s)
        refusal = await self._limiter.acquire(
            workspace=request.workspace,
            deadline_s=latest_start_s,
            priority=request.priority,
            queue_length=request.queue_length,
            target_s=target_s,
            yields_until_s=yields_until_s(
                work, now_s=now_s, latest_start_s=latest_start_s, target_s=target_s
            ),
            recheck=functools.partial(self._key_refusal, request),
        )
        if refusal is not None and refusal.reason == "queue_timeout":
            self._durations.record_refusal(request.route)
        return refusal

    def _expected_wait_s(self, request: CallRequest) -> float:
        """Estimate the time in the queue from the number of requests ahead."""
        ahead = self._limiter.releases_until_slot(request.priority)
        service_s = self._durations.mean_s(request.route)
        return ahead * service_s / self._limiter.slots

    def _latest_start_for_target_s(self, request: CallRequest, now_s: float) -> float:
        """Return the latest start that should meet the request's latency target."""
        if not request.target_left_ms:
            return float("inf")
        left_s = request.target_left_ms / 1000
        return now_s + left_s - self._durations.mean_s(request.route)

    def _claim(self, request: CallRequest, deadline_s: float) -> Failure | None:
        """Claim the request id, unless the request is idempotent and may run again."""
        if request.idempotent:
            return None
        return self._dedupe.claim(request.request_id, deadline_s=deadline_s)

    def _admission_refusal(self, request: CallRequest) -> Failure | None:
        if self._draining or self._shutdown_would_cut(request):
            return Failure(Verdict.NOT_RUN, "draining")
        refusal = self._backend_refusal(request)
        return self._cold_refusal(request) if refusal is None else refusal

    def _cold_refusal(self, request: CallRequest) -> Failure | None:
        """Return why a cold backend server has no room, None if it has.

        A call that waited for a slot might then find its turn used by another one.
        """
        if not self.cold.is_limiting(request.service):
            return None
        if self._limiter.releases_until_slot(request.priority) > 0:
            return Failure(Verdict.NOT_RUN, BACKEND_COLD, "no slot is free")
        return self.cold.refusal(request.service)

    def _shutdown_would_cut(self, request: CallRequest) -> bool:
        """Return whether this node may stop before the call's deadline."""
        return self._shutdown.would_cut(
            request.time_left_ms / 1000, now_s=self._clock.monotonic()
        )

    def _backend_refusal(self, request: CallRequest) -> Failure | None:
        """Return why the backend server can't take the request, None if it can."""
        if self._evacuated:
            return Failure(Verdict.NOT_RUN, ZONE_EVACUATED)
        if self._clock.monotonic() >= self._refuses_calls_from_s:
            return Failure(Verdict.NOT_RUN, "backend_leaving")
        if self._backend is None or self._backend.service != request.service:
            return Failure(
                Verdict.NOT_RUN,
                "not_here",
                f"{request.service} does not run on this node",
            )
        if self._is_stopped(self._backend):
            return Failure(Verdict.NOT_RUN, "version_stopped", self._backend.version)
        return self._key_refusal(request)

    def _send_refusal(
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

    def _finish_request_id(self, request: CallRequest, verdict: Verdict) -> None:
        """Record the outcome if the request may have run, else release its id."""
        if verdict is Verdict.NOT_RUN:
            self._dedupe.release(request.request_id)
        else:
            self._dedupe.finish(request.request_id, verdict)
