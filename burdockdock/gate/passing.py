"""Passes bodies on between a call's stream and its backend server."""

import asyncio

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead
from burdockdock.gate.curl_client import Transfer
from burdockdock.gate.model import CallStream
from burdockdock.protocol import ReceiverGone
from burdockdock.protocol.calls import AnswerHead, CallRequest, GateResults

# The longest piece of an answer in one frame.
PIECE_BYTES = 32 * 1024


async def pass_on_answer(
    transfer: Transfer,
    head: BackendHead,
    stream: CallStream,
    *,
    load: int,
    results: GateResults,
    deadline_s: float,
    clock: Clock,
) -> bool:
    """Pass the answer on; return whether it was whole.

    :raises ReceiverGone: if nobody takes it. That is no fault of the backend
        server, and must not hold its slot.
    """
    data, ended = transfer.take_ready_body(most_bytes=PIECE_BYTES)
    stream.send_head(
        AnswerHead(
            head.status,
            head.reason,
            head.headers,
            data,
            ended,
            load,
            results,
        )
    )
    while not ended:
        piece = await transfer.read_body()
        if isinstance(piece, Failure):
            stream.fail(piece._replace(verdict=Verdict.RAN))
            return False
        ended = piece is None
        try:
            async with asyncio.timeout(deadline_s - clock.monotonic()):
                await stream.send_body(piece or b"", end=ended)
        except TimeoutError:
            stream.fail(Failure(Verdict.RAN, "answer_not_taken"))
            raise ReceiverGone from None
    return True


async def pass_on_body(
    request: CallRequest, stream: CallStream, transfer: Transfer
) -> None:
    """Pass the request's body to the backend server as fast as it takes it."""
    data, end = request.body, request.end
    await transfer.send_body(data, end=end)
    while not end:
        data, end = await stream.read_body()
        await transfer.send_body(data, end=end)
