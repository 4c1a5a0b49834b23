"""Streams bodies between a call's stream and its backend server."""

import asyncio

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead
from burdockdock.gate.model import CallStream
from burdockdock.gate.transfer import Transfer
from burdockdock.protocol import ReceiverGone
from burdockdock.protocol.calls import AnswerHead, CallRequest, GateResults

# Longest part of an answer's body in one frame.
MAX_CHUNK_BYTES = 32 * 1024


async def stream_answer(
    transfer: Transfer,
    head: BackendHead,
    stream: CallStream,
    *,
    load: int,
    results: GateResults,
    deadline_s: float,
    clock: Clock,
) -> bool:
    """Forward a backend server's answer to the caller's node.

    :param load: calls that run or wait at this gate.
    :param results: statistics of this gate's latest calls, sent with the head.
    :param deadline_s: monotonic time by which the receiver must accept the body.
    :returns: whether the whole answer was forwarded.
    :raises ReceiverGone: if the receiver does not accept the body before the deadline.
        This is not the backend server's fault and must not keep its slot occupied.
    """
    data, complete = transfer.take_complete_body(max_bytes=MAX_CHUNK_BYTES)
    stream.send_head(
        AnswerHead(
            head.status,
            head.reason,
            head.headers,
            data,
            complete,
            load,
            results,
        )
    )
    while not complete:
        chunk = await transfer.read_body()
        if isinstance(chunk, Failure):
            stream.fail(chunk._replace(verdict=Verdict.RAN))
            return False
        complete = chunk is None
        try:
            async with asyncio.timeout(deadline_s - clock.monotonic()):
                await stream.send_body(chunk or b"", end=complete)
        except TimeoutError:
            stream.fail(Failure(Verdict.RAN, "answer_not_taken"))
            raise ReceiverGone from None
    return True


async def stream_request_body(
    request: CallRequest, stream: CallStream, transfer: Transfer
) -> None:
    """Forward a request's body at the rate at which the backend server reads it."""
    data, end = request.body, request.end
    await transfer.send_body(data, end=end)
    while not end:
        data, end = await stream.read_body()
        await transfer.send_body(data, end=end)
