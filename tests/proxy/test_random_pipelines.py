"""Tests of random pipelined requests."""

import asyncio
import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from tests import streams
from tests.proxy.caller_server import HOST, start_caller_server
from tests.proxy.pipelined_requests import (
    ManualForwarder,
    build_call,
    read_answer,
    request,
)


class RandomPipelinesTest(testtools.TestCase):
    """Tests of random requests, splits of their bytes and orders of finishing."""

    @given(
        kinds=st.lists(st.sampled_from(["GET", "POST", "refused", "PUT"]), max_size=9),
        cuts=st.lists(st.integers(0, 800), max_size=6),
        seed=st.integers(0, 1000),
    )
    def test_each_request_gets_its_own_answer(
        self, kinds: list[str], cuts: list[int], seed: int
    ) -> None:
        asyncio.run(self._run_pipeline(kinds, cuts, random.Random(seed)))

    async def _run_pipeline(
        self, kinds: list[str], cuts: list[int], rng: random.Random
    ) -> None:
        targets = [f"{kind}{n}" for n, kind in enumerate(kinds)]
        data = b"".join(map(_random_request, targets))
        forwarder = ManualForwarder()
        server = start_caller_server(self, forwarder, make_call=build_call)
        try:
            reader, writer = await streams.open_connection(HOST, server.port)
            sending = asyncio.create_task(_send_in_pieces(writer, data, cuts))
            answering = asyncio.create_task(_answer_in(rng, forwarder, targets))
            for target in targets:
                status, _, body = await read_answer(reader)
                if target.startswith("refused"):
                    self.assertEqual(503, status)
                else:
                    self.assertEqual((200, target.encode()), (status, body))
            await sending
            await answering
            self.assertEqual(targets, sorted(forwarder.started, key=targets.index))
        finally:
            server.server.stop()
            await streams.close_all()


def _random_request(target: str) -> bytes:
    if target.startswith("POST"):
        return request(target, "POST", "Content-Length: 5\r\n") + b"GET /"
    if target.startswith("PUT"):
        return (
            request(target, "PUT", "Transfer-Encoding: chunked\r\n")
            + b"4\r\nGET \r\n0\r\n\r\n"
        )
    return request(target)


async def _send_in_pieces(
    writer: asyncio.StreamWriter, data: bytes, cuts: list[int]
) -> None:
    starts = sorted({0, *(cut for cut in cuts if cut < len(data))})
    for start, end in zip(starts, [*starts[1:], len(data)], strict=True):
        writer.write(data[start:end])
        await asyncio.sleep(0.001)


async def _answer_in(
    rng: random.Random, forwarder: ManualForwarder, targets: list[str]
) -> None:
    shuffled = list(targets)
    rng.shuffle(shuffled)
    for target in shuffled:
        forwarder.answer(target)
        await asyncio.sleep(0)
