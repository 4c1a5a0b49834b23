"""Tests of a faulty backend server and its ledger."""

import json
from collections.abc import Iterable

import testtools

from burdockdock.clock import SystemClock
from burdockdock.standin.faulty_backend import FaultyBackend
from burdockdock.standin.faulty_behaviour import (
    Behaviour,
    BodyReading,
    Copy,
    CopyId,
    CopyTime,
    Ending,
    Framing,
    Junk,
    Refusal,
    ResetTime,
    Restart,
)
from burdockdock.standin.ledger import Ledger
from tests import streams
from tests.header_names import HEADER_NAMES
from tests.support import async_test

_HOST = "127.0.0.1"


def _request(request_id: str, *lines: str, body: str = "") -> bytes:
    head = [f"GET /x HTTP/1.1\r\nRequest-Id: {request_id}", *lines]
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


class FaultyBackendTest(testtools.TestCase):
    """Tests of what is sent, and of what the ledger says of it."""

    async def _start(self, *behaviours: Behaviour, **options: object) -> int:
        left = iter(behaviours)
        self.ledger = Ledger()
        self.backend = FaultyBackend(
            lambda: next(left),
            clock=SystemClock(),
            ledger=self.ledger,
            names=HEADER_NAMES,
            **options,
        )
        return await self.backend.start(_HOST, 0)

    async def _exchange(
        self, behaviours: Iterable[Behaviour], *requests: bytes, **options: object
    ) -> bytes:
        """Send all requests at once on one connection; return all that comes."""
        port = await self._start(*behaviours, **options)
        reader, writer = await streams.open_connection(_HOST, port)
        writer.write(b"".join(requests))
        writer.write_eof()
        try:
            return await reader.read()
        except ConnectionResetError:
            return b"reset"
        finally:
            await self.backend.close()

    def _sent_bytes(self) -> bytes:
        return b"".join(s.data for e in self.ledger.entries for s in e.sent)

    @async_test
    async def test_faultless_answers(self) -> None:
        got = await self._exchange(
            [Behaviour(), Behaviour(status=500, framing=Framing.CHUNKED)],
            _request("id-1"),
            _request("id-2", "Transfer-Encoding: chunked", body="2\r\nab\r\n0\r\n\r\n"),
        )
        self.assertEqual(self._sent_bytes(), got)
        first, second = self.ledger.entries
        self.assertTrue(first.ran and second.ran)
        self.assertEqual((1, 1), first.arrival[1:3])
        self.assertEqual((1, 2), second.arrival[1:3])
        self.assertEqual(b"ab", second.arrival.body)
        self.assertIn(f"Response-Signature: {second.answer.signature}".encode(), got)

    @async_test
    async def test_copies_and_whose_they_are(self) -> None:
        for copy, kind, number_of_entry in (
            (Copy(CopyTime.AT_ONCE), "copy", 1),
            (Copy(CopyTime.LATE, CopyId.NONE), "copy_none_id", 1),
            (Copy(CopyTime.AT_NEXT_REQUEST, CopyId.NEXT), "copy_next_id", 2),
            (Copy(CopyTime.AROUND_NEXT_REQUEST), "copy", 2),
        ):
            got = await self._exchange(
                [Behaviour(copy=copy), Behaviour()], _request("id-1"), _request("id-2")
            )
            self.assertEqual(self._sent_bytes(), got)
            sent = self.ledger.entry(number_of_entry).sent
            self.assertIn((1, kind), [(s.owner, s.kind) for s in sent], copy)

    @async_test
    async def test_copy_of_which_a_part_is_sent(self) -> None:
        copy = Copy(CopyTime.AT_NEXT_REQUEST, status=503, length_bytes=20)
        got = await self._exchange(
            [Behaviour(copy=copy), Behaviour()], _request("id-1"), _request("id-2")
        )
        self.assertIn(b"HTTP/1.1 503 Other\r\nHTTP/1.1 200 OK", got)

    @async_test
    async def test_cut_at_every_byte(self) -> None:
        whole = await self._exchange([Behaviour()], _request("id-1"))
        for cut_at in range(len(whole)):
            behaviour = Behaviour(cut_at=cut_at)
            got = await self._exchange([behaviour], _request("id-1"))
            self.assertEqual(whole[:cut_at], got)
            self.assertTrue(self.ledger.entry(1).ended_connection)

    @async_test
    async def test_junk_and_interim_answers(self) -> None:
        behaviour = Behaviour(junk=Junk(b"a", b"b", b"c"), interim=(100, 103))
        got = await self._exchange([behaviour], _request("id-1"))
        self.assertTrue(got.startswith(b"aHTTP/1.1 100 Interim\r\n\r\nHTTP/1.1 103"))
        self.assertIn(b"\r\n\r\nbarrival 1", got)
        self.assertTrue(got.endswith(b".c"))

    @async_test
    async def test_resets_say_whether_the_request_ran(self) -> None:
        for reset, ran in (
            (ResetTime.AFTER_HEAD, False),
            (ResetTime.AFTER_REQUEST, False),
            (ResetTime.AFTER_RUN, True),
        ):
            got = await self._exchange([Behaviour(reset=reset)], _request("id-1"))
            self.assertEqual(b"reset", got)
            self.assertEqual(ran, self.ledger.entry(1).ran, reset)

    @async_test
    async def test_refusals_do_not_run(self) -> None:
        for proves, has_id in ((True, True), (False, True), (True, False)):
            refusal = Refusal(503, proves, has_id)
            got = await self._exchange([Behaviour(refusal=refusal)], _request("id-1"))
            self.assertFalse(self.ledger.entry(1).ran)
            self.assertEqual(proves, b"Not-Executed" in got)
            self.assertEqual(has_id, b"Request-Id: id-1" in got)
            self.assertNotIn(b"Response-Signature", got)

    @async_test
    async def test_other_instance_is_refused(self) -> None:
        request = _request("id-1", "Expected-Instance: i-2")
        got = await self._exchange([Behaviour()], request, instance_id="i-1")
        self.assertTrue(got.startswith(b"HTTP/1.1 421"))
        self.assertFalse(self.ledger.entry(1).ran)

    @async_test
    async def test_answer_before_the_body_is_read(self) -> None:
        request = _request("id-1", "Content-Length: 2", body="ab")
        for reading, body in (
            (BodyReading.AFTER_ANSWER, b"ab"),
            (BodyReading.NEVER, b""),
        ):
            await self._exchange([Behaviour(body_reading=reading)], request)
            self.assertEqual(body, self.ledger.entry(1).arrival.body)

    @async_test
    async def test_run_until_the_deadline(self) -> None:
        request = _request("id-1", "Deadline-Ms: 20")
        got = await self._exchange([Behaviour(to_deadline=True)], request)
        self.assertTrue(got.startswith(b"HTTP/1.1 504"))
        self.assertEqual(0.02, self.ledger.entry(1).work_s)

    @async_test
    async def test_other_service_takes_the_address_for_a_time(self) -> None:
        restart = Behaviour(restart=Restart.OTHER_SERVICE)
        port = await self._start(restart, *[Behaviour()] * 4, instance_id="i-1")
        for _ in range(5):
            reader, writer = await streams.open_connection(_HOST, port)
            writer.write(_request("id-1", "Expected-Instance: i-1"))
            writer.write_eof()
            try:
                await reader.read()
            except ConnectionResetError:
                pass
        ran = [entry.ran for entry in self.ledger.entries]
        self.assertEqual([True, False, False, False, True], ran)
        await self.backend.close()

    @async_test
    async def test_health(self) -> None:
        request = b"GET /health HTTP/1.1\r\n\r\n"
        got = await self._exchange([], request, instance_id="i-1")
        self.assertIn(b"Instance-Id: i-1\r\n", got)
        self.assertEqual([], self.ledger.entries)

    @async_test
    async def test_idle_connection_is_closed(self) -> None:
        port = await self._start(idle_timeout_s=0.01)
        reader, _ = await streams.open_connection(_HOST, port)
        self.assertEqual(b"", await reader.read())
        await self.backend.close()

    @async_test
    async def test_bad_requests_end_their_connection(self) -> None:
        for request in (b"x\r\n\r\n", _request("id", "Content-Length: x")):
            self.assertEqual(b"", await self._exchange([Behaviour()], request))

    @async_test
    async def test_entry_as_json(self) -> None:
        await self._exchange([Behaviour(ending=Ending.CLOSE)], _request("id-1"))
        entry = json.loads(self.ledger.entry(1).as_json())
        self.assertEqual(
            ("id-1", True, 200), (entry["request_id"], entry["ran"], entry["status"])
        )
        self.assertEqual([1, "answer"], entry["sent"][0][:2])
