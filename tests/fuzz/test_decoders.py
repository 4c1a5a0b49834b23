"""Feeds changed bytes to the decoders of what others send, with a fixed seed."""

import asyncio
import json
import random
import struct
import sys

import testtools

from burdockdock.clock import SystemClock
from burdockdock.configuration.checks import build_snapshot
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure
from burdockdock.platform import INTERFACE
from burdockdock.platform_api import PlatformClient
from burdockdock.protocol import MALFORMED, decode
from burdockdock.protocol.codec import HEADER_BYTES, frame
from burdockdock.protocol.members import pack_member
from burdockdock.standin.local_fleet import free_port
from tests import streams
from tests.fuzz.decoders import DECODERS
from tests.fuzz.decoding import fuzz_decoder
from tests.fuzz.mutations import mutate, mutate_json
from tests.support import async_test

_SEED = 42
_CASES = 2000
_MAX_MEMORY_GROWTH_KB = 10 * 1024
_HOST = "127.0.0.1"


class DecodersTest(testtools.TestCase):
    """Tests that every decoder ends with a value or a clear error."""

    def test_changed_bytes(self) -> None:
        for name, decoder in DECODERS.items():
            report = fuzz_decoder(decoder, seed=_SEED, cases=_CASES)
            self.assertEqual([], report.unclear, name)
            self.assertEqual(_CASES, report.cases, name)
            self.assertGreater(report.decoded, 0, name)
            self.assertLess(report.growth_kb, _MAX_MEMORY_GROWTH_KB, name)

    def test_samples_are_decoded(self) -> None:
        for decoder in DECODERS.values():
            for sample in decoder.samples:
                decoder.decode(sample)

    def test_mutations_of_a_seed(self) -> None:
        for decoder in DECODERS.values():
            change = mutate_json if decoder.has_json else mutate
            changed = [change(random.Random(1), decoder.samples) for _ in range(2)]
            self.assertEqual(changed[0], changed[1])


def _message_with_many_members() -> bytes:
    """Return a short ping whose list claims members that take no bytes."""
    member = pack_member(Member("a", "h", 1, "r", "z", 5))
    fields = {"mesh": "m", "sequence": 1, "nodeId": "a"}
    message = bytearray(frame("ping", members=[member], **fields)[HEADER_BYTES:])
    for position in range(0, len(message), 8):
        low, high = struct.unpack_from("<II", message, position)
        # A pointer to a list of structs, which starts with a word on its elements.
        if low & 3 == 1 and high & 7 == 7:
            start = position + 8 + (low >> 2) * 8
            struct.pack_into("<II", message, position, low, 7)
            struct.pack_into("<IHH", message, start, 1_000_000 << 2, 0, 0)
    return bytes(message)


class FoundTest(testtools.TestCase):
    """Tests of what was found with changed bytes."""

    def test_list_that_is_longer_than_its_message(self) -> None:
        # Guards against a node that is busy for minutes with one datagram.
        data = _message_with_many_members()
        try:
            count = len(decode(data).ping.members)
        except MALFORMED:
            return
        self.assertLess(count, len(data))

    @async_test
    async def test_malformed_message_of_a_peer_ends_no_node(self) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.fuzz.malformed_peer"
        )
        self.assertEqual(0, await process.wait())

    @async_test
    async def test_revision_beyond_any_number(self) -> None:
        item = {"metadata": {"name": "a", "revision": 1}, "spec": {}}
        body = json.dumps({"items": [item], "at": 1}).encode()
        body = body.replace(b'"at": 1', b'"at": 1e400')
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)

        port = free_port()
        await streams.start_server(serve, _HOST, port)
        client = PlatformClient(
            f"http://{_HOST}:{port}",
            name="test",
            clock=SystemClock(),
            dialect=INTERFACE.dialect,
        )
        self.assertIsInstance(await client.list("roster/"), Failure)

    def test_number_that_is_too_long(self) -> None:
        sections = {"defaults": {"timeout_ms": "9" * 5000}}
        self.assertIsInstance(build_snapshot(sections, version=1), list)
