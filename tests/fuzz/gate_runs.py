"""Runs sequences of calls through a gate to a faulty backend server."""

import asyncio

from burdockdock.clock import SystemClock
from burdockdock.coordination.verdict import Failure
from burdockdock.gate.gate import Gate
from burdockdock.gate.headers import CallHeaders
from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from burdockdock.protocol.calls import AnswerHead, CallRequest
from burdockdock.standin.faulty_backend import FaultyBackend
from burdockdock.standin.ledger import Ledger
from tests.fuzz.given_behaviours import GivenBehaviours
from tests.fuzz.outcomes import ATTEMPT_HEADER, Outcome, Run
from tests.fuzz.sequences import Call, Sequence
from tests.header_names import HEADER_NAMES

_HOST = "127.0.0.1"
_INSTANCE = "i-1"
_SLOTS = 4
_LONGEST_WORK_S = 0.1
# Ends calls for which the backend server has announced more than it sends.
_IDLE_TIMEOUT_S = 1.0
_CHUNK_BYTES = 32_768
_HEADERS = CallHeaders(
    request_id="Request-Id",
    caller_sets_request_id=True,
    timeout="Deadline-Ms",
    expected_instance="Expected-Instance",
    not_run="Not-Executed",
    signature="Response-Signature",
)


class _Stream:
    """Gives a call its body and records its answer."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.received = b""
        self.failure: Failure | None = None

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next chunk of the request's body and whether it is the last."""
        chunk, self._body = self._body[:_CHUNK_BYTES], self._body[_CHUNK_BYTES:]
        return chunk, not self._body

    def send_head(self, head: AnswerHead) -> None:
        """Record the head."""
        self.status = head.status
        self.headers = head.headers
        self.received += head.body

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Record a part of the body."""
        self.received += data

    def fail(self, failure: Failure) -> None:
        """Record the failure."""
        self.failure = failure


async def run_at_gate(sequence: Sequence) -> Run:
    """Run a sequence and return what its callers and the backend server saw."""
    ledger = Ledger()
    behaviours = GivenBehaviours(ledger)
    behaviours.start(sequence)
    clock = SystemClock()
    backend = FaultyBackend(
        behaviours.next,
        clock=clock,
        ledger=ledger,
        instance_id=_INSTANCE,
        longest_work_s=_LONGEST_WORK_S,
        names=HEADER_NAMES,
        idle_timeout_s=_IDLE_TIMEOUT_S,
    )
    port = await backend.start(_HOST, 0)
    gate = Gate(clock=clock, metrics=Metrics(), headers=_HEADERS)
    gate.announce(
        BackendServer("work", "1", _HOST, port, _SLOTS, instance_id=_INSTANCE)
    )
    try:
        outcomes = await _run_calls(gate, sequence)
    finally:
        await backend.close()
        gate.close()
    return Run(outcomes, ledger.entries, behaviours.given)


async def _run_calls(gate: Gate, sequence: Sequence) -> list[Outcome]:
    tasks: list[asyncio.Task[Outcome]] = []
    for number, step in enumerate(sequence):
        if not step.call.together:
            await asyncio.gather(*tasks)
        await asyncio.sleep(step.call.rest_s)
        call = _run_call(gate, step.call, str(number + 1))
        tasks.append(asyncio.create_task(call))
    return await asyncio.gather(*tasks)


async def _run_call(gate: Gate, call: Call, attempt: str) -> Outcome:
    request_id = f"id-{call.request}"
    stream = _Stream(b"r" * call.body_bytes)
    request = CallRequest(
        request_id,
        "t",
        "c",
        "r",
        "work",
        call.time_left_ms,
        call.idempotent,
        call.method,
        "/",
        (("Request-Id", request_id), (ATTEMPT_HEADER, attempt)),
        body_length=call.body_bytes,
        end=not call.body_bytes,
    )
    await gate.run(request, stream)
    return Outcome(
        call,
        request_id,
        attempt,
        stream.status,
        stream.headers,
        stream.received,
        stream.failure,
    )
